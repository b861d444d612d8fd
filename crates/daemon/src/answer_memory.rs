//! Memory of the target's answers, from their first byte read until they are written on a link:
//! see [`policy::AnswerMemory`].

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use lynxcleat_policy::{self as policy, AnswerMemoryLimits};
use lynxcleat_settings::Effective;
use tokio::sync::oneshot;

use crate::sync::lock;

/// Bound until settings are in force, as theirs where they say nothing.
const FIRST_LIMITS: AnswerMemoryLimits = AnswerMemoryLimits {
    total_bytes: 64 << 20,
    answer_bytes: 1 << 20,
    answers: 200,
};

/// One bound over all answers that are read, or wait to be written.
#[derive(Clone)]
pub(crate) struct AnswerMemory {
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    /// Number of the next answer.
    next: AtomicU64,
}

struct State {
    memory: policy::AnswerMemory,
    /// Whom to tell that their bytes are granted.
    waiting: HashMap<u64, oneshot::Sender<()>>,
}

/// What one answer holds. It goes where the answer goes, and is given back when dropped.
pub(crate) struct HeldAnswer {
    shared: Arc<Shared>,
    number: u64,
    holds_any: bool,
}

impl Default for AnswerMemory {
    fn default() -> Self {
        let state = State {
            memory: policy::AnswerMemory::new(FIRST_LIMITS),
            waiting: HashMap::new(),
        };
        let shared = Shared {
            state: Mutex::new(state),
            next: AtomicU64::new(0),
        };
        AnswerMemory {
            shared: Arc::new(shared),
        }
    }
}

impl AnswerMemory {
    /// Puts settings in force. What answers hold stays theirs.
    pub(crate) fn apply(&self, own: &Effective) {
        let mut state = lock(&self.shared.state);
        state.memory.set_limits(AnswerMemoryLimits {
            total_bytes: own.answer_memory_bytes as u64,
            answer_bytes: own.body_limit_bytes as u64,
            answers: own.connection_limit.into(),
        });
        state.tell_granted();
    }

    /// An answer that is read, and holds nothing so far.
    pub(crate) fn enter(&self) -> HeldAnswer {
        HeldAnswer {
            shared: Arc::clone(&self.shared),
            number: self.shared.next.fetch_add(1, Ordering::Relaxed),
            holds_any: false,
        }
    }
}

impl State {
    fn tell_granted(&mut self) {
        while let Some(number) = self.memory.next_grant() {
            if let Some(waiting) = self.waiting.remove(&number) {
                let _ = waiting.send(());
            }
        }
    }
}

impl HeldAnswer {
    /// Waits until the answer may hold `bytes` more. If the future is dropped it waits no longer;
    /// what was granted by then is given back with the rest.
    pub(crate) async fn grow(&mut self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        self.holds_any = true;
        let Some(granted) = self.ask(bytes as u64) else {
            return;
        };
        let _wait = Wait { answer: self };
        let _ = granted.await;
    }

    /// Asks for `bytes`; what tells that they are granted where they are not at once.
    fn ask(&self, bytes: u64) -> Option<oneshot::Receiver<()>> {
        let mut state = lock(&self.shared.state);
        if state.memory.grow(self.number, bytes) {
            return None;
        }
        let (granted, grants) = oneshot::channel();
        state.waiting.insert(self.number, granted);
        Some(grants)
    }
}

impl Drop for HeldAnswer {
    fn drop(&mut self) {
        if !self.holds_any {
            return;
        }
        let mut state = lock(&self.shared.state);
        state.memory.remove(self.number);
        state.tell_granted();
    }
}

/// An answer that waits, until it is granted bytes or gives up.
struct Wait<'a> {
    answer: &'a HeldAnswer,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.answer.shared.state);
        if state.waiting.remove(&self.answer.number).is_some() {
            state.memory.cancel(self.answer.number);
            state.tell_granted();
        }
    }
}
