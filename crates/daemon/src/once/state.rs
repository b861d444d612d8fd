//! What a daemon keeps of once-only operations: its tickets, its guard, and claimed keys.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};

use lynxcleat_once::{
    Guard, GuardLimits, HostListHistory, Incarnation, OpId, Operation, Ticket, TicketError,
    TicketKey,
};
use lynxcleat_policy::{Micros, NotRunReason};
use lynxcleat_settings::Effective;
use lynxcleat_wire::{Answer, SharedKey};

use super::claimed::Claims;
use crate::clock::Clock;
use crate::kept::Kept;
use crate::sync::lock;

/// Time past a call's deadline for which an operation without a ticket is
/// remembered, in milliseconds.
const PLAIN_KEEP_MS: u64 = 5_000;

/// Reported operations that are remembered, so as not to report them again.
const REPORTED_LIMIT: usize = 10_000;

/// What the caller of a once-only call is told.
#[derive(Clone, Debug, PartialEq)]
pub enum OnceVerdict {
    /// It ran, now or earlier.
    Ran {
        /// Its answer.
        answer: Answer,
        /// Whether it ran for an earlier call.
        replayed: bool,
    },
    /// It was not run.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When to come back.
        retry_after_us: Micros,
    },
    /// Its guard is lost, every target says that it was not run, and it is fenced
    /// for good: a new ticket is needed to run it.
    Fenced {
        /// When to come back.
        retry_after_us: Micros,
    },
    /// It may have run; asking again later may tell.
    Unknown {
        /// When to ask again.
        retry_after_us: Micros,
    },
    /// The memory of operations is full; it was not run.
    MemoryFull {
        /// When to come back.
        retry_after_us: Micros,
    },
    /// The platform could not record the key; it was not run.
    NoClaim {
        /// When to come back.
        retry_after_us: Micros,
    },
}

/// The key that seals tickets. Without a shared key no ticket is handed out, and a
/// random one serves.
fn ticket_key(shared_key: Option<&SharedKey>) -> TicketKey {
    match shared_key {
        Some(key) => TicketKey::new(key.bytes()),
        None => TicketKey::new(&rand::random::<[u8; 32]>()),
    }
}

/// State of the once-only part.
pub struct Once {
    pub(super) clock: Clock,
    pub(super) key: TicketKey,
    pub(super) guard: Mutex<Guard<Kept>>,
    pub(super) waiting: Mutex<HashMap<OpId, Vec<flume::Sender<OnceVerdict>>>>,
    pub(super) roster: Mutex<HostListHistory>,
    pub(super) claims: Claims,
    pub(super) reported: Mutex<HashSet<OpId>>,
    pub(super) settings: Mutex<Option<Arc<Effective>>>,
}

impl Once {
    /// Nothing minted, nothing remembered.
    pub fn new(
        clock: Clock,
        me: Incarnation,
        mesh: String,
        shared_key: Option<&SharedKey>,
    ) -> Self {
        let limits = GuardLimits {
            retention_ms: 0,
            entries: 0,
            bytes: 0,
        };
        Once {
            clock,
            key: ticket_key(shared_key),
            guard: Mutex::new(Guard::new(me, mesh, limits)),
            waiting: Mutex::default(),
            roster: Mutex::new(HostListHistory::new()),
            claims: Claims::default(),
            reported: Mutex::default(),
            settings: Mutex::default(),
        }
    }

    /// Puts settings in force.
    pub fn apply(&self, own: &Arc<Effective>) {
        lock(&self.guard).set_limits(GuardLimits {
            retention_ms: own.once_retention_ms,
            entries: own.once_memory_entries,
            bytes: own.once_memory_bytes,
        });
        *lock(&self.settings) = Some(Arc::clone(own));
    }

    /// Forgets the answers that may not be kept any more.
    pub fn forget_answers(&self, may_keep: impl FnMut(&Kept) -> bool) {
        lock(&self.guard).forget_answers(may_keep);
    }

    /// Mints a ticket, as text.
    pub fn mint_text(&self) -> String {
        self.key.sign(&self.mint())
    }

    /// Reads a ticket's text.
    ///
    /// # Errors
    /// A text that is no ticket of this deployment.
    pub fn open(&self, text: &str) -> Result<Ticket, TicketError> {
        self.key.verify(text)
    }

    /// Names a call with effects that carries neither ticket nor key, so that
    /// targets can remember and fence it.
    pub fn name_plain(&self, left_us: u64) -> Operation {
        let ticket = self.mint();
        Operation {
            op: ticket.op,
            minted_ms: None,
            validity_ms: left_us / 1_000 + PLAIN_KEEP_MS,
        }
    }

    /// A target half of a service is gone or was replaced.
    pub fn half_gone(&self, service: &str) {
        lock(&self.roster).record_departure(self.clock.wall_ms(), service);
    }

    /// The whole host list was read; the reading began at `begun_ms`.
    pub fn hosts_listed(&self, begun_ms: u64) {
        lock(&self.roster).record_read(begun_ms);
    }

    /// Operations remembered as guard.
    pub fn records(&self) -> usize {
        lock(&self.guard).len()
    }

    /// Whether an unsettled operation has not been reported by this daemon yet.
    pub(super) fn is_first_report(&self, op: OpId) -> bool {
        let mut reported = lock(&self.reported);
        if reported.len() >= REPORTED_LIMIT {
            reported.clear();
        }
        reported.insert(op)
    }

    pub(super) fn mint(&self) -> Ticket {
        lock(&self.guard).mint(self.clock.wall_ms())
    }

    pub(super) fn operation(&self, ticket: &Ticket) -> Operation {
        Operation {
            op: ticket.op,
            minted_ms: Some(ticket.minted_ms),
            validity_ms: self.retention_ms(),
        }
    }

    pub(super) fn retention_ms(&self) -> u64 {
        let settings = lock(&self.settings);
        settings.as_ref().map_or(0, |own| own.once_retention_ms)
    }

    pub(super) fn list_lag_ms(&self) -> u64 {
        let settings = lock(&self.settings);
        settings
            .as_ref()
            .map_or(u64::MAX / 4, |own| own.list_lag_ms)
    }
}
