//! Answers as targets send them, and what each of them is.

use lynxcleat_daemon::http1::{AnswerFault, Malformed};

/// What an answer's bytes are.
#[derive(Clone, Copy, Debug)]
pub enum Expected {
    /// No answer.
    Refused(AnswerFault),
    /// A whole answer, and whether its connection may be used again.
    Whole(u16, &'static str, bool),
}

use AnswerFault::Malformed as Bad;
use Expected::{Refused, Whole};

/// An answer. `@` stands for the header that names its call.
pub struct Case {
    pub name: &'static str,
    pub bytes: &'static str,
    pub expected: Expected,
}

const fn case(name: &'static str, bytes: &'static str, expected: Expected) -> Case {
    Case {
        name,
        bytes,
        expected,
    }
}

/// Answers to GET.
pub const CASES: &[Case] = &[
    case(
        "length",
        "HTTP/1.1 200 OK\r\n@Content-Length: 5\r\n\r\nabcde",
        Whole(200, "abcde", true),
    ),
    case(
        "padded length",
        "HTTP/1.1 200 OK\r\n@Content-Length: \t 0005 \r\n\r\nabcde",
        Whole(200, "abcde", true),
    ),
    case(
        "two lengths",
        "HTTP/1.1 200 OK\r\n@Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
        Refused(Bad(Malformed::TwoLengths)),
    ),
    case(
        "equal lengths",
        "HTTP/1.1 200 OK\r\n@Content-Length: 5\r\nContent-Length: 5\r\n\r\nabcde",
        Refused(Bad(Malformed::TwoLengths)),
    ),
    case(
        "list of lengths",
        "HTTP/1.1 200 OK\r\n@Content-Length: 5, 5\r\n\r\nabcde",
        Refused(Bad(Malformed::Length)),
    ),
    case(
        "signed length",
        "HTTP/1.1 200 OK\r\n@Content-Length: +5\r\n\r\nabcde",
        Refused(Bad(Malformed::Length)),
    ),
    case(
        "negative length",
        "HTTP/1.1 200 OK\r\n@Content-Length: -5\r\n\r\nabcde",
        Refused(Bad(Malformed::Length)),
    ),
    case(
        "negative zero",
        "HTTP/1.1 200 OK\r\n@Content-Length: -0\r\n\r\n",
        Refused(Bad(Malformed::Length)),
    ),
    case(
        "hex length",
        "HTTP/1.1 200 OK\r\n@Content-Length: 0x5\r\n\r\nabcde",
        Refused(Bad(Malformed::Length)),
    ),
    case(
        "empty length",
        "HTTP/1.1 200 OK\r\n@Content-Length:\r\n\r\nabcde",
        Refused(Bad(Malformed::Length)),
    ),
    case(
        "fraction as length",
        "HTTP/1.1 200 OK\r\n@Content-Length: 5.0\r\n\r\nabcde",
        Refused(Bad(Malformed::Length)),
    ),
    case(
        "length beyond 64 bits",
        "HTTP/1.1 200 OK\r\n@Content-Length: 18446744073709551621\r\n\r\nabcde",
        Refused(Bad(Malformed::Length)),
    ),
    case(
        "length and chunks",
        "HTTP/1.1 200 OK\r\n@Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        Refused(Bad(Malformed::Coding)),
    ),
    case(
        "chunks and length",
        "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\nContent-Length: 13\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        Refused(Bad(Malformed::Coding)),
    ),
    case(
        "chunks",
        "HTTP/1.1 200 OK\r\n@Transfer-Encoding: Chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        Whole(200, "abc", true),
    ),
    case(
        "other coding",
        "HTTP/1.1 200 OK\r\n@Transfer-Encoding: gzip, chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        Refused(Bad(Malformed::Coding)),
    ),
    case(
        "coding behind chunks",
        "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked, gzip\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        Refused(Bad(Malformed::Coding)),
    ),
    case(
        "chunks twice",
        "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        Refused(Bad(Malformed::Coding)),
    ),
    case(
        "hidden coding",
        "HTTP/1.1 200 OK\r\n@Transfer-Encoding: xchunked\r\nContent-Length: 5\r\n\r\nabcde",
        Refused(Bad(Malformed::Coding)),
    ),
    case(
        "identity",
        "HTTP/1.1 200 OK\r\n@Transfer-Encoding: identity\r\nContent-Length: 5\r\n\r\nabcde",
        Refused(Bad(Malformed::Coding)),
    ),
    case(
        "empty coding",
        "HTTP/1.1 200 OK\r\n@Transfer-Encoding:\r\nContent-Length: 5\r\n\r\nabcde",
        Refused(Bad(Malformed::Coding)),
    ),
    case(
        "chunks of an old version",
        "HTTP/1.0 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        Refused(Bad(Malformed::Coding)),
    ),
    case(
        "chunk extension",
        "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n3;a=\"b\"\r\nabc\r\n0;c\r\n\r\n",
        Whole(200, "abc", true),
    ),
    case(
        "trailers",
        "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nContent-Length: 9\r\n\r\n",
        Whole(200, "abc", true),
    ),
    case(
        "signed chunk",
        "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n",
        Refused(Bad(Malformed::Chunk)),
    ),
    case(
        "hex mark in chunk",
        "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n",
        Refused(Bad(Malformed::Chunk)),
    ),
    case(
        "space in chunk",
        "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n3 \r\nabc\r\n0\r\n\r\n",
        Refused(Bad(Malformed::Chunk)),
    ),
    case(
        "no chunk size",
        "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n\r\nabc\r\n0\r\n\r\n",
        Refused(Bad(Malformed::Chunk)),
    ),
    case(
        "chunk beyond 64 bits",
        "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n10000000000000003\r\nabc\r\n0\r\n\r\n",
        Refused(Bad(Malformed::Chunk)),
    ),
    case(
        "chunk longer than told",
        "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
        Refused(Bad(Malformed::Chunk)),
    ),
    case(
        "line feed behind chunk size",
        "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n",
        Refused(Bad(Malformed::Chunk)),
    ),
    case(
        "line feed in extension",
        "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n3;a\nb\r\nabc\r\n0\r\n\r\n",
        Refused(Bad(Malformed::Chunk)),
    ),
    case(
        "NUL in extension",
        "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n3;a\0\r\nabc\r\n0\r\n\r\n",
        Refused(Bad(Malformed::Chunk)),
    ),
    case(
        "line feed in trailers",
        "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: y\n\r\n",
        Refused(Bad(Malformed::Trailers)),
    ),
    case(
        "bare line feeds",
        "HTTP/1.1 200 OK\n@Content-Length: 5\n\nabcde",
        Refused(Bad(Malformed::BareLineFeed)),
    ),
    case(
        "bare line feed in fields",
        "HTTP/1.1 200 OK\r\n@X: y\nContent-Length: 5\r\n\r\nabcde",
        Refused(Bad(Malformed::BareLineFeed)),
    ),
    case(
        "bare return",
        "HTTP/1.1 200 OK\r\n@X: a\rContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
        Refused(Bad(Malformed::Field)),
    ),
    case(
        "folded field",
        "HTTP/1.1 200 OK\r\n@X: a\r\n Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
        Refused(Bad(Malformed::Field)),
    ),
    case(
        "folded length",
        "HTTP/1.1 200 OK\r\n@Content-Length:\r\n 5\r\n\r\nabcde",
        Refused(Bad(Malformed::Field)),
    ),
    case(
        "folded first field",
        "HTTP/1.1 200 OK\r\n X: a\r\n@Content-Length: 5\r\n\r\nabcde",
        Refused(Bad(Malformed::Field)),
    ),
    case(
        "space before colon",
        "HTTP/1.1 200 OK\r\n@Content-Length : 5\r\n\r\nabcde",
        Refused(Bad(Malformed::Field)),
    ),
    case(
        "no colon",
        "HTTP/1.1 200 OK\r\n@X\r\nContent-Length: 5\r\n\r\nabcde",
        Refused(Bad(Malformed::Field)),
    ),
    case(
        "no name",
        "HTTP/1.1 200 OK\r\n@: x\r\nContent-Length: 5\r\n\r\nabcde",
        Refused(Bad(Malformed::Field)),
    ),
    case(
        "NUL in field",
        "HTTP/1.1 200 OK\r\n@X: a\0b\r\nContent-Length: 5\r\n\r\nabcde",
        Refused(Bad(Malformed::Field)),
    ),
    case(
        "NUL behind length",
        "HTTP/1.1 200 OK\r\n@Content-Length: 5\0\r\n\r\nabcde",
        Refused(Bad(Malformed::Field)),
    ),
    case(
        "no reason",
        "HTTP/1.1 200 \r\n@Content-Length: 5\r\n\r\nabcde",
        Whole(200, "abcde", true),
    ),
    case(
        "no space for a reason",
        "HTTP/1.1 200\r\n@Content-Length: 5\r\n\r\nabcde",
        Whole(200, "abcde", true),
    ),
    case(
        "lower-case protocol",
        "http/1.1 200 OK\r\n@Content-Length: 5\r\n\r\nabcde",
        Refused(Bad(Malformed::Version)),
    ),
    case(
        "newer version",
        "HTTP/1.2 200 OK\r\n@Content-Length: 5\r\n\r\nabcde",
        Refused(Bad(Malformed::Version)),
    ),
    case(
        "other major version",
        "HTTP/2.0 200 OK\r\n@Content-Length: 5\r\n\r\nabcde",
        Refused(Bad(Malformed::Version)),
    ),
    case(
        "another protocol",
        "ICY 200 OK\r\n@Content-Length: 5\r\n\r\nabcde",
        Refused(Bad(Malformed::Version)),
    ),
    case(
        "two spaces",
        "HTTP/1.1  200 OK\r\n@Content-Length: 5\r\n\r\nabcde",
        Refused(Bad(Malformed::StatusLine)),
    ),
    case(
        "short status",
        "HTTP/1.1 20 OK\r\n@Content-Length: 5\r\n\r\nabcde",
        Refused(Bad(Malformed::StatusLine)),
    ),
    case(
        "long status",
        "HTTP/1.1 2000 OK\r\n@Content-Length: 5\r\n\r\nabcde",
        Refused(Bad(Malformed::StatusLine)),
    ),
    case(
        "status below 100",
        "HTTP/1.1 099 OK\r\n@Content-Length: 5\r\n\r\nabcde",
        Refused(Bad(Malformed::StatusLine)),
    ),
    case(
        "status of zeros",
        "HTTP/1.1 000 OK\r\n@Content-Length: 5\r\n\r\nabcde",
        Refused(Bad(Malformed::StatusLine)),
    ),
    case(
        "signed status",
        "HTTP/1.1 +20 OK\r\n@Content-Length: 5\r\n\r\nabcde",
        Refused(Bad(Malformed::StatusLine)),
    ),
    case(
        "empty line before",
        "\r\nHTTP/1.1 200 OK\r\n@Content-Length: 5\r\n\r\nabcde",
        Refused(Bad(Malformed::StatusLine)),
    ),
    case(
        "no protocol",
        "abcde\r\n\r\n",
        Refused(Bad(Malformed::Version)),
    ),
    case(
        "interim",
        "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n@Content-Length: 5\r\n\r\nabcde",
        Whole(200, "abcde", true),
    ),
    case(
        "switched protocol",
        "HTTP/1.1 101 Switching Protocols\r\n@Connection: upgrade\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\n@Content-Length: 5\r\n\r\nabcde",
        Refused(AnswerFault::Switched),
    ),
    case(
        "close announced",
        "HTTP/1.1 200 OK\r\n@Connection: x, Close\r\nContent-Length: 5\r\n\r\nabcde",
        Whole(200, "abcde", false),
    ),
    case(
        "old version",
        "HTTP/1.0 200 OK\r\n@Content-Length: 5\r\n\r\nabcde",
        Whole(200, "abcde", false),
    ),
    case(
        "no content",
        "HTTP/1.1 204 No Content\r\n@X: y\r\n\r\n",
        Whole(204, "", true),
    ),
    case(
        "length of no content",
        "HTTP/1.1 204 No Content\r\n@Content-Length: 0\r\n\r\n",
        Whole(204, "", true),
    ),
    case(
        "length of a body that no content may have",
        "HTTP/1.1 204 No Content\r\n@Content-Length: 5\r\n\r\n",
        Whole(204, "", false),
    ),
    case(
        "chunks that no content may have",
        "HTTP/1.1 204 No Content\r\n@Transfer-Encoding: chunked\r\n\r\n",
        Whole(204, "", false),
    ),
    case(
        "body behind no content",
        "HTTP/1.1 204 No Content\r\n@Content-Length: 5\r\n\r\nabcde",
        Whole(204, "", false),
    ),
    case(
        "not modified",
        "HTTP/1.1 304 Not Modified\r\n@Content-Length: 5\r\n\r\n",
        Whole(304, "", true),
    ),
    case(
        "body behind not modified",
        "HTTP/1.1 304 Not Modified\r\n@Content-Length: 5\r\n\r\nabcde",
        Whole(304, "", false),
    ),
    case(
        "bytes behind",
        "HTTP/1.1 200 OK\r\n@Content-Length: 3\r\n\r\nabcde",
        Whole(200, "abc", false),
    ),
    case(
        "an answer behind",
        "HTTP/1.1 200 OK\r\n@Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n@Content-Length: 5\r\n\r\nabcde",
        Whole(200, "", false),
    ),
];
