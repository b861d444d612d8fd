//! What was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Record {
            started: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.now().as_secs_f64());
        let mut file = self.file.lock().expect("lock");
        let _ = file.write_all(line.as_bytes());
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }
}

/// The time of day.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}
