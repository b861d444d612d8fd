//! How news of the members cross a fleet, in virtual time, with the decisions that ship:
//! who follows the store, who is whose neighbour, and what a copy takes from a delta.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use lynxcleat_policy::{
    Candidate, Location, OTHER_ZONE_NEIGHBOURS, SAME_ZONE_NEIGHBOURS, TargetId, neighbours, rank,
};
use lynxcleat_store::{
    FeedLimits, FeedRole, Missing, RowDelta, StoredRow, TableReplica, VersionedRows, feed_role,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Time of a message within a zone and to another, with what the ends take, in microseconds.
const NEAR_US: u64 = 400;
const FAR_US: u64 = 1_300;
/// Time of a call to the store, in microseconds.
const STORE_US: u64 = 5_000;
/// Bytes of a message with its headers, and of a row of a member.
const MESSAGE_BYTES: u64 = 110;
const ROW_BYTES: u64 = 260;
/// Zones of the fleet.
const ZONES: usize = 5;
/// Time within which a change has to be in force.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Longest time that is played, in microseconds.
const LONGEST_US: u64 = 120_000_000;

/// Who is lost at the moment of the change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lost {
    /// Nobody.
    Nobody,
    /// All that follow the store.
    Followers,
    /// More than half of the members, at random.
    Half,
}

/// What a change cost until all that are left knew it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpreadReport {
    /// Calls to the store, of all members together.
    pub store_calls: u64,
    /// Messages between members, for each.
    pub messages_each: f64,
    /// Bytes of these, for each member.
    pub bytes_each: f64,
    /// Bytes of these that cross zones, for each member.
    pub far_bytes_each: f64,
    /// Time until all know, in milliseconds; nothing where some never do.
    pub all_know_ms: Option<f64>,
}

struct Member {
    zone: usize,
    rank: usize,
    copy: TableReplica,
    heard_us: u64,
    links: Vec<usize>,
}

#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
enum What {
    /// The store answers with what is new.
    Answered,
    /// The member looks at its duty.
    Look,
    /// A neighbour tells something; its number in the list of messages.
    Told(usize),
}

struct Message {
    from: usize,
    delta: RowDelta,
    heard_us: u64,
}

struct Fleet {
    members: Vec<Member>,
    news: StoredRow,
    now_us: u64,
    queue: BinaryHeap<Reverse<(u64, usize, What)>>,
    messages: Vec<Message>,
    far_bytes: u64,
    bytes: u64,
    store_calls: u64,
}

/// Plays one change in a fleet of `count` members.
pub fn spread(count: usize, lost: Lost, seed: u64) -> SpreadReport {
    let mut fleet = Fleet::new(count, lost, seed);
    let mut known_us = None;
    while let Some(Reverse((at, member, what))) = fleet.queue.pop() {
        if at > LONGEST_US {
            break;
        }
        fleet.now_us = at;
        fleet.on(member, what);
        if known_us.is_none() && fleet.all_know() {
            known_us = Some(at);
            // What is on its way still counts; nobody looks any more.
            fleet
                .queue
                .retain(|Reverse((_, _, what))| *what != What::Look);
        }
    }
    let each = |sum: u64| sum as f64 / fleet.members.len().max(1) as f64;
    SpreadReport {
        store_calls: fleet.store_calls,
        messages_each: each(fleet.messages.len() as u64),
        bytes_each: each(fleet.bytes),
        far_bytes_each: each(fleet.far_bytes),
        all_know_ms: known_us.map(|us| us as f64 / 1_000.0),
    }
}

impl Fleet {
    fn new(count: usize, lost: Lost, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let candidates = candidates(count, seed);
        let hosts = || candidates.iter().map(|one| one.host.as_str());
        let ranks: Vec<usize> = candidates
            .iter()
            .map(|one| rank(&one.host, hosts()))
            .collect();
        let is_left: Vec<bool> = ranks
            .iter()
            .map(|rank| match lost {
                Lost::Nobody => true,
                Lost::Followers => *rank >= followers(),
                Lost::Half => rng.random_bool(0.45),
            })
            .collect();
        let left: Vec<Candidate> = candidates
            .iter()
            .zip(&is_left)
            .filter(|(_, is_left)| **is_left)
            .map(|(one, _)| one.clone())
            .collect();
        let mut members: Vec<Member> = left
            .iter()
            .map(|one| Member {
                zone: one.target.0 as usize % ZONES,
                rank: ranks[one.target.0 as usize],
                copy: table_of(count),
                heard_us: 0,
                links: Vec::new(),
            })
            .collect();
        link(&mut members, &left);
        let mut fleet = Fleet {
            members,
            news: row(0, count as u64 + 1),
            now_us: 0,
            queue: BinaryHeap::new(),
            messages: Vec::new(),
            far_bytes: 0,
            bytes: 0,
            store_calls: 0,
        };
        for member in 0..fleet.members.len() {
            fleet.queue.push(Reverse((0, member, What::Look)));
        }
        fleet
    }

