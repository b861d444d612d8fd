//! Structured logs: one JSON object a line on the standard output. Hosts have no disks,
//! so nothing is written to files.
//!
//! Nothing waits for a reader of the log: lines go through a bounded queue to a thread
//! of their own, and one that finds the queue full is dropped and counted.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use log::{LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::writer::simple::SimpleWriter;
use thiserror::Error;

const APPENDER: &str = "stdout";
/// Lines that may wait to be written.
const QUEUE_LINES: usize = 1_024;
/// Longest time for which the end of a process waits for its last lines.
const FINISH_LIMIT: Duration = Duration::from_millis(200);
const FINISH_PAUSE: Duration = Duration::from_millis(5);

/// Why logging cannot be set up.
#[derive(Debug, Error)]
pub enum LoggingError {
    /// The configuration was refused.
    #[error("logging: {0}")]
    Config(#[from] log4rs::config::runtime::ConfigErrors),
    /// A logger is already installed.
    #[error("logging: {0}")]
    Installed(#[from] log::SetLoggerError),
    /// The thread that writes cannot be started.
    #[error("logging: {0}")]
    Thread(#[from] std::io::Error),
}

/// The process's logger.
pub struct Logging {
    queue: flume::Sender<Vec<u8>>,
    written: Arc<AtomicU64>,
    sent: Arc<AtomicU64>,
}

impl Logging {
    /// Waits for the lines that are queued, but not for long.
    pub fn finish(&self) {
        let until = Instant::now() + FINISH_LIMIT;
        let all_written = || {
            let sent = self.sent.load(Ordering::Acquire);
            self.queue.is_empty() && self.written.load(Ordering::Acquire) >= sent
        };
        while !all_written() && Instant::now() < until {
            thread::sleep(FINISH_PAUSE);
        }
    }
}

/// Encodes lines into a queue.
#[derive(Debug)]
struct QueueAppender {
    encoder: JsonEncoder,
    queue: flume::Sender<Vec<u8>>,
    sent: Arc<AtomicU64>,
    dropped: AtomicU64,
}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::with_capacity(512));
        self.encoder.encode(&mut line, record)?;
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let told = format!("{{\"level\":\"WARN\",\"message\":\"{dropped} lines dropped\"}}\n");
            line.0.extend_from_slice(told.as_bytes());
        }
        match self.queue.try_send(line.0) {
            Ok(()) => self.sent.fetch_add(1, Ordering::Release),
            Err(_) => self.dropped.fetch_add(dropped + 1, Ordering::Relaxed),
        };
        Ok(())
    }

    fn flush(&self) {}
}

/// Installs the process's logger.
///
/// # Errors
/// A logger that is already installed, or no thread to write.
pub fn install(level: LevelFilter) -> Result<Logging, LoggingError> {
    let (queue, lines) = flume::bounded::<Vec<u8>>(QUEUE_LINES);
    let sent = Arc::new(AtomicU64::new(0));
    let written = Arc::new(AtomicU64::new(0));
    let appender = QueueAppender {
        encoder: JsonEncoder::new(),
        queue: queue.clone(),
        sent: Arc::clone(&sent),
        dropped: AtomicU64::new(0),
    };
    let counted = Arc::clone(&written);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write(&lines, &counted))?;
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(appender)))
        .build(Root::builder().appender(APPENDER).build(level))?;
    log4rs::init_config(config)?;
    Ok(Logging {
        queue,
        written,
        sent,
    })
}

/// Writes lines until the process ends. A reader that went away takes no lines.
fn write(lines: &flume::Receiver<Vec<u8>>, written: &AtomicU64) {
    while let Ok(line) = lines.recv() {
        let mut output = std::io::stdout().lock();
        let _ = output.write_all(&line).and_then(|()| output.flush());
        written.fetch_add(1, Ordering::Release);
    }
}
