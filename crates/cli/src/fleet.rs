//! Which daemon has which generation in force, asked of the daemons themselves.
//!
//! A stored tree is not proof that it is in force, and a count of replies does
//! not say who replied. So every daemon on the list is asked, and each answer
//! names the incarnation and the digest it speaks for. (After the rollout paper
//! listed in docs/design/README.md; its quorums are not used, since every daemon
//! must have the generation, not a share of them.)

use std::collections::BTreeMap;
use std::thread;

use lynxcleat_daemon::Status;
use lynxcleat_store::{HostEntry, HostState, Platform, PlatformError};
use serde::Serialize;

/// Seconds that one daemon's answer may take.
const ASK_LIMIT_S: u64 = 2;
/// Daemons asked at once.
const ASKED_AT_ONCE: usize = 32;
/// Entries of the host list read at once.
const PAGE: usize = 200;

/// One daemon.
#[derive(Clone, Debug, Serialize)]
pub struct Standing {
    /// Its host.
    pub host: String,
    /// Its region; empty where the deployment names none.
    pub region: String,
    /// Its place.
    pub place: String,
    /// Its service.
    pub service: String,
    /// Its incarnation; absent where it did not answer.
    pub incarnation: Option<String>,
    /// Generation it has in force; absent where it did not answer.
    pub generation: Option<u64>,
    /// Whether that is at least the generation asked for.
    pub in_force: bool,
}

/// The hosts that the platform lists and that are not gone.
pub fn listed(platform: &Platform) -> Result<Vec<HostEntry>, PlatformError> {
    let mut hosts = BTreeMap::new();
    let mut after = 0;
    loop {
        let page = platform.hosts(after, PAGE)?;
        for entry in page.hosts {
            if entry.state == HostState::Gone {
                hosts.remove(&entry.host);
            } else {
                hosts.insert(entry.host.clone(), entry);
            }
        }
        after = page.version;
        if !page.more {
            return Ok(hosts.into_values().collect());
        }
    }
}

/// Asks every host's daemon.
pub fn ask(hosts: &[HostEntry], generation: u64) -> Vec<Standing> {
    let mut standing = Vec::with_capacity(hosts.len());
    for part in hosts.chunks(ASKED_AT_ONCE) {
        thread::scope(|scope| {
            let asked: Vec<_> = part
                .iter()
                .map(|entry| scope.spawn(move || ask_one(entry, generation)))
                .collect();
            standing.extend(asked.into_iter().filter_map(|thread| thread.join().ok()));
        });
    }
    standing.sort_by(|a: &Standing, b| {
        (&a.region, &a.place, &a.host).cmp(&(&b.region, &b.place, &b.host))
    });
    standing
}

/// Prints one line a daemon.
pub fn print(standing: &[Standing]) {
    for one in standing {
        let generation = one
            .generation
            .map_or_else(|| "no answer".to_owned(), |number| number.to_string());
        let mark = if one.in_force { "in force" } else { "LACKS IT" };
        println!(
            "{:12} {:12} {:16} {:14} {:16} {generation:>9}  {mark}",
            one.region,
            one.place,
            one.host,
            one.service,
            one.incarnation.as_deref().unwrap_or("-")
        );
    }
}

fn ask_one(entry: &HostEntry, generation: u64) -> Standing {
    let status = minreq::get(format!("http://{}/status", entry.ops))
        .with_timeout(ASK_LIMIT_S)
        .send()
        .ok()
        .and_then(|response| serde_json::from_slice::<Status>(response.as_bytes()).ok());
    let has = status.as_ref().map(|status| status.generation);
    Standing {
        host: entry.host.clone(),
        region: entry.region.clone(),
        place: entry.place.clone(),
        service: entry.service.clone(),
        incarnation: status.map(|status| status.incarnation),
        generation: has,
        in_force: has.is_some_and(|has| has >= generation),
    }
}
