//! Asking the target for its load, where the answers to calls did not tell it of late.
//!
//! A target that is seldom called may turn slow without a word, and the next call finds
//! out. A question costs a little, so it is asked only while calls come, only after a
//! silence, and only within the measuring budget.

use std::sync::Arc;
use std::time::Duration;

use lynxcleat_policy::Cost;

use crate::core::Core;

/// Bytes charged for a question: request, answer, and TCP's own.
const ASK_BYTES: usize = 500;
/// Processor time charged for a question, in microseconds.
const ASK_CPU_US: u64 = 150;
/// Longest time for an answer; a target answers this question at once.
const ASK_LIMIT: Duration = Duration::from_millis(500);
/// Time without calls after which no question is asked.
const IDLE_LIMIT: Duration = Duration::from_millis(600);
/// Pause while no question is to be asked.
const OFF_PAUSE: Duration = Duration::from_millis(1_000);
/// Looks at the silence, for each length of silence that is allowed.
const LOOKS: u32 = 2;

/// Asks the target now and then, until the daemon ends.
pub async fn follow(core: Arc<Core>) {
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

/// Where the settings say to ask, and after which silence.
fn wanted(core: &Core) -> Option<(String, Duration)> {
    let in_force = core.settings.current()?;
    let own = &in_force.own;
    let asks = core.dialect.load.is_some() && own.load_poll_ms > 0 && !own.load_path.is_empty();
    asks.then(|| {
        (
            own.load_path.clone(),
            Duration::from_millis(own.load_poll_ms),
        )
    })
}

async fn ask_if_silent(core: &Core, path: &str, silence: Duration) {
    let half = &core.half;
    let needless = half.is_leaving()
        || half.since_last_call() > IDLE_LIMIT
        || half.since_load_told().is_some_and(|age| age < silence);
    if needless || !core.budget.ask(Cost::message(ASK_BYTES, ASK_CPU_US)) {
        return;
    }
    if tokio::time::timeout(ASK_LIMIT, half.ask_load(core, path))
        .await
        .is_err()
    {
        log::debug!("the target did not tell its load");
    }
}
