//! Rollouts: what is offered to a new version, who judges it, and what all daemons together
//! make of it.

mod judging;
mod offering;
mod orders;
mod world;

const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;
const SERVICE: &str = "stock";
const SHARE: f64 = 0.1;
const SLACK: f64 = 50.0;
const ROLL_BACK: u64 = 5 * SECOND;
const TICK: u64 = 10 * MS;
const TELL: u64 = 250 * MS;
/// Old targets whose halves tell what they count.
const BASELINE: usize = 6;
const USUAL_US: [u32; 3] = [100_000, 40_000, 160_000];
