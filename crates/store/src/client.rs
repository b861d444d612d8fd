//! Blocking HTTP client based on minreq. It opens a connection for each request, which
//! costs about a millisecond. No request to the platform is on the path of a call, so
//! that cost is acceptable, and no stale connection remains after a platform outage.

use std::io::Read;
use std::time::Duration;

use backon::{BlockingRetryable, ExponentialBuilder};
use lynxcleat_settings::Digest;
use minreq::{Method, Request, ResponseLazy};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::api::{HostPage, ReadReply, ReadRequest, Row, ScanRequest, Txn, TxnReply};
use crate::error::PlatformError;

const DEFAULT_TIMEOUT_S: u64 = 2;
const DEFAULT_MAX_ATTEMPTS: usize = 3;
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// HTTP status of a reply without a body.
const NO_CONTENT: u16 = 204;
/// Maximum size of a reply, in bytes. A settings tree is the largest that is read.
const MAX_REPLY_BYTES: usize = 32 << 20;

/// Options of a [`Platform`] client.
#[derive(Clone, Debug)]
pub struct PlatformBuilder {
    url: String,
    timeout_s: u64,
    max_attempts: usize,
}

impl PlatformBuilder {
    /// Sets the timeout of each request, in seconds.
    pub fn timeout_s(mut self, seconds: u64) -> Self {
        self.timeout_s = seconds;
        self
    }

    /// Sets the maximum number of attempts per retryable request. Transactions are sent only
    /// once.
    pub fn max_attempts(mut self, max_attempts: usize) -> Self {
        self.max_attempts = max_attempts.max(1);
        self
    }

    /// Builds the client.
    pub fn build(self) -> Platform {
        Platform { options: self }
    }
}

/// A client of the platform API. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Platform {
    options: PlatformBuilder,
}

impl Platform {
    /// Returns a builder for a client of the platform at `url`, such as
    /// `http://127.0.0.1:6000`.
    pub fn builder(url: impl Into<String>) -> PlatformBuilder {
        PlatformBuilder {
            url: url.into(),
            timeout_s: DEFAULT_TIMEOUT_S,
            max_attempts: DEFAULT_MAX_ATTEMPTS,
        }
    }

    /// Reads rows by key, in the order of `keys`. The platform may return stale rows.
    ///
    /// # Errors
    /// Returns the last failure, after the configured number of attempts.
    pub fn read(&self, keys: &[String]) -> Result<Vec<Row>, PlatformError> {
        let request = ReadRequest {
            keys: keys.to_vec(),
        };
        let reply: ReadReply = self.with_retries(|| self.post("/table/read", &request))?;
        Ok(reply.rows)
    }

    /// Reads one row; returns `None` if it does not exist.
    ///
    /// # Errors
    /// Same as [`Platform::read`].
    pub fn read_one(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        let rows = self.read(&[key.to_owned()])?;
        Ok(rows.into_iter().find(|row| row.version > 0))
    }

    /// Reads up to `limit` rows whose keys start with `prefix` and are greater than
    /// `after`, in key order.
    ///
    /// # Errors
    /// Same as [`Platform::read`].
    pub fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, PlatformError> {
        let request = ScanRequest {
            prefix: prefix.to_owned(),
            after: after.to_owned(),
            limit,
        };
        let reply: ReadReply = self.with_retries(|| self.post("/table/scan", &request))?;
        Ok(reply.rows)
    }

    /// Runs one transaction. It is never retried here: after a lost reply, only the caller
    /// knows which rows to read back before deciding whether to retry.
    ///
    /// # Errors
    /// See [`PlatformError::may_have_applied`].
    pub fn write(&self, txn: &Txn) -> Result<TxnReply, PlatformError> {
        self.post("/table/write", txn)
    }

    /// Stores content under its digest. The operation is idempotent, so failed requests are
    /// retried.
    ///
    /// # Errors
    /// Returns the last failure, after the configured number of attempts.
    pub fn put_object(&self, digest: &Digest, content: &[u8]) -> Result<(), PlatformError> {
        let path = format!("/objects/{digest}");
        self.with_retries(|| {
            let request = self.request(Method::Put, &path).with_body(content.to_vec());
            send(request).map(|_| ())
        })
    }

    /// Reads content and verifies its digest.
    ///
    /// # Errors
    /// Returns an error if the content is missing or does not match its digest; otherwise
    /// returns the last failure.
    pub fn get_object(&self, digest: &Digest) -> Result<Vec<u8>, PlatformError> {
        let path = format!("/objects/{digest}");
        let content = self.with_retries(|| send(self.request(Method::Get, &path)))?;
        if Digest::of(&content) != *digest {
            return Err(PlatformError::DigestMismatch(digest.to_string()));
        }
        Ok(content)
    }

    /// Reads up to `limit` host list entries that changed since version `after`. The list
    /// may lag behind the actual state of the hosts.
    ///
    /// # Errors
    /// Returns the last failure, after the configured number of attempts.
    pub fn hosts(&self, after: u64, limit: usize) -> Result<HostPage, PlatformError> {
        let path = format!("/hosts?after={after}&limit={limit}");
        self.with_retries(|| parse(&send(self.request(Method::Get, &path))?))
    }

    fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, PlatformError> {
        let body = serde_json::to_vec(body).expect("the request types encode");
        let request = self
            .request(Method::Post, path)
            .with_header("content-type", "application/json")
            .with_body(body);
        parse(&send(request)?)
    }

    fn request(&self, method: Method, path: &str) -> Request {
        Request::new(method, format!("{}{path}", self.options.url))
            .with_timeout(self.options.timeout_s)
            .with_follow_redirects(false)
    }

    fn with_retries<T>(
        &self,
        request: impl FnMut() -> Result<T, PlatformError>,
    ) -> Result<T, PlatformError> {
        let backoff = ExponentialBuilder::default()
            .with_min_delay(MIN_RETRY_DELAY)
            .with_max_delay(MAX_RETRY_DELAY)
            .with_max_times(self.options.max_attempts - 1)
            .with_jitter();
        request
            .retry(backoff)
            .when(PlatformError::is_transient)
            .call()
    }
}

/// Sends a request and returns the body of the reply.
fn send(request: Request) -> Result<Vec<u8>, PlatformError> {
    let response = request.send_lazy().map_err(classify)?;
    let status = response.status_code;
    match status {
        NO_CONTENT => Ok(Vec::new()),
        200..=299 => read_body(response),
        404 => Err(PlatformError::Missing(response.url)),
        429 | 500..=599 => Err(PlatformError::Unavailable(status)),
        _ => Err(PlatformError::Refused(status)),
    }
}

fn read_body(response: ResponseLazy) -> Result<Vec<u8>, PlatformError> {
    let mut body = Vec::new();
    response
        .take(MAX_REPLY_BYTES as u64 + 1)
        .read_to_end(&mut body)
        .map_err(|error| PlatformError::NoReply(error.to_string()))?;
    if body.len() > MAX_REPLY_BYTES {
        return Err(PlatformError::TooLarge(MAX_REPLY_BYTES));
    }
    Ok(body)
}

/// Maps transport errors. Only a refused connection or a failed name lookup proves that
/// nothing was sent.
fn classify(error: minreq::Error) -> PlatformError {
    let text = error.to_string();
    match error {
        minreq::Error::IoError(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            PlatformError::Unreachable(text)
        }
        minreq::Error::AddressNotFound => PlatformError::Unreachable(text),
        _ => PlatformError::NoReply(text),
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    let mut reader = serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(&mut reader).map_err(|error| PlatformError::Malformed {
        path: error.path().to_string(),
        reason: error.inner().to_string(),
    })
}
