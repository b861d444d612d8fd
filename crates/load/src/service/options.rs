//! What a run of a service is given, and what it measures.

use lynxcleat_policy::{AdmissionLimits, Micros, RateLimit, RouterParams};

use crate::report::Latency;

/// A fake target.
#[derive(Clone, Debug)]
pub struct FakeTarget {
    /// One-way delay to it, in microseconds.
    pub path_us: Micros,
    /// Service times are multiplied by this during `odd`.
    pub factor: f64,
    /// Fails every call this fast during `odd`, in microseconds.
    pub fail_after_us: Option<Micros>,
    /// Time during which it is odd.
    pub odd: (Micros, Micros),
    /// When it joins; 0 for one that is there from the start.
    pub joins_at: Micros,
    /// Limits that its answers state, each from a time on; `None` ends one.
    pub limits: Vec<(Micros, Option<RateLimit>)>,
    /// From when on its answers say that it leaves.
    pub leaves_at: Micros,
}

impl Default for FakeTarget {
    fn default() -> Self {
        FakeTarget {
            path_us: 150,
            factor: 1.0,
            fail_after_us: None,
            odd: (0, Micros::MAX),
            joins_at: 0,
            limits: Vec::new(),
            leaves_at: Micros::MAX,
        }
    }
}

/// Options of a run.
#[derive(Clone, Debug)]
pub struct ServiceOptions {
    /// Routers that share the load.
    pub routers: usize,
    /// The targets.
    pub targets: Vec<FakeTarget>,
    /// Slots and hold limit of each target.
    pub limits: AdmissionLimits,
    /// Mean service time in microseconds.
    pub service_us: f64,
    /// Settings of the routers.
    pub params: RouterParams,
    /// Deadline of a call in microseconds.
    pub deadline_us: Micros,
    /// Calls a second from each of these times on.
    pub rates: Vec<(Micros, f64)>,
    /// When calls stop arriving.
    pub end: Micros,
    /// Times that a caller comes back, when told to, within its deadline.
    pub repeats: u32,
    /// Share of answers that carry figures: what the measuring budget allows.
    pub figures_share: f64,
    /// Whether targets take and queue every call, whatever their limits.
    pub plain: bool,
    /// Seed of everything random.
    pub seed: u64,
}

impl ServiceOptions {
    /// Lets routers offer a call elsewhere that a target's daemon refused.
    pub fn allow_reroutes(&mut self) {
        self.params.reroute_limit = self.targets.len() as u32;
    }
}

/// What a run measured.
#[derive(Clone, Debug, Default)]
pub struct Measured {
    /// Latencies of calls served in time or late, from their first arrival.
    pub served: Latency,
    /// Served latencies of calls that arrived in a window of interest.
    pub window: Latency,
    /// Times from arrival until a refusal was told.
    pub refusal: Latency,
    /// Calls that arrived.
    pub calls: u64,
    /// Calls served before their deadline.
    pub in_time: u64,
    /// Calls refused for good.
    pub refused: u64,
    /// Calls answered with a server error.
    pub errors: u64,
    /// Calls whose outcome was unknown.
    pub unknown: u64,
    /// Calls that routers took, callers' repetitions included.
    pub routed: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Further attempts sent.
    pub retries: u64,
    /// Answers that carried figures.
    pub figures: u64,
    /// Attempts by target from 100 ms after the targets' odd time began.
    pub by_target: Vec<u64>,
    /// When calls were delivered to each target.
    pub delivered: Vec<Vec<Micros>>,
    /// Served calls as (arrival, latency), for recovery times.
    pub series: Vec<(Micros, Micros)>,
}
