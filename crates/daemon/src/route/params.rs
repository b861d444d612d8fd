//! A router's parameters, from the settings in force for its service.

use lynxcleat_policy::{
    DistanceCosts, Policy, RetryBound, RetryParams, RouterParams, SelectionParams,
};
use lynxcleat_settings::Effective;

/// This daemon's part of the bound that all daemons keep together. Half of the reserve
/// is kept back for daemons that start anew and know nothing of what they sent.
fn retry_bound(effective: &Effective, hosts: usize) -> Option<RetryBound> {
    if effective.retry_window_ms == 0 {
        return None;
    }
    let part = u64::from(effective.retry_reserve) / 2 / hosts.max(1) as u64;
    Some(RetryBound {
        window_us: effective.retry_window_ms * 1_000,
        reserve: u32::try_from(part).unwrap_or(u32::MAX),
    })
}

/// What the settings say that ways cost.
pub fn way_prices(effective: &Effective) -> DistanceCosts {
    DistanceCosts {
        far_percent: effective.far_price_percent,
        region_percent: effective.region_price_percent,
    }
}

/// What the settings in force for a service say to its router, in a fleet of `hosts`.
pub(super) fn params(effective: &Effective, hosts: usize) -> RouterParams {
    RouterParams {
        selection: SelectionParams {
            policy: effective.policy.parse().unwrap_or(Policy::ExpectedFinish),
            ramp_us: effective.ramp_ms * 1_000,
            eject_failures: effective.eject_failures,
            eject_us: effective.eject_ms * 1_000,
            prices: way_prices(effective),
        },
        attempt_limit: effective.attempt_limit,
        retry_budget: RetryParams {
            percent: effective.retry_percent,
            bound: retry_bound(effective, hosts),
        },
        reroute_limit: effective.reroute_limit,
    }
}