    fn on(&mut self, member: usize, what: What) {
        match what {
            What::Look => self.look(member),
            What::Answered => self.answered(member),
            What::Told(message) => self.told(member, message),
        }
    }

    fn look(&mut self, number: usize) {
        let member = &self.members[number];
        if member.copy.through() >= self.news.version {
            return;
        }
        let age = Duration::from_micros(self.now_us - member.heard_us);
        let overdue_age = FeedLimits::within(IN_FORCE).overdue_age(member.rank);
        let left = overdue_age.saturating_sub(age);
        let (after_us, what) = match feed_role(member.rank, false) {
            FeedRole::Listen if !left.is_zero() => (left.as_micros() as u64, What::Look),
            _ => (STORE_US, What::Answered),
        };
        self.queue
            .push(Reverse((self.now_us + after_us, number, what)));
    }

    fn answered(&mut self, number: usize) {
        self.store_calls += 1;
        let member = &mut self.members[number];
        let before = member.copy.through();
        member.heard_us = self.now_us;
        let news = member.copy.apply_changes(VersionedRows {
            rows: vec![self.news.clone()],
            version: self.news.version,
        });
        if !news.is_empty() {
            self.tell_all(number, before, None);
        }
    }

    fn told(&mut self, number: usize, message: usize) {
        let Message {
            from,
            delta,
            heard_us,
        } = &self.messages[message];
        let (from, heard_us) = (*from, *heard_us);
        let member = &mut self.members[number];
        let before = member.copy.through();
        let theirs = delta.through;
        let taken = member.copy.apply_delta(delta.clone());
        member.heard_us = member.heard_us.max(heard_us);
        if !taken.changed.is_empty() {
            self.tell_all(number, before, Some(from));
        }
        match taken.missing {
            Some(Missing::Changes { after }) => self.tell(from, number, after),
            Some(Missing::Removals(_)) => unreachable!("no row is removed here"),
            None if self.members[number].copy.through() > theirs => {
                self.tell(number, from, theirs);
            }
            None => {}
        }
    }

    fn tell_all(&mut self, from: usize, after: u64, except: Option<usize>) {
        for to in self.members[from].links.clone() {
            if Some(to) != except {
                self.tell(from, to, after);
            }
        }
    }

    fn tell(&mut self, from: usize, to: usize, after: u64) {
        let sender = &self.members[from];
        let delta = sender.copy.delta_after(after);
        let bytes = MESSAGE_BYTES + ROW_BYTES * delta.rows.len() as u64;
        let is_far = sender.zone != self.members[to].zone;
        self.bytes += bytes;
        self.far_bytes += if is_far { bytes } else { 0 };
        self.messages.push(Message {
            from,
            delta,
            heard_us: sender.heard_us,
        });
        let path_us = if is_far { FAR_US } else { NEAR_US };
        let what = What::Told(self.messages.len() - 1);
        self.queue.push(Reverse((self.now_us + path_us, to, what)));
    }

    fn all_know(&self) -> bool {
        let mut members = self.members.iter();
        members.all(|member| member.copy.through() >= self.news.version)
    }
}

/// How many members follow, as the decisions have it.
fn followers() -> usize {
    let follows = |rank: &usize| feed_role(*rank, false) != FeedRole::Listen;
    (0..).take_while(follows).count()
}

fn candidates(count: usize, seed: u64) -> Vec<Candidate> {
    let one = |number: usize| Candidate {
        evacuated: false,
        target: TargetId(number as u32),
        host: format!("host-{seed}-{number}"),
        place: format!("zone-{}", number % ZONES),
        zone: format!("zone-{}", number % ZONES),
        region: String::new(),
    };
    (0..count).map(one).collect()
}

fn link(members: &mut [Member], left: &[Candidate]) {
    for (from, one) in left.iter().enumerate() {
        let here = Location {
            host: &one.host,
            place: &one.place,
            zone: &one.zone,
            region: &one.region,
        };
        let order = neighbours(here, left);
        let near = order.same_zone.iter().take(SAME_ZONE_NEIGHBOURS);
        for target in near.chain(order.other_zones.iter().take(OTHER_ZONE_NEIGHBOURS)) {
            let to = left.iter().position(|other| other.target == *target);
            let to = to.expect("a neighbour is one of those left");
            for (a, b) in [(from, to), (to, from)] {
                if !members[a].links.contains(&b) {
                    members[a].links.push(b);
                }
            }
        }
    }
}

fn table_of(count: usize) -> TableReplica {
    let mut copy = TableReplica::default();
    copy.apply_snapshot(VersionedRows {
        rows: (0..count).map(|key| row(key, key as u64 + 1)).collect(),
        version: count as u64,
    });
    copy
}

fn row(key: usize, version: u64) -> StoredRow {
    StoredRow {
        key: key.to_string(),
        value: Some(Vec::new()),
        version,
    }
}
