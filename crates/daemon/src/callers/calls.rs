//! The calls of one connection, as its side of HTTP sees them.

use std::future::ready;
use std::sync::Arc;

use futures_util::future::{BoxFuture, FutureExt};
use hyper::Response;
use hyper::body::Bytes;
use hyper::http::request::Parts;
use tokio::sync::Notify;

use super::answer::HttpAnswer;
use super::serve::{self, Checked};
use crate::core::Core;
use crate::http1::{Malformed, RequestBody, Service};
use crate::life::Phase;
use crate::metrics::count;

/// Answers the calls of one connection.
pub(super) struct Calls {
    core: Arc<Core>,
    /// The caller is this host's target, which calls on while it runs a call.
    nested: bool,
    first: Notify,
}

impl Calls {
    pub(super) fn new(core: Arc<Core>, nested: bool) -> Self {
        Calls {
            core,
            nested,
            first: Notify::new(),
        }
    }

    /// Waits for the first request.
    pub(super) async fn first(&self) {
        self.first.notified().await;
    }
}

impl Service for Calls {
    type Checked = Checked;
    type Answering = BoxFuture<'static, HttpAnswer>;

    fn check(&self, parts: Parts) -> Checked {
        self.first.notify_one();
        serve::check(&self.core, &parts)
    }

    fn has_effects(&self, checked: &Checked) -> bool {
        checked.has_effects()
    }

    fn begin(&self, checked: Checked, body: RequestBody, is_behind: bool) -> Self::Answering {
        if is_behind {
            self.core.metrics.pipelined_calls.inc();
        }
        serve::serve(Arc::clone(&self.core), checked, body, self.nested).boxed()
    }

    fn refuse(&self, malformed: Malformed) -> Self::Answering {
        let mut answer = Response::new(Bytes::new());
        *answer.status_mut() = malformed.status();
        ready(answer).boxed()
    }

    fn note_malformed(&self, malformed: Malformed) {
        count(&self.core.metrics.malformed_requests, malformed.label());
        if self.core.explain.logs(self.core.clock.now(), false) {
            let reason = malformed.label();
            log::info!(reason; "request refused: {malformed}");
        }
    }

    fn note_bound(&self) {
        self.core.metrics.pipelines_at_bound.inc();
    }

    fn is_stopping(&self) -> bool {
        self.core.life.phase() > Phase::Serving
    }
}
