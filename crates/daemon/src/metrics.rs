//! Counters and gauges in Prometheus text.

use std::sync::Mutex;

use lynxcleat_policy::RateLimit;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use crate::sync::lock;

/// Value of the gauge of the target's rate limit where it states none.
const NO_LIMIT: i64 = -1;

/// Labels of a call's outcome.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct CallLabels {
    /// The service asked for.
    pub service: String,
    /// `run`, `not-run` or `unknown`.
    pub outcome: &'static str,
}

/// Labels of one kind of thing.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct KindLabels {
    /// The kind.
    pub kind: &'static str,
}

/// Labels of messages to other daemons.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct MeshLabels {
    /// Kind of the message.
    pub kind: &'static str,
    /// How far away the other daemon is.
    pub distance: &'static str,
}

/// Labels of one service.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ServiceLabels {
    /// The service.
    pub service: String,
}

/// A gauge for each service.
pub type Services = Family<ServiceLabels, Gauge>;

/// A counter for each kind of thing.
pub type Kinds = Family<KindLabels, Counter>;

/// Counts one thing of a kind.
pub fn count(kinds: &Kinds, kind: &'static str) {
    kinds.get_or_create(&KindLabels { kind }).inc();
}

/// All metrics of one daemon.
#[allow(missing_docs)]
pub struct Metrics {
    registry: Mutex<Registry>,
    /// Newest generation of settings that any peer told of.
    pub newest_generation: Gauge,
    /// Questions for settings to peers, by what became of them.
    pub settings_asks: Kinds,
    /// Values of settings rows that are in force otherwise than they are written.
    pub settings_adjusted: Counter,
    /// Settings rows that could not be put in force.
    pub settings_refused: Counter,
    pub settings_copies_sent: Counter,
    pub settings_bytes_sent: Counter,
    pub calls: Family<CallLabels, Counter>,
    pub call_seconds: Histogram,
    pub pipelined_calls: Counter,
    pub pipelines_at_bound: Counter,
    pub turn_waits: Histogram,
    pub malformed_requests: Kinds,
    pub retries: Counter,
    /// Failures that requests brought about themselves, charged to no target.
    pub own_failures: Counter,
    pub target_refusals: Kinds,
    /// Calls delivered to the target, by kind.
    pub target_deliveries: Kinds,
    /// Answers of the target that say something of it, by what.
    pub target_notices: Kinds,
    /// Calls in 1,000 s that the target takes; -1 where it states no limit.
    pub target_rate_limit: Gauge,
    /// Answers to targets that leave, by what else knows it.
    pub departure_answers: Kinds,
    pub target_ends: Counter,
    pub target_down: Gauge,
    pub suspensions: Counter,
    pub suspects: Gauge,
    pub quarantined: Gauge,
    pub quarantine_refusals: Counter,
    pub home_refusals: Kinds,
    pub key_refusals: Kinds,
    pub quota_refusals: Counter,
    pub quota_asks: Kinds,
    pub dropped_answers: Kinds,
    pub rows_missing: Kinds,
    pub links: Gauge,
    pub links_refused: Kinds,
    pub links_silent: Counter,
    pub region_short: Counter,
    pub mesh_frames: Family<MeshLabels, Counter>,
    pub mesh_bytes: Family<MeshLabels, Counter>,
    pub bodies_in_pieces: Gauge,
    pub piece_bytes: Counter,
    pub bodies_cut: Kinds,
    pub in_flight: Gauge,
    pub held: Gauge,
    pub generation: Gauge,
    pub measure_messages: Counter,
    pub measure_bytes: Counter,
    pub measure_cpu_us: Counter,
    pub measure_refused: Counter,
    pub measure_bytes_allowed: Gauge,
    pub once_records: Gauge,
    pub settled: Kinds,
    pub rollout_phase: Services,
    pub rollout_canary_calls: Services,
    pub rollout_calls_seen: Services,
    pub rollout_bad_seen: Services,
    pub platform_failures: Kinds,
    pub store_calls: Kinds,
    pub store_steps_in: Counter,
    pub unlogged: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        let metrics = Metrics {
            registry: Mutex::default(),
            newest_generation: Gauge::default(),
            settings_asks: Family::default(),
            settings_adjusted: Counter::default(),
            settings_refused: Counter::default(),
            settings_copies_sent: Counter::default(),
            settings_bytes_sent: Counter::default(),
            calls: Family::default(),
            call_seconds: Histogram::new(exponential_buckets(0.000_25, 2.0, 16)),
            pipelined_calls: Counter::default(),
            pipelines_at_bound: Counter::default(),
            turn_waits: Histogram::new(exponential_buckets(0.001, 2.0, 14)),
            malformed_requests: Family::default(),
            retries: Counter::default(),
            own_failures: Counter::default(),
            target_refusals: Family::default(),
            target_deliveries: Family::default(),
            target_notices: Family::default(),
            target_rate_limit: Gauge::default(),
            departure_answers: Family::default(),
            target_ends: Counter::default(),
            target_down: Gauge::default(),
            suspensions: Counter::default(),
            suspects: Gauge::default(),
            quarantined: Gauge::default(),
            quarantine_refusals: Counter::default(),
            home_refusals: Family::default(),
            key_refusals: Family::default(),
            quota_refusals: Counter::default(),
            quota_asks: Family::default(),
            dropped_answers: Family::default(),
            rows_missing: Family::default(),
            links: Gauge::default(),
            links_refused: Family::default(),
            links_silent: Counter::default(),
            region_short: Counter::default(),
            mesh_frames: Family::default(),
            mesh_bytes: Family::default(),
            bodies_in_pieces: Gauge::default(),
            piece_bytes: Counter::default(),
            bodies_cut: Family::default(),
            in_flight: Gauge::default(),
            held: Gauge::default(),
            generation: Gauge::default(),
            measure_messages: Counter::default(),
            measure_bytes: Counter::default(),
            measure_cpu_us: Counter::default(),
            measure_refused: Counter::default(),
            measure_bytes_allowed: Gauge::default(),
            once_records: Gauge::default(),
            settled: Family::default(),
            rollout_phase: Family::default(),
            rollout_canary_calls: Family::default(),
            rollout_calls_seen: Family::default(),
            rollout_bad_seen: Family::default(),
            platform_failures: Family::default(),
            store_calls: Family::default(),
            store_steps_in: Counter::default(),
            unlogged: Counter::default(),
        };
        metrics.show_rate_limit(None);
        metrics.register();
        metrics
    }
}

