//! What is quarantined, in the table of our own platform, which drops rows by itself.

use std::sync::Arc;
use std::time::Duration;

use lynxcleat_policy::Fingerprint;
use lynxcleat_store::{PlatformError, Put, Row, Txn, keys};

use super::jittered;
use crate::core::Core;
use crate::metrics::count;
use crate::quarantine::{KEPT_MS, StoredSuspect};

/// Rows read at a start, at most.
const ROWS: usize = 256;
/// Pause before a call that failed is made again, in milliseconds.
const PAUSE_MS: u64 = 1_000;

/// Reads what earlier runs stored, then stores what is quarantined here, until the daemon ends.
pub(super) async fn keep(core: Arc<Core>) {
    while let Err(error) = read(&core).await {
        failed(&core, &error).await;
    }
    loop {
        let print = core.quarantine.next_unsaved().await;
        match save(&core, print).await {
            Ok(()) => core.quarantine.saved(print),
            Err(error) => failed(&core, &error).await,
        }
    }
}

async fn failed(core: &Core, error: &PlatformError) {
    count(&core.metrics.platform_failures, "quarantine");
    log::warn!("quarantines: {error}");
    let pause: Duration = jittered(PAUSE_MS);
    tokio::time::sleep(pause).await;
}

async fn read(core: &Core) -> Result<(), PlatformError> {
    let platform = core.platform.clone();
    let scanned = move || platform.scan(keys::QUARANTINE, "", ROWS);
    let rows: Vec<Row> = blocking(scanned).await?;
    for row in rows {
        // A request that may run again leaves a row without a value.
        if row.value.is_null() {
            continue;
        }
        match serde_json::from_value::<StoredSuspect>(row.value) {
            Ok(stored) => core.quarantine.take_stored(&stored),
            Err(error) => log::error!(key = row.key.as_str(); "quarantine row: {error}"),
        }
    }
    Ok(())
}

async fn save(core: &Core, print: Fingerprint) -> Result<(), PlatformError> {
    let stored = core.quarantine.to_store(print);
    let value = serde_json::to_value(stored).expect("a suspect encodes");
    let put = Put {
        key: format!("{}{print}", keys::QUARANTINE),
        value,
        ttl_ms: Some(KEPT_MS),
    };
    let txn = Txn {
        checks: Vec::new(),
        puts: vec![put],
    };
    let platform = core.platform.clone();
    blocking(move || platform.write(&txn)).await.map(|_| ())
}

/// Runs a call of the blocking client. Only a runtime that ends gives one up.
async fn blocking<T: Send + 'static>(
    call: impl FnOnce() -> Result<T, PlatformError> + Send + 'static,
) -> Result<T, PlatformError> {
    let called = tokio::task::spawn_blocking(call).await;
    called.unwrap_or_else(|error| Err(PlatformError::NoReply(error.to_string())))
}
