//! What answers the requests of a connection.

use hyper::Response;
use hyper::body::Bytes;
use hyper::http::request::Parts;

use super::body::RequestBody;
use super::malformed::Malformed;

/// Answers requests.
pub trait Service {
    /// A request whose head was checked.
    type Checked;
    /// A call that runs. Dropped, it is cancelled.
    type Answering: Future<Output = Response<Bytes>> + Unpin;

    /// Checks a head as soon as it was read.
    fn check(&self, parts: Parts) -> Self::Checked;

    /// Whether the call has effects: it then runs alone on its connection.
    fn has_effects(&self, checked: &Self::Checked) -> bool;

    /// Begins a call. `is_behind` says that others before it on the connection run.
    fn begin(&self, checked: Self::Checked, body: RequestBody, is_behind: bool) -> Self::Answering;

    /// The answer to what cannot be framed as a request.
    fn refuse(&self, malformed: Malformed) -> Self::Answering;

    /// What cannot be framed came. The connection ends after the answers to what was before.
    fn note_malformed(&self, malformed: Malformed);

    /// Requests wait unread since as much is in hand as may be.
    fn note_bound(&self);

    /// Whether the connection is to end with the calls in hand.
    fn is_stopping(&self) -> bool;
}
