//! The fingerprints of a request, which are the same at every daemon that has it in hand.

use lynxcleat_policy::{Fingerprint, RequestFingerprints};
use sha2::{Digest, Sha256};

use crate::frame::{Header, RequestHead};

/// Name of the header that is a part of the content: it decides where a request goes.
const HOST: &str = "host";
/// Bytes of half a fingerprint.
const HALF: usize = 8;

/// Fingerprints of a request that comes from a service and an organisation. Headers for which
/// `is_ours` holds differ from one sending to the next and are left out.
pub fn request_prints(
    head: &RequestHead,
    body: &[u8],
    caller_service: Option<&str>,
    organisation: Option<&str>,
    is_ours: impl Fn(&str) -> bool,
) -> RequestFingerprints {
    let mut digest = Sha256::new();
    put(&mut digest, head.method.as_bytes());
    for Header(_, host) in head.headers.iter().filter(|header| is_host(header)) {
        put(&mut digest, &host.to_ascii_lowercase());
    }
    put(&mut digest, head.path.as_bytes());
    put(&mut digest, body);
    let content = finish(digest.clone());
    let others = head.headers.iter().filter(|header| !is_host(header));
    for Header(name, value) in others.filter(|header| !is_ours(&header.0)) {
        put(&mut digest, name.as_bytes());
        put(&mut digest, value);
    }
    put(&mut digest, caller_service.unwrap_or_default().as_bytes());
    put(&mut digest, organisation.unwrap_or_default().as_bytes());
    RequestFingerprints {
        content,
        full: finish(digest),
    }
}

fn is_host(header: &Header) -> bool {
    header.0 == HOST
}

/// Adds one part with its length, so that no two lists of parts read alike.
fn put(digest: &mut Sha256, part: &[u8]) {
    digest.update((part.len() as u64).to_be_bytes());
    digest.update(part);
}

fn finish(digest: Sha256) -> Fingerprint {
    let bytes = digest.finalize();
    let half = |from: usize| {
        let bytes = bytes[from..from + HALF].try_into();
        u64::from_be_bytes(bytes.expect("a digest of SHA-256 has 32 bytes"))
    };
    Fingerprint(half(0), half(HALF))
}
