//! A loopback proxy that stands in for the network: it delays, resets, cuts one way, or
//! silences the connections that pass it.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Bytes passed on at once.
const PIECE_BYTES: usize = 16 << 10;

/// What the proxy does with what passes.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProxyMode {
    /// Passes everything on.
    Pass,
    /// Passes each piece on after this time.
    Delay(Duration),
    /// Holds everything back, both ways.
    Silent,
    /// Holds back what goes to the server.
    SilentTo,
    /// Holds back what comes from the server.
    SilentFrom,
    /// Resets every connection.
    Reset,
}

/// Which way data goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    To,
    From,
}

impl ProxyMode {
    fn holds_back(self, way: Way) -> bool {
        match self {
            ProxyMode::Silent => true,
            ProxyMode::SilentTo => way == Way::To,
            ProxyMode::SilentFrom => way == Way::From,
            ProxyMode::Pass | ProxyMode::Delay(_) | ProxyMode::Reset => false,
        }
    }
}

/// A running proxy; it ends when it is dropped.
#[derive(Debug)]
pub struct Proxy {
    /// Address that clients connect to.
    pub address: SocketAddr,
    mode: watch::Sender<ProxyMode>,
    accepting: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accepting.abort();
        self.mode.send_replace(ProxyMode::Reset);
    }
}

impl Proxy {
    /// Starts a proxy on a free port of 127.0.0.1, before `server`.
    ///
    /// # Errors
    /// No port can be listened on.
    pub async fn start(server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mode = watch::Sender::new(ProxyMode::Pass);
        let modes = mode.subscribe();
        let accepting = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(pass(client, server, modes.clone()));
            }
        });
        Ok(Proxy {
            address,
            mode,
            accepting,
        })
    }

    /// Changes what is done with open connections and new ones.
    pub fn set(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }
}

/// Passes one connection on until either end closes it or it is reset.
async fn pass(client: TcpStream, server: SocketAddr, mode: watch::Receiver<ProxyMode>) {
    let Ok(server) = TcpStream::connect(server).await else {
        let _ = client.set_zero_linger();
        return;
    };
    for stream in [&client, &server] {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_zero_linger();
    }
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let mut resets = mode.clone();
    tokio::select! {
        _ = resets.wait_for(|mode| *mode == ProxyMode::Reset) => {}
        () = both_ends(
            copy(from_client, to_server, Way::To, mode.clone()),
            copy(from_server, to_client, Way::From, mode),
        ) => {}
    }
}

/// A closed way lets the other finish: an end of data is not the end of answers.
async fn both_ends(to: impl Future<Output = ()>, from: impl Future<Output = ()>) {
    tokio::join!(to, from);
}

async fn copy(
    mut source: OwnedReadHalf,
    mut sink: OwnedWriteHalf,
    way: Way,
    mut mode: watch::Receiver<ProxyMode>,
) {
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        let count = match source.read(&mut piece).await {
            Ok(count) if count > 0 => count,
            _ => break,
        };
        if mode.wait_for(|mode| !mode.holds_back(way)).await.is_err() {
            break;
        }
        let delay = match *mode.borrow() {
            ProxyMode::Delay(delay) => delay,
            _ => Duration::ZERO,
        };
        tokio::time::sleep(delay).await;
        if sink.write_all(&piece[..count]).await.is_err() {
            break;
        }
    }
    let _ = sink.shutdown().await;
}
