//! Asking the target for its load, where the answers to calls did not tell it of late.
//!
//! A target that is seldom called may turn slow without a word, and the next call finds
//! out. A question costs a little, so it is asked only while calls come and at the start,
//! only after a silence, and only within the measuring budget.

use std::sync::Arc;
use std::time::Duration;

use lynxcleat_settings::Effective;

use crate::core::Core;

/// Longest time for an answer; a target answers this question at once.
const ASK_LIMIT: Duration = Duration::from_millis(500);
/// Longest time for an answer that held calls wait for: the time between two looks in a
/// spell of usual length.
const LOOK_LIMIT: Duration = Duration::from_millis(25);
/// Time without calls after which no question is asked.
const IDLE_LIMIT: Duration = Duration::from_millis(600);
/// Readings for which a target is asked though no calls come: over a second or so, which is
/// some slow spells of usual length, one of them tells its usual speed. Without it the first
/// calls could not tell a slow spell from a slow target.
const FIRST_READINGS: u32 = 8;
/// Pause while no question is to be asked.
const OFF_PAUSE: Duration = Duration::from_millis(1_000);
/// Looks at the silence, for each length of silence that is allowed.
const LOOKS: u32 = 2;

/// Starts both tasks: the one that asks the target now and then, and the one that looks at
/// held calls again.
pub fn start(core: &Arc<Core>) {
    tokio::spawn(follow(Arc::clone(core)));
    tokio::spawn(follow_held(Arc::clone(core)));
}

/// Asks the target now and then, until the daemon ends.
async fn follow(core: Arc<Core>) {
    loop {
        let pause = match wanted(&core) {
            Some((path, silence)) => {
                ask_if_silent(&core, &path, silence).await;
                silence / LOOKS
            }
            None => OFF_PAUSE,
        };
        tokio::time::sleep(pause).await;
    }
}

/// Looks at held calls again whenever their admission wants that, until the daemon ends.
/// The target is asked for its load first; where that may not be or brings nothing, the
/// admission goes by what it knows.
async fn follow_held(core: Arc<Core>) {
    loop {
        let next = core.half.next_look().await;
        tokio::time::sleep_until(core.clock.instant(next.at)).await;
        if let Some((path, _)) = wanted(&core).filter(|_| next.needs_reading) {
            core.half.ask_load(&core, &path, LOOK_LIMIT).await;
        }
        core.half.look();
    }
}

/// Where the settings say to ask, and after which silence.
fn wanted(core: &Core) -> Option<(String, Duration)> {
    let in_force = core.settings.current()?;
    let own = &in_force.own;
    asks_for_load(core, own).then(|| {
        (
            own.load_path.clone(),
            Duration::from_millis(own.load_poll_ms),
        )
    })
}

async fn ask_if_silent(core: &Core, path: &str, silence: Duration) {
    let half = &core.half;
    let is_known = half.load_readings() >= FIRST_READINGS;
    let is_idle = is_known && half.since_last_call() > IDLE_LIMIT;
    let has_told = half.since_load_told().is_some_and(|age| age < silence);
    let is_wanted = half.wants_cold_reading() || !(is_idle || has_told);
    if is_wanted && !half.is_leaving() {
        half.ask_load(core, path, ASK_LIMIT).await;
    }
}

/// Whether the settings say that the target may be asked for its load, and it can tell it.
pub fn asks_for_load(core: &Core, own: &Effective) -> bool {
    core.dialect.load.is_some() && own.load_poll_ms > 0 && !own.load_path.is_empty()
}
