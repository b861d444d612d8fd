//! The HTTP client. Blocking, by minreq: a connection a request costs about a
//! millisecond, which matters to nothing that lies in the path of a call, and
//! leaves no connection to a platform that comes and goes.

use std::time::Duration;

use backon::{BlockingRetryable, ExponentialBuilder};
use lynxcleat_settings::Digest;
use minreq::{Method, Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::api::{HostPage, ReadReply, ReadRequest, Row, ScanRequest, Txn, TxnReply};
use crate::error::PlatformError;

const DEFAULT_TIMEOUT_S: u64 = 2;
const DEFAULT_TRIES: usize = 3;
const FIRST_DELAY: Duration = Duration::from_millis(50);
const LONGEST_DELAY: Duration = Duration::from_secs(2);

/// Options of a [`Platform`] client.
#[derive(Clone, Debug)]
pub struct PlatformBuilder {
    url: String,
    timeout_s: u64,
    tries: usize,
}

impl PlatformBuilder {
    /// Seconds that one request may take.
    pub fn timeout_s(mut self, seconds: u64) -> Self {
        self.timeout_s = seconds;
        self
    }

    /// Requests sent for one read at most. Writes are sent once.
    pub fn tries(mut self, tries: usize) -> Self {
        self.tries = tries.max(1);
        self
    }

    /// The client.
    pub fn build(self) -> Platform {
        Platform { options: self }
    }
}

/// A client of the platform. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Platform {
    options: PlatformBuilder,
}

impl Platform {
    /// Options for the platform at `url`, such as `http://127.0.0.1:6000`.
    pub fn builder(url: impl Into<String>) -> PlatformBuilder {
        PlatformBuilder {
            url: url.into(),
            timeout_s: DEFAULT_TIMEOUT_S,
            tries: DEFAULT_TRIES,
        }
    }

    /// Reads rows by key, in the order of the keys. The platform may serve rows
    /// as they were a moment ago.
    ///
    /// # Errors
    /// The last failure, after the configured number of tries.
    pub fn read(&self, keys: &[String]) -> Result<Vec<Row>, PlatformError> {
        let request = ReadRequest {
            keys: keys.to_vec(),
        };
        let reply: ReadReply = self.retried(|| self.post("/table/read", &request))?;
        Ok(reply.rows)
    }

    /// Reads one row; `None` where there is none.
    ///
    /// # Errors
    /// As [`Platform::read`].
    pub fn read_one(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        let rows = self.read(&[key.to_owned()])?;
        Ok(rows.into_iter().find(|row| row.version > 0))
    }

    /// Reads up to `limit` rows whose keys start with `prefix` and come after
    /// `after`.
    ///
    /// # Errors
    /// As [`Platform::read`].
    pub fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, PlatformError> {
        let request = ScanRequest {
            prefix: prefix.to_owned(),
            after: after.to_owned(),
            limit,
        };
        let reply: ReadReply = self.retried(|| self.post("/table/scan", &request))?;
        Ok(reply.rows)
    }

    /// Runs one transaction. It is sent once: whether to send it again after a
    /// lost reply is for the caller to decide, who knows what to read back.
    ///
    /// # Errors
    /// See [`PlatformError::may_have_applied`].
    pub fn write(&self, txn: &Txn) -> Result<TxnReply, PlatformError> {
        self.post("/table/write", txn)
    }

    /// Stores content under its digest. Storing it again changes nothing, so a
    /// failed request is tried again.
    ///
    /// # Errors
    /// The last failure, after the configured number of tries.
    pub fn put_object(&self, digest: &Digest, content: &[u8]) -> Result<(), PlatformError> {
        let path = format!("/objects/{digest}");
        self.retried(|| {
            let request = self.request(Method::Put, &path).with_body(content.to_vec());
            send(request).map(|_| ())
        })
    }

    /// Reads content and checks it against its digest.
    ///
    /// # Errors
    /// Content that is missing or does not match, or the last failure.
    pub fn get_object(&self, digest: &Digest) -> Result<Vec<u8>, PlatformError> {
        let path = format!("/objects/{digest}");
        let response = self.retried(|| send(self.request(Method::Get, &path)))?;
        let content = response.into_bytes();
        if Digest::of(&content) != *digest {
            return Err(PlatformError::WrongDigest(digest.to_string()));
        }
        Ok(content)
    }

    /// What changed in the host list since version `after`, `limit` entries at
    /// most. The list lags.
    ///
    /// # Errors
    /// The last failure, after the configured number of tries.
    pub fn hosts(&self, after: u64, limit: usize) -> Result<HostPage, PlatformError> {
        let path = format!("/hosts?after={after}&limit={limit}");
        self.retried(|| parse(&send(self.request(Method::Get, &path))?))
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

    fn retried<T>(
        &self,
        request: impl FnMut() -> Result<T, PlatformError>,
    ) -> Result<T, PlatformError> {
        let backoff = ExponentialBuilder::default()
            .with_min_delay(FIRST_DELAY)
            .with_max_delay(LONGEST_DELAY)
            .with_max_times(self.options.tries - 1)
            .with_jitter();
        request
            .retry(backoff)
            .when(PlatformError::is_transient)
            .call()
    }
}

fn send(request: Request) -> Result<Response, PlatformError> {
    let response = request.send().map_err(classify)?;
    let status = response.status_code;
    match status {
        200..=299 => Ok(response),
        404 => Err(PlatformError::Missing(response.url.to_string())),
        429 | 500..=599 => Err(PlatformError::Unavailable(status)),
        _ => Err(PlatformError::Refused(status)),
    }
}

/// Only a connection that was refused shows that nothing was sent.
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

fn parse<T: DeserializeOwned>(response: &Response) -> Result<T, PlatformError> {
    let mut reader = serde_json::Deserializer::from_slice(response.as_bytes());
    serde_path_to_error::deserialize(&mut reader).map_err(|error| PlatformError::Malformed {
        path: error.path().to_string(),
        reason: error.inner().to_string(),
    })
}
