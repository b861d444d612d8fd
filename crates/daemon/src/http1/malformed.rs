//! Why a request or an answer cannot be framed.

use hyper::StatusCode;
use thiserror::Error;

/// What makes it doubtful where a request or an answer ends, or what it is. The connection of a
/// request ends after the answer that says so.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Malformed {
    /// A line ends in a line feed alone.
    #[error("a line ends without a carriage return")]
    BareLineFeed,
    /// The request line is none.
    #[error("the request line is malformed")]
    RequestLine,
    /// The status line of an answer is none.
    #[error("the status line is malformed")]
    StatusLine,
    /// The version is not 1.0 or 1.1.
    #[error("the version is not served")]
    Version,
    /// The target is no target of a request.
    #[error("the request's target is malformed")]
    Target,
    /// A header field has a character that it may not have, a space before its colon, or
    /// goes on in the next line.
    #[error("a header field is malformed")]
    Field,
    /// The head is larger than it may be.
    #[error("the head is too large")]
    HeadTooLarge,
    /// There are more fields than there may be.
    #[error("there are too many header fields")]
    TooManyFields,
    /// `Content-Length` is no number.
    #[error("the length is not a number")]
    Length,
    /// `Content-Length` stands more than once.
    #[error("the length stands more than once")]
    TwoLengths,
    /// The coding is not `chunked` alone, or the version has none.
    #[error("the transfer coding is not served")]
    Coding,
    /// A chunk's size is no number, or too large a one, or what follows it is not there.
    #[error("a chunk is malformed")]
    Chunk,
    /// The trailers are malformed or larger than a head may be.
    #[error("the trailers are malformed")]
    Trailers,
}

impl Malformed {
    /// Status of the answer.
    pub fn status(self) -> StatusCode {
        match self {
            Malformed::HeadTooLarge | Malformed::TooManyFields => {
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE
            }
            _ => StatusCode::BAD_REQUEST,
        }
    }

    /// Label for the metrics.
    pub fn label(self) -> &'static str {
        match self {
            Malformed::BareLineFeed => "bare-line-feed",
            Malformed::RequestLine => "request-line",
            Malformed::StatusLine => "status-line",
            Malformed::Version => "version",
            Malformed::Target => "target",
            Malformed::Field => "field",
            Malformed::HeadTooLarge => "head-too-large",
            Malformed::TooManyFields => "too-many-fields",
            Malformed::Length => "length",
            Malformed::TwoLengths => "two-lengths",
            Malformed::Coding => "coding",
            Malformed::Chunk => "chunk",
            Malformed::Trailers => "trailers",
        }
    }
}
