//! Settings that stand in a row of a store.

use std::sync::Arc;
use std::time::Instant;

use lynxcleat_settings::Generation;

use crate::core::Core;
use crate::directory::{AdjustedValue, DirectoryState};

/// Values that are logged of one generation; all are counted.
const LOGGED_VALUES: usize = 50;

/// Takes the value of the row that holds the settings. It is read beside the calls, in a thread
/// of its own.
pub async fn take_row(core: &Arc<Core>, directory: &DirectoryState, value: Vec<u8>) {
    let begun = Instant::now();
    let read = directory.settings_reader();
    let in_force = core.settings.current();
    let bytes = value.len();
    let read = tokio::task::spawn_blocking(move || {
        read(
            &value,
            in_force.as_ref().map(|known| &known.generation.tree),
        )
    });
    let translated = match read.await {
        Ok(Ok(translated)) => translated,
        Ok(Err(error)) => return refuse(core, &error),
        Err(error) => return log::error!("settings not read: {error}"),
    };
    note_adjusted(core, &translated.adjusted);
    let ms = begun.elapsed().as_millis() as u64;
    log::info!(generation = translated.number, bytes, ms; "settings read from the store");
    let generation = Generation::from_tree(translated.number, translated.tree);
    match core.settings.offer(generation) {
        Ok(true) => core.apply_settings(),
        Ok(false) => {}
        Err(error) => refuse(core, &error),
    }
}

fn refuse(core: &Core, error: &dyn std::error::Error) {
    core.metrics.settings_refused.inc();
    log::error!("settings refused: {error}");
}

/// Tells of values that are in force otherwise than they are written.
fn note_adjusted(core: &Core, adjusted: &[AdjustedValue]) {
    core.metrics.settings_adjusted.inc_by(adjusted.len() as u64);
    for value in adjusted.iter().take(LOGGED_VALUES) {
        let (path, written) = (value.path.as_str(), value.written.as_str());
        let served = value.served.as_str();
        log::warn!(path, written, served; "a setting is in force otherwise than written");
    }
}
