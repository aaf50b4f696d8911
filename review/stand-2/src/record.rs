//! What a script sent, what was answered, and what ran.

use std::path::PathBuf;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Lines with the time since the start of the script.
pub struct Record {
    path: PathBuf,
    start: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn new(path: PathBuf) -> Self {
        Record {
            path,
            start: Instant::now(),
            lines: Mutex::default(),
        }
    }

    /// Adds a line.
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.start.elapsed().as_secs_f64());
        println!("{line}");
        self.lines().push(line);
    }

    /// Adds a line that is not printed.
    pub fn detail(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.start.elapsed().as_secs_f64());
        self.lines().push(line);
    }

    /// Writes the file.
    pub fn write(&self) -> std::io::Result<()> {
        std::fs::write(&self.path, self.lines().join("\n") + "\n")
    }

    fn lines(&self) -> std::sync::MutexGuard<'_, Vec<String>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