impl Metrics {
    #[rustfmt::skip]
    fn register(&self) {
        let mut root = lock(&self.registry);
        let registry = root.sub_registry_with_prefix("lynxcleat");
        // These stand first: what is kept of the text after a failure may be cut.
        registry.register("generation", "Generation of settings in force", self.generation.clone());
        registry.register("newest_generation", "Newest generation of settings that a peer told of", self.newest_generation.clone());
        registry.register("settings_asks", "Questions for settings to peers, by what became of them", self.settings_asks.clone());
        registry.register("settings_adjusted", "Values of settings rows in force otherwise than written", self.settings_adjusted.clone());
        registry.register("settings_refused", "Settings rows that could not be put in force", self.settings_refused.clone());
        registry.register("settings_copies_sent", "Answers to peers that asked for settings", self.settings_copies_sent.clone());
        registry.register("settings_bytes_sent", "Bytes of settings sent to peers", self.settings_bytes_sent.clone());
        registry.register("calls", "Callers' calls by service and outcome", self.calls.clone());
        registry.register_with_unit("call", "Time from a call's arrival to its answer", Unit::Seconds, self.call_seconds.clone());
        registry.register("pipelined_calls", "Callers' calls begun while others before them on their connection ran", self.pipelined_calls.clone());
        registry.register("pipelines_at_bound", "Times that a connection was not read since as much was in hand as may be", self.pipelines_at_bound.clone());
        registry.register_with_unit("turn_wait", "Time for which calls waited for others before them on their connection", Unit::Seconds, self.turn_waits.clone());
        registry.register("malformed_requests", "Requests refused since they could not be framed", self.malformed_requests.clone());
        registry.register("retries", "Further attempts sent", self.retries.clone());
        registry.register("own_failures", "Failures of requests that fail at other targets too, charged to none", self.own_failures.clone());
        registry.register("target_refusals", "Calls that the target half did not run", self.target_refusals.clone());
        registry.register("target_deliveries", "Calls delivered to the target: first attempts, further ones, nested calls, canaries", self.target_deliveries.clone());
        registry.register("target_notices", "Answers of the target that state a rate limit, one that is no rate, or that it leaves", self.target_notices.clone());
        registry.register("target_rate_limit", "Calls in 1,000 s that the target says it takes; -1 without a limit", self.target_rate_limit.clone());
        registry.register("departure_answers", "Answers to a target that leaves, by what else knows it: the store, peers, nobody", self.departure_answers.clone());
        registry.register("target_down", "Whether nothing listens at the target's address", self.target_down.clone());
        registry.register("target_ends", "Ends of the target under calls that it had in hand", self.target_ends.clone());
        registry.register("suspensions", "Times that the host was suspended", self.suspensions.clone());
        registry.register("suspects", "Requests under which targets ended and that none survived", self.suspects.clone());
        registry.register("quarantined", "Those of them that are offered to no target", self.quarantined.clone());
        registry.register("quarantine_refusals", "Callers' calls refused since their request is quarantined", self.quarantine_refusals.clone());
        registry.register("home_refusals", "Calls refused for want of a target in their home regions, and at one outside", self.home_refusals.clone());
        registry.register("key_refusals", "Calls refused for want of a key in force, by reason", self.key_refusals.clone());
        registry.register("quota_refusals", "Calls refused since their organisation made as many as it may", self.quota_refusals.clone());
        registry.register("quota_asks", "Questions for tokens of organisations, by what became of them", self.quota_asks.clone());
        registry.register("dropped_answers", "Answers that nobody waited for", self.dropped_answers.clone());
        registry.register("rows_missing", "Questions to neighbours for what their news of the members did not tell, by kind", self.rows_missing.clone());
        registry.register("links", "Links to other daemons", self.links.clone());
        registry.register("links_refused", "Links refused", self.links_refused.clone());
        registry.register("links_silent", "Links lost since the other side acknowledged nothing", self.links_silent.clone());
        registry.register("region_short", "Choices made while the bytes to other regions were used up", self.region_short.clone());
        registry.register("mesh_frames", "Messages sent to other daemons, by kind and distance", self.mesh_frames.clone());
        registry.register("mesh_bytes", "Bytes sent to other daemons, by kind and distance", self.mesh_bytes.clone());
        registry.register("bodies_in_pieces", "Bodies of callers that are passed on in pieces", self.bodies_in_pieces.clone());
        registry.register("piece_bytes", "Bytes of callers' bodies sent in pieces", self.piece_bytes.clone());
        registry.register("bodies_cut", "Bodies in pieces that did not reach the target whole, by who ended them", self.bodies_cut.clone());
        registry.register("in_flight", "Calls at the target", self.in_flight.clone());
        registry.register("held", "Calls held for the target", self.held.clone());
        registry.register("measure_messages", "Measuring: messages spent", self.measure_messages.clone());
        registry.register("measure_bytes", "Measuring: bytes spent", self.measure_bytes.clone());
        registry.register("measure_cpu_us", "Measuring: processor time charged, in microseconds", self.measure_cpu_us.clone());
        registry.register("measure_refused", "Measuring: pieces of work refused by the budget", self.measure_refused.clone());
        registry.register("measure_bytes_allowed", "Measuring: bytes allowed in a second", self.measure_bytes_allowed.clone());
        registry.register("once_records", "Once-only operations remembered as guard", self.once_records.clone());
        registry.register("settled", "Outcomes settled after a loss", self.settled.clone());
        registry.register("unlogged", "Failed calls that were not logged, for there were too many", self.unlogged.clone());
        registry.register("store_calls", "Calls to the store of rows, by what they are for", self.store_calls.clone());
        registry.register("store_steps_in", "Times that the store was asked since nobody told of it", self.store_steps_in.clone());
        registry.register("rollout_phase", "Rollout of a service: 1 running, 2 moving, 3 done, 4 reverted", self.rollout_phase.clone());
        registry.register("rollout_canary_calls", "Calls that this daemon offered to the new version since the order", self.rollout_canary_calls.clone());
        registry.register("rollout_calls_seen", "Calls of the new version that this daemon was told of", self.rollout_calls_seen.clone());
        registry.register("rollout_bad_seen", "Failed and slow ones among them", self.rollout_bad_seen.clone());
        registry.register("platform_failures", "Failed calls to the platform", self.platform_failures.clone());
    }

    /// Shows the rate limit that the target states.
    pub fn show_rate_limit(&self, limit: Option<RateLimit>) {
        let per_1000_s = limit.map_or(NO_LIMIT, |limit| limit.calls_per_1000_s as i64);
        self.target_rate_limit.set(per_1000_s);
    }

    /// The Prometheus text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &lock(&self.registry)).expect("a string takes any text");
        text
    }
}
