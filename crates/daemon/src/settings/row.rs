//! Settings that stand in a row of a store.

use std::sync::Arc;
use std::time::Instant;

use lynxcleat_settings::Generation;

use crate::core::Core;
use crate::directory::DirectoryState;

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
        Ok(Err(error)) => return log::error!("settings refused: {error}"),
        Err(error) => return log::error!("settings not read: {error}"),
    };
    let ms = begun.elapsed().as_millis() as u64;
    log::info!(generation = translated.number, bytes, ms; "settings read from the store");
    let generation = Generation::from_tree(translated.number, translated.tree);
    match core.settings.offer(generation) {
        Ok(true) => core.apply_settings(),
        Ok(false) => {}
        Err(error) => log::error!("settings refused: {error}"),
    }
}
