//! The waits of a connection: for the head of a request, and for the end of a caller whose
//! bytes are not read.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time::{Instant, Sleep, sleep_until};

/// Time between two looks whether a caller has gone whose bytes are not read.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// A limit on the time for which a connection waits for a request with nothing in hand.
///
/// The timer is left to run while calls are in hand, and set anew when it has fired: one
/// timer operation for many requests.
#[derive(Debug)]
pub(super) struct IdleLimit {
    limit: Duration,
    due: Option<Instant>,
    timer: Pin<Box<Sleep>>,
}

impl IdleLimit {
    pub(super) fn new(limit: Duration) -> Self {
        IdleLimit {
            limit,
            due: None,
            timer: Box::pin(sleep_until(Instant::now() + limit)),
        }
    }

    /// Something is in hand.
    pub(super) fn restart(&mut self) {
        self.due = None;
    }

    /// Ready when nothing was in hand for as long as it may be.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let due = *self.due.get_or_insert_with(|| Instant::now() + self.limit);
        while self.timer.as_mut().poll(cx).is_ready() {
            if self.timer.deadline() >= due {
                return Poll::Ready(());
            }
            self.timer.as_mut().reset(due);
        }
        Poll::Pending
    }
}

/// Regular looks while a connection is not read.
#[derive(Debug, Default)]
pub(super) struct Looks {
    timer: Option<Pin<Box<Sleep>>>,
}

impl Looks {
    /// Ready when it is time for a look.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let next = || Box::pin(sleep_until(Instant::now() + LOOK_EVERY));
        let timer = self.timer.get_or_insert_with(next);
        let looked = timer.as_mut().poll(cx);
        if looked.is_ready() {
            self.timer = None;
        }
        looked
    }

    /// The connection is read again.
    pub(super) fn stop(&mut self) {
        self.timer = None;
    }
}
