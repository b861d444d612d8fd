//! What the target says of itself in its answers: the rate that it takes, and that it leaves.

use hyper::HeaderMap;
use lynxcleat_policy::{Micros, RateLimit, StatedLimit};

use super::state::Half;
use crate::core::Core;
use crate::metrics::count;
use crate::sync::lock;

/// Who answered which call.
pub(super) struct Answerer<'a> {
    /// The incarnation that the call was meant for, where it has a name.
    pub instance: Option<&'a str>,
    /// When the call was sent, or before.
    pub sent_at: Micros,
}

/// What the incarnation in place said.
#[derive(Default)]
pub(super) struct Notices {
    limit: StatedLimit,
    leaving: bool,
    /// The last text for a limit that was no rate; each is logged once.
    no_rate: Option<String>,
}

impl Half {
    /// Takes what the headers of an answer say of the target.
    pub(super) fn hear(&self, core: &Core, headers: &HeaderMap, answerer: Answerer<'_>) {
        if !self.is_in_place(answerer.instance) {
            return;
        }
        self.hear_limit(core, headers, &answerer);
        if core.dialect.is_leaving(headers) {
            self.hear_leaving(core, &answerer);
        }
    }

    /// Another incarnation stands in place, which has said nothing yet.
    pub(super) fn forget_notices(&self) {
        *lock(&self.notices) = Notices::default();
    }

    fn hear_limit(&self, core: &Core, headers: &HeaderMap, answerer: &Answerer<'_>) {
        let stated = match core.dialect.rate_limit(headers) {
            Ok(stated) => stated,
            Err(error) => {
                count(&core.metrics.target_notices, "no-rate");
                let mut notices = lock(&self.notices);
                if notices.no_rate.as_ref() != Some(&error.0) {
                    log::warn!("rate limit of the target: {error}");
                    notices.no_rate = Some(error.0);
                }
                return;
            }
        };
        if stated.is_some() {
            count(&core.metrics.target_notices, "rate-limit");
        }
        let now = self.clock.now();
        let changed = lock(&self.notices)
            .limit
            .record(now, answerer.sent_at, stated);
        if changed {
            core.metrics.show_rate_limit(stated);
            log::info!(
                calls_per_s:? = stated.map(RateLimit::per_s),
                instance:? = answerer.instance;
                "rate limit of the target"
            );
        }
    }

    fn hear_leaving(&self, core: &Core, answerer: &Answerer<'_>) {
        count(&core.metrics.target_notices, "leaving");
        if !std::mem::replace(&mut lock(&self.notices).leaving, true) {
            log::info!(instance:? = answerer.instance; "the target says that it leaves");
        }
    }
}
