//! A request in hand, as the quarantine knows it.

use std::sync::OnceLock;

use hyper::header::HeaderName;
use lynxcleat_policy::{
    BodyCoverage, Micros, QuarantineStatus, RequestFingerprints, SuspectUpdate, TargetExitId,
};
use lynxcleat_wire::{RequestHead, partial_request_fingerprints};

use super::QuarantineState;
use crate::dialect::Dialect;

/// A request in hand. Its fingerprints are worked out once, and only where some request is
/// suspect or a target ended under this one.
#[derive(Clone, Copy)]
pub struct Request<'a> {
    /// What is known of suspects.
    pub quarantine: &'a QuarantineState,
    /// The interface that it came by.
    pub dialect: &'a Dialect,
    /// Name of the call.
    pub call: &'a str,
    /// Head of the request.
    pub head: &'a RequestHead,
    /// Its body, as far as it was read.
    pub body: &'a [u8],
    /// How much of its body that is.
    pub coverage: BodyCoverage,
    /// Service of the host where it began, where targets are told it.
    pub caller_service: Option<&'a str>,
    /// Name of the calling organisation.
    pub organisation: Option<&'a str>,
    /// Its fingerprints once they are known.
    pub prints: &'a OnceLock<RequestFingerprints>,
}

impl Request<'_> {
    /// Its fingerprints.
    pub fn prints(&self) -> RequestFingerprints {
        *self.prints.get_or_init(|| {
            let is_ours = |name: &str| {
                let name = HeaderName::from_bytes(name.as_bytes());
                name.is_ok_and(|name| (self.dialect.is_ours)(&name))
            };
            partial_request_fingerprints(
                self.head,
                (self.body, self.coverage),
                self.caller_service,
                self.organisation,
                is_ours,
            )
        })
    }

    /// What is to be done with it.
    pub fn standing(&self) -> QuarantineStatus {
        match self.quarantine.any() {
            true => self.quarantine.standing(self.prints()),
            false => QuarantineStatus::Clear,
        }
    }

    /// What is known against it, where it is suspect, for the half that it is sent to.
    pub fn news(&self) -> Option<Vec<SuspectUpdate>> {
        let is_suspect = self.standing() == QuarantineStatus::Suspect;
        is_suspect.then(|| self.quarantine.news_of(self.prints()))
    }

    /// A target ended with it in hand; it was sent there at some time.
    pub fn ended(&self, end: TargetExitId, sent_at: Micros) {
        let prints = self.prints();
        self.quarantine.ended(self.call, end, prints, sent_at);
    }

    /// A target ran it to its end and answered.
    pub fn survived(&self) {
        if self.quarantine.any() {
            self.quarantine.survived(self.call, self.prints());
        }
    }
}
