//! Asking a daemon at its operators' endpoint.

use minreq::{Request, get as to_get, post as to_post};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Failure;

/// Seconds that the daemon's answer may take.
const ASK_LIMIT_S: u64 = 5;

/// Reads from an endpoint.
pub fn get<T: DeserializeOwned>(ops: &str, path: &str) -> Result<T, Failure> {
    send(ops, to_get(format!("http://{ops}{path}")))
}

/// Sends an order to an endpoint.
pub fn post<T: DeserializeOwned>(
    ops: &str,
    path: &str,
    order: &impl Serialize,
) -> Result<T, Failure> {
    let body = serde_json::to_vec(order).expect("orders encode");
    send(ops, to_post(format!("http://{ops}{path}")).with_body(body))
}

fn send<T: DeserializeOwned>(ops: &str, request: Request) -> Result<T, Failure> {
    let failed = |reason: String| Failure::Ops {
        address: ops.to_owned(),
        reason,
    };
    let response = request
        .with_timeout(ASK_LIMIT_S)
        .send()
        .map_err(|error| failed(error.to_string()))?;
    if response.status_code != 200 {
        let said = response.as_str().unwrap_or_default();
        return Err(failed(format!("status {} {said}", response.status_code)));
    }
    serde_json::from_slice(response.as_bytes()).map_err(|error| failed(error.to_string()))
}
