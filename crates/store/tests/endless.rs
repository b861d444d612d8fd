//! Replies of the platform that never end.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use lynxcleat_store::{Platform, PlatformError};
use rstest::rstest;

/// More bytes than a client reads of one reply, with the buffers of its connection.
const READ_LIMIT: usize = 48 << 20;
/// Bytes written at once, without the framing.
const PART: usize = 64 << 10;

/// A platform that replies with a beginning, and a part of it again and again until the client
/// closes. Returns its URL and the bytes that it wrote.
fn endless_platform(beginning: &'static str, part: Vec<u8>) -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let url = format!("http://{}", listener.local_addr().expect("its address"));
    let written = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&written);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(beginning.as_bytes());
            while stream.write_all(&part).is_ok() {
                counted.fetch_add(part.len(), Ordering::Relaxed);
            }
        }
    });
    (url, written)
}

fn chunk() -> Vec<u8> {
    [
        &*format!("{PART:x}\r\n").into_bytes(),
        &[b' '; PART],
        b"\r\n",
    ]
    .concat()
}

#[rstest]
#[case::until_closed("HTTP/1.1 200 OK\r\n\r\n", vec![b' '; PART])]
#[case::of_a_length("HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", vec![b' '; PART])]
#[case::in_chunks("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunk())]
#[case::a_head("HTTP/1.1 200 OK\r\nA: ", vec![b'b'; PART])]
#[case::a_status_line("HTTP/1.1 200 ", vec![b'b'; PART])]
fn a_reply_without_end_is_read_up_to_a_bound(
    #[case] beginning: &'static str,
    #[case] part: Vec<u8>,
) {
    let (url, written) = endless_platform(beginning, part);
    let client = Platform::builder(url).max_attempts(1).build();
    let read = client.read(&["key".to_owned()]);
    let written = written.load(Ordering::Relaxed);
    assert!(
        matches!(
            read,
            Err(PlatformError::NoReply(_) | PlatformError::TooLarge(_))
        ),
        "{read:?}"
    );
    assert!(written < READ_LIMIT, "{written} bytes");
}
