//! Names of our headers, and the rules for headers that are not passed on.

use hyper::HeaderMap;
use hyper::header::{CONNECTION, HeaderName};

/// Time left until the deadline, in milliseconds. From callers and to targets,
/// which pass it on with calls of their own.
pub const DEADLINE: &str = "lynxcleat-deadline-ms";
/// Marks a call that is a further attempt, or was made for one. From targets
/// that call on, and to targets: such a call is not tried again further down.
pub const RETRY: &str = "lynxcleat-retry";
/// Ticket of a once-only operation. From callers; a fresh one to callers.
pub const TICKET: &str = "lynxcleat-ticket";
/// Key of the calling organisation. From callers.
pub const CALLER_KEY: &str = "lynxcleat-key";
/// Name of the calling organisation. To targets.
pub const ORGANISATION: &str = "lynxcleat-organisation";
/// Plain idempotency key, from callers.
pub const KEY: &str = "idempotency-key";
/// `run`, `not-run` or `unknown`. To callers; `not-run` also from targets that
/// shed a call.
pub const OUTCOME: &str = "lynxcleat-outcome";
/// Whether the answer is a stored one. To callers.
pub const REPLAYED: &str = "lynxcleat-replayed";
/// Name of the call, for logs and explanations. To callers, and to targets, which
/// may repeat it in their answers to show which call they answer.
pub const CALL: &str = "lynxcleat-call";
/// When to come back, in milliseconds. To callers and from targets that shed.
pub const RETRY_AFTER_MS: &str = "lynxcleat-retry-after-ms";
/// Calls a second that the target takes from all daemons together, a decimal number. From
/// targets, for as long as the limit holds.
pub const RATE_LIMIT: &str = "lynxcleat-rate-limit";
/// `1` in the answers of a target that is leaving.
pub const LEAVING: &str = "lynxcleat-leaving";
/// Prefix of all our headers.
pub const PREFIX: &str = "lynxcleat-";

const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether a header concerns one connection only (RFC 9110, section 7.6.1).
pub fn is_hop_by_hop(name: &HeaderName) -> bool {
    HOP_BY_HOP.contains(&name.as_str())
}

/// Headers that the `Connection` header declares to concern one connection only.
pub fn listed_in_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|token| token.trim().parse().ok())
        .collect()
}
