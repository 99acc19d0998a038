//! The record of a run: what was sent, answered and run.

use std::fmt::Write as _;
use std::fs;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Lines with the time since the start; clones share them.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(u128, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    /// Adds a line and returns its time in milliseconds.
    pub fn add(&self, line: impl Into<String>) -> u128 {
        let now_ms = self.now_ms();
        let mut lines = self.lines.lock().expect("no thread panics with the lock");
        lines.push((now_ms, line.into()));
        now_ms
    }

    /// Sleeps until a time of the record.
    pub fn sleep_until(&self, at_ms: u128) {
        let left = at_ms.saturating_sub(self.now_ms());
        std::thread::sleep(Duration::from_millis(left as u64));
    }

    pub fn write(&self, folder: &Path) {
        let mut lines = self
            .lines
            .lock()
            .expect("no thread panics with the lock")
            .clone();
        lines.sort_by_key(|(at_ms, _)| *at_ms);
        let mut text = String::new();
        for (at_ms, line) in lines {
            let _ = writeln!(text, "{at_ms:>7} ms  {line}");
        }
        if let Err(error) = fs::write(folder.join("record.txt"), text) {
            eprintln!("record.txt cannot be written: {error}");
        }
    }
}
