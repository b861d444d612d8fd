//! Tests of progressive rollouts: the canary share of a router, the canary analysis, the state
//! machine of a daemon, and simulations of many daemons.

mod analysis;
mod canary_share;
mod orders;
mod simulation;

const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;
const SERVICE: &str = "stock";
const SHARE: f64 = 0.1;
const CANARY_SLACK: f64 = 50.0;
const ROLLBACK_LIMIT: u64 = 5 * SECOND;
const TICK: u64 = 10 * MS;
const EVIDENCE_INTERVAL: u64 = 250 * MS;
/// Number of old targets that send evidence.
const BASELINE_TARGETS: usize = 6;
const USUAL_LATENCY_US: [u32; 3] = [100_000, 40_000, 160_000];
