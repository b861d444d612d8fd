//! Storing a departure for the daemon of its host, which the store may turn away.
//!
//! Of the peers that were asked to hold it, the first that reaches the store does it, and the
//! others see it there.

use std::sync::Arc;
use std::time::Duration;

use lynxcleat_policy::Departure;

use crate::core::Core;
use crate::directory::member;
use crate::directory::state::DirectoryState;
use crate::metrics::count;
use crate::sync::lock;

/// Longest pause before a peer stores a departure, and between its later tries.
const FIRST_STORE_PAUSE: Duration = Duration::from_millis(1_000);
const LONGEST_STORE_PAUSE: Duration = Duration::from_secs(8);

/// Starts trying until the store holds the departure.
pub fn spawn(core: &Arc<Core>, departure: Departure) {
    tokio::spawn(store(Arc::clone(core), departure));
}

async fn store(core: Arc<Core>, departure: Departure) {
    let Some(directory) = &core.directory else {
        return;
    };
    let mut pause = FIRST_STORE_PAUSE;
    loop {
        tokio::time::sleep(pause.mul_f64(rand::random_range(0.1..1.0))).await;
        if !lock(&directory.departures).is_unstored(&departure) {
            return;
        }
        if member::is_stored(directory, &departure) || write(&core, directory, &departure).await {
            return lock(&directory.departures).record_stored(departure);
        }
        pause = (pause * 2).min(LONGEST_STORE_PAUSE);
    }
}

/// Adds the departure to the row of its host. Returns whether the store has taken it.
async fn write(core: &Core, directory: &DirectoryState, departure: &Departure) -> bool {
    let Some(write) = member::write_with(directory, departure) else {
        return false;
    };
    count(&core.metrics.store_calls, "departure");
    let host = departure.host.as_str();
    match directory.store().write(write).await {
        Ok(_) => {
            log::info!(host, instance = departure.instance.as_str(); "departure stored for its host");
            true
        }
        Err(error) => {
            log::debug!("departure of {host}: {error}");
            false
        }
    }
}
