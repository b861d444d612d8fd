//! The proxy's modes, seen from both ends.

use std::net::SocketAddr;
use std::time::Duration;

use lynxcleat_soak::{Proxy, ProxyMode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time after which nothing is taken to come; it is awaited only where nothing should.
const NOTHING: Duration = Duration::from_millis(200);
/// Longest wait for what should come.
const PATIENCE: Duration = Duration::from_secs(10);

/// A server that sends back every byte it reads, increased by one.
async fn server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                while let Ok(byte) = stream.read_u8().await {
                    if stream.write_u8(byte + 1).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

async fn connected() -> (Proxy, TcpStream) {
    let proxy = Proxy::start(server().await).await.expect("proxy");
    let stream = TcpStream::connect(proxy.address).await.expect("connect");
    (proxy, stream)
}

async fn next(stream: &mut TcpStream) -> u8 {
    let byte = timeout(PATIENCE, stream.read_u8()).await;
    byte.expect("in time").expect("a byte")
}

#[tokio::test]
async fn it_passes_both_ways_and_delays() {
    let (proxy, mut stream) = connected().await;
    stream.write_u8(1).await.expect("write");
    assert_eq!(next(&mut stream).await, 2);
    proxy.set(ProxyMode::Delay(Duration::from_millis(20)));
    stream.write_u8(3).await.expect("write");
    assert_eq!(next(&mut stream).await, 4);
}

#[tokio::test]
async fn silence_holds_bytes_back_until_it_is_over() {
    for mode in [
        ProxyMode::Silent,
        ProxyMode::SilentTo,
        ProxyMode::SilentFrom,
    ] {
        let (proxy, mut stream) = connected().await;
        proxy.set(mode);
        stream.write_u8(1).await.expect("write");
        assert!(
            timeout(NOTHING, stream.read_u8()).await.is_err(),
            "{mode:?}"
        );
        proxy.set(ProxyMode::Pass);
        assert_eq!(next(&mut stream).await, 2, "{mode:?}");
    }
}

#[tokio::test]
async fn reset_ends_open_connections_and_new_ones() {
    let (proxy, mut stream) = connected().await;
    stream.write_u8(1).await.expect("write");
    assert_eq!(next(&mut stream).await, 2);
    proxy.set(ProxyMode::Reset);
    let ended = timeout(PATIENCE, stream.read_u8()).await.expect("in time");
    assert!(ended.is_err());
    let mut other = TcpStream::connect(proxy.address).await.expect("connect");
    let ended = timeout(PATIENCE, other.read_u8()).await.expect("in time");
    assert!(ended.is_err());
}
