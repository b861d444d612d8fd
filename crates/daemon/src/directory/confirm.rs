//! After a restart of this daemon: asking the target whether it is still the one that the
//! earlier run left word of.
//!
//! A target reports now and then only, and is given no calls before. Its daemon's own row
//! names the incarnation that took calls last, and the target itself tells which one it is.
//! Where both agree and it is well, it need not report first.

use std::sync::Arc;
use std::time::Duration;

use lynxcleat_policy::ReportEffect;

use super::history;
use crate::core::Core;
use crate::half::EarlierTarget;

/// Pause between two questions, and how many are asked: for as long as targets take between
/// two reports.
const PAUSE: Duration = Duration::from_millis(100);
const QUESTIONS: usize = 15;

/// Asks until the target answers as that incarnation, or it reported meanwhile. Its answer may be
/// wrong, so peers are heard first: they know if it leaves.
pub(super) async fn target(core: Arc<Core>, earlier: EarlierTarget) {
    history::known(&core).await;
    for _ in 0..QUESTIONS {
        let is_known = core
            .half
            .with_reports(|reports| reports.current().is_some());
        if is_known != Some(false) {
            return;
        }
        let confirmed = core.half.confirm(&core, &earlier).await;
        if confirmed == ReportEffect::Changed {
            log::info!(instance = earlier.instance.as_str(); "target confirmed");
            core.apply_target();
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
}
