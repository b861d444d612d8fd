//! Fingerprints that identify a request in the same way on every daemon that handles it.

use lynxcleat_policy::{BodyCoverage, Fingerprint, RequestFingerprints};
use sha2::{Digest, Sha256};

use crate::frame::{Header, RequestHead};

/// Header that is part of the content, since a request is routed by it.
const HOST_HEADER: &str = "host";
/// Field that follows the beginning of a body.
const BEGINNING_FIELD: &[u8] = b"beginning of the body";
/// Field that follows in place of a body that was not read.
const NOT_READ_FIELD: &[u8] = b"body not read";
/// Size of each half of a fingerprint, in bytes.
const HALF_BYTES: usize = 8;

/// Computes the fingerprints of a request made by a service on behalf of an organisation. Headers
/// for which `is_internal` returns true are excluded, since their values differ between attempts.
pub fn request_fingerprints(
    head: &RequestHead,
    body: &[u8],
    caller_service: Option<&str>,
    organisation: Option<&str>,
    is_internal: impl Fn(&str) -> bool,
) -> RequestFingerprints {
    let whole = (body, BodyCoverage::Whole);
    partial_request_fingerprints(head, whole, caller_service, organisation, is_internal)
}

/// Computes the fingerprints of a request of whose body the given part was read.
pub fn partial_request_fingerprints(
    head: &RequestHead,
    (body, coverage): (&[u8], BodyCoverage),
    caller_service: Option<&str>,
    organisation: Option<&str>,
    is_internal: impl Fn(&str) -> bool,
) -> RequestFingerprints {
    let mut digest = Sha256::new();
    update_field(&mut digest, head.method.as_bytes());
    for Header(_, host) in head.headers.iter().filter(|header| is_host(header)) {
        update_field(&mut digest, &host.to_ascii_lowercase());
    }
    update_field(&mut digest, head.path.as_bytes());
    update_field(&mut digest, body);
    update_coverage(&mut digest, coverage);
    let content = finish(digest.clone());
    let others = head.headers.iter().filter(|header| !is_host(header));
    for Header(name, value) in others.filter(|header| !is_internal(&header.0)) {
        update_field(&mut digest, name.as_bytes());
        update_field(&mut digest, value);
    }
    update_field(&mut digest, caller_service.unwrap_or_default().as_bytes());
    update_field(&mut digest, organisation.unwrap_or_default().as_bytes());
    RequestFingerprints {
        content,
        full: finish(digest),
    }
}

fn is_host(header: &Header) -> bool {
    header.0 == HOST_HEADER
}

/// Tells a part of a body from a whole one; a whole one adds nothing.
fn update_coverage(digest: &mut Sha256, coverage: BodyCoverage) {
    match coverage {
        BodyCoverage::Whole => {}
        BodyCoverage::Beginning { length } => {
            update_field(digest, BEGINNING_FIELD);
            let length = length.map(u64::to_be_bytes);
            update_field(digest, length.as_ref().map_or(&[], <[u8; 8]>::as_slice));
        }
        BodyCoverage::Nothing => update_field(digest, NOT_READ_FIELD),
    }
}

/// Adds a field preceded by its length, so that different lists of fields cannot produce the same
/// input.
fn update_field(digest: &mut Sha256, field: &[u8]) {
    digest.update((field.len() as u64).to_be_bytes());
    digest.update(field);
}

fn finish(digest: Sha256) -> Fingerprint {
    let bytes = digest.finalize();
    let half = |from: usize| {
        let bytes = bytes[from..from + HALF_BYTES].try_into();
        u64::from_be_bytes(bytes.expect("a SHA-256 digest has 32 bytes"))
    };
    Fingerprint(half(0), half(HALF_BYTES))
}
