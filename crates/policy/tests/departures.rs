//! Departures of targets, held by daemons that are killed, compared with what was acknowledged.

use std::collections::BTreeMap;

use lynxcleat_policy::{
    Coverage, Departure, Departures, Greetings, History, HistoryState, RecordOutcome, ReportEffect,
    ReportedState, TargetAnswer, TargetReport, TargetReports, needed_holders,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const S: u64 = 1_000_000;

fn departure(host: &str, instance: &str, started_ms: Option<u64>) -> Departure {
    Departure {
        host: host.to_owned(),
        instance: instance.to_owned(),
        started_ms,
        state: ReportedState::Draining,
    }
}

fn report(instance: &str, state: ReportedState, sequence: Option<u64>) -> TargetReport {
    TargetReport {
        instance: instance.to_owned(),
        started_ms: None,
        service: None,
        version: None,
        state,
        sequence,
        slots: Some(4),
        cold_ms: 0,
    }
}

fn told(instance: &str, accepts: bool) -> TargetAnswer {
    TargetAnswer::Told {
        instance: Some(instance.to_owned()),
        accepts,
    }
}

#[test]
fn a_departure_of_another_host_is_held_until_the_store_has_it() {
    let mut departures = Departures::new("here");
    let there = departure("there", "i-1", Some(5));
    assert_eq!(departures.record(there.clone()), RecordOutcome::Added);
    assert_eq!(departures.record(there.clone()), RecordOutcome::Known);
    let later_start = departure("there", "i-1", Some(6));
    assert_eq!(departures.record(later_start.clone()), RecordOutcome::Added);
    departures.record_stored(there);
    assert_eq!(departures.unstored(), [later_start]);
}

#[test]
fn a_departure_of_the_own_target_is_kept_for_the_row_after_it_was_stored() {
    let mut departures = Departures::new("here");
    let own = departure("here", "i-1", None);
    departures.record(own.clone());
    assert!(!departures.is_stored(&own));
    departures.record_stored(own.clone());
    assert!(departures.is_stored(&own));
    assert!(departures.unstored().is_empty());
    assert_eq!(departures.own().collect::<Vec<_>>(), [&own]);
}

/// A departure that was held as draining counted as another one than the same held as gone, so that
/// it was told on for good.
#[test]
fn a_departure_is_known_by_its_incarnation_whatever_its_state() {
    let draining = departure("there", "i-1", Some(5));
    let gone = Departure {
        state: ReportedState::Gone,
        ..draining.clone()
    };
    assert!(draining.is_same(&gone));
    assert!(
        draining.is_same(&departure("there", "i-1", None)),
        "the start is not known"
    );
    assert!(!draining.is_same(&departure("there", "i-1", Some(6))));
    assert!(!draining.is_same(&departure("elsewhere", "i-1", Some(5))));
    let mut departures = Departures::new("here");
    departures.record(draining);
    departures.record_stored(gone);
    assert!(departures.unstored().is_empty());
}

#[test]
fn departures_are_bounded_and_one_that_is_not_held_is_not_confirmed() {
    let mut departures = Departures::new("here");
    let hosts = (0..2_000).map(|number| departure(&format!("h-{number}"), "i", None));
    let outcomes: Vec<RecordOutcome> = hosts.map(|one| departures.record(one)).collect();
    assert_eq!(outcomes.last(), Some(&RecordOutcome::Full));
    let held = outcomes.iter().filter(|one| **one == RecordOutcome::Added);
    assert_eq!(held.count(), departures.unstored().len());
    let own = departure("here", "i-1", None);
    assert_eq!(
        departures.record(own),
        RecordOutcome::Added,
        "the own target's always"
    );
}

#[test]
fn a_report_waits_until_peers_were_heard() {
    let mut reports = TargetReports::default();
    reports.set_history(HistoryState::Awaited);
    let ready = report("i-1", ReportedState::Ready, Some(7));
    assert_eq!(reports.apply(ready.clone()), ReportEffect::Deferred);
    assert_eq!(reports.confirm(ready.clone()), ReportEffect::Ignored);
    assert!(reports.ready().is_none());
    let deferred = reports.set_history(HistoryState::Complete);
    assert_eq!(deferred.len(), 1);
    assert_eq!(deferred[0], ready);
    assert_eq!(reports.apply(ready), ReportEffect::Changed);
    assert!(reports.ready().is_some());
}

#[test]
fn a_departure_that_a_peer_told_binds_a_report_that_waited() {
    let mut reports = TargetReports::default();
    reports.set_history(HistoryState::Awaited);
    reports.apply(report("i-1", ReportedState::Ready, Some(7)));
    reports.apply(report("i-1", ReportedState::Gone, None));
    for late in reports.set_history(HistoryState::Complete) {
        reports.apply(late);
    }
    assert!(reports.ready().is_none());
}

#[test]
fn where_nobody_remembers_the_target_is_asked() {
    let mut reports = TargetReports::default();
    reports.set_history(HistoryState::Incomplete);
    let late = || report("i-1", ReportedState::Ready, Some(7));
    for answer in [told("i-1", false), told("i-2", true), TargetAnswer::Silent] {
        assert_eq!(reports.apply(late()), ReportEffect::Unproven);
        let effect = reports.resolve_unproven(S, &answer);
        assert_eq!(effect, ReportEffect::Ignored, "{answer:?}");
    }
    assert_eq!(reports.apply(late()), ReportEffect::Unproven);
    assert_eq!(
        reports.resolve_unproven(S, &told("i-1", true)),
        ReportEffect::Changed
    );
    assert!(reports.ready().is_some());
    assert_eq!(
        reports.apply(report("i-1", ReportedState::Ready, Some(8))),
        ReportEffect::Refreshed
    );
}

/// A health answer that is wrong for good loses no target: it is served once its reports have
/// come for longer than late ones do. The same report again and again is no such proof.
#[test]
fn a_target_whose_health_answer_is_wrong_is_served_while_it_keeps_reporting() {
    let mut reports = TargetReports::default();
    reports.set_history(HistoryState::Incomplete);
    for second in 0..120 {
        reports.apply(report("i-late", ReportedState::Ready, Some(3)));
        reports.resolve_unproven(second * S, &told("i-late", false));
        assert!(reports.ready().is_none(), "one report, repeated");
    }
    let mut served_after = None;
    for beat in 0..40 {
        let now = 200 * S + beat * 3 * S / 2;
        reports.apply(report("i-1", ReportedState::Ready, Some(beat)));
        reports.resolve_unproven(now, &told("i-1", false));
        if reports.ready().is_some() && served_after.is_none() {
            served_after = Some(beat);
        }
    }
    assert_eq!(served_after, Some(20), "30 s of reports");
}

#[test]
fn coverage_comes_from_peers_or_with_time() {
    let mut history = History::awaited(0);
    assert_eq!(history.state(0), HistoryState::Awaited);
    history.end_wait();
    assert_eq!(history.state(599 * S), HistoryState::Incomplete);
    assert_eq!(history.state(600 * S), HistoryState::Complete);
    let mut told = History::awaited(0);
    told.record_peer(S, Coverage::of_us(500 * S));
    told.end_wait();
    assert_eq!(told.state(S), HistoryState::Incomplete);
    assert_eq!(told.coverage(101 * S), Coverage::of_us(600 * S));
    assert_eq!(told.state(101 * S), HistoryState::Complete);
    let first = History::of_first_start(0);
    assert_eq!(first.state(0), HistoryState::Complete);
    let mut alone = History::awaited(0);
    alone.record_no_peers(0);
    alone.end_wait();
    assert_eq!(alone.state(0), HistoryState::Complete);
}

#[test]
fn a_start_waits_for_two_peers_that_know_or_for_all_that_answer() {
    let mut greetings = Greetings::default();
    assert!(greetings.is_enough(), "nobody to ask");
    for host in ["a", "b", "c", "d"] {
        greetings.ask(host);
    }
    greetings.record("a", Coverage::ALWAYS);
    assert!(!greetings.is_enough(), "it may have been cut off");
    greetings.record("b", Coverage::of_us(S));
    assert!(!greetings.is_enough());
    greetings.record("c", Coverage::ALWAYS);
    assert!(greetings.is_enough());
    let mut killed = Greetings::default();
    killed.ask("a");
    killed.ask("b");
    killed.record_unreachable("a");
    killed.record("b", Coverage::of_us(S));
    assert!(killed.is_enough(), "all that run have answered");
}

/// Guards against a deployment whose hosts all lost power and then waited for the last of them.
#[test]
fn a_start_waits_for_a_part_of_the_peers_that_start_with_it() {
    let mut greetings = Greetings::default();
    let hosts: Vec<String> = (0..12).map(|number| format!("h-{number}")).collect();
    hosts.iter().for_each(|host| greetings.ask(host));
    for host in &hosts[..5] {
        greetings.record(host, Coverage::of_us(S));
    }
    assert!(!greetings.is_enough(), "those that know may be busy");
    greetings.record(&hosts[5], Coverage::of_us(S));
    assert!(greetings.is_enough());
}

/// A deployment without delays: each daemon knows the machines of this crate, and a link between
/// two that run is made at once.
struct Model {
    daemons: BTreeMap<usize, (Departures, History)>,
    /// Departures that the store holds, by host.
    stored: Vec<Departure>,
    store_is_up: bool,
    /// Hosts whose target's departure was acknowledged.
    acknowledged: Vec<usize>,
}

const HOSTS: usize = 5;

impl Model {
    fn new() -> Self {
        let daemon = |host| {
            let departures = Departures::new(&format!("h-{host}"));
            (host, (departures, History::of_first_start(0)))
        };
        Model {
            daemons: (0..HOSTS).map(daemon).collect(),
            stored: Vec::new(),
            store_is_up: true,
            acknowledged: Vec::new(),
        }
    }

    fn leave(&mut self, host: usize) {
        let departure = departure(&format!("h-{host}"), &format!("i-{host}"), None);
        let Some((own, _)) = self.daemons.get_mut(&host) else {
            return;
        };
        own.record(departure.clone());
        if self.store_is_up {
            self.store(departure);
            self.acknowledged.push(host);
            return;
        }
        let others = self.daemons.iter_mut().filter(|(other, _)| **other != host);
        let mut asked = 0;
        let mut holders = 0;
        for (_, (peer, _)) in others {
            asked += 1;
            holders += usize::from(peer.record(departure.clone()) != RecordOutcome::Full);
        }
        if holders >= needed_holders(asked) {
            self.acknowledged.push(host);
        }
    }

    fn store(&mut self, departure: Departure) {
        for (departures, _) in self.daemons.values_mut() {
            departures.record_stored(departure.clone());
        }
        self.stored.push(departure);
    }

    /// Starts a daemon, which needs the store; returns whether a late report opens its target.
    fn start_and_report_late(&mut self, now: u64, host: usize, says_leaving: bool) -> bool {
        let mut departures = Departures::new(&format!("h-{host}"));
        let mut history = History::awaited(now);
        let mut reports = TargetReports::default();
        reports.set_history(HistoryState::Awaited);
        reports.apply(report(&format!("i-{host}"), ReportedState::Ready, Some(3)));
        for stored in &self.stored {
            departures.record_stored(stored.clone());
        }
        for (peer, theirs) in self.daemons.values() {
            for one in peer.unstored() {
                departures.record(one);
            }
            history.record_peer(now, theirs.coverage(now));
        }
        history.end_wait();
        for own in departures.own() {
            reports.apply(report(&own.instance, own.state, None));
        }
        let unstored = departures.unstored();
        for deferred in reports.set_history(history.state(now)) {
            if reports.apply(deferred) == ReportEffect::Unproven {
                reports.resolve_unproven(now, &told(&format!("i-{host}"), !says_leaving));
            }
        }
        self.daemons.insert(host, (departures, history));
        for own in unstored {
            if own.host == format!("h-{host}") {
                self.store(own);
            }
        }
        reports.ready().is_some()
    }
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(58), cases: 2_000, failure_persistence: None, ..Config::default() })]

    /// Daemons are killed in any order, the store comes and goes, and late reports come at each
    /// start. A target whose departure was acknowledged is opened by none, unless all daemons were
    /// down at the same moment and its own answer does not tell; one without is opened by its
    /// first report if its answer is right or somebody remembers.
    #[test]
    fn an_acknowledged_departure_outlasts_every_kill_but_that_of_all(
        steps in prop::collection::vec((0..6_u8, 0..HOSTS, 1..8_u64), 1..60)
    ) {
        let mut model = Model::new();
        let mut now = 0;
        let mut were_all_down = false;
        for (kind, host, pause) in steps {
            now += pause * S;
            match kind {
                0 => model.leave(host),
                1 => model.store_is_up = !model.store_is_up,
                2 | 3 => drop(model.daemons.remove(&host)),
                _ if model.store_is_up && !model.daemons.contains_key(&host) => {
                    let is_bound = model.acknowledged.contains(&host);
                    let opened = model.start_and_report_late(now, host, is_bound);
                    prop_assert!(!(is_bound && opened), "host {host} is opened again");
                    let recorded = model.daemons[&host].0.own().next().is_some();
                    prop_assert!(is_bound || recorded || opened, "host {host} is lost");
                    if is_bound && !were_all_down {
                        prop_assert!(recorded, "host {host} relies on the target's answer");
                    }
                }
                _ => {}
            }
            were_all_down |= model.daemons.is_empty();
        }
    }
}
