//! Record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::time::Instant;

pub struct Record {
    out: BufWriter<File>,
    start: Instant,
}

impl Record {
    pub fn new(dir: &Path) -> Record {
        let out = File::create(dir.join("record.txt"));
        let out = out.unwrap_or_else(|e| crate::cannot_run(&format!("no record: {e}")));
        Record {
            out: BufWriter::new(out),
            start: Instant::now(),
        }
    }

    /// Seconds from the start of the case.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn line(&mut self, at: Instant, text: &str) {
        let seconds = self.seconds(at);
        let _ = writeln!(self.out, "{seconds:8.3} {text}");
        let _ = self.out.flush();
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&mut self, text: &str) {
        println!("{text}");
        let _ = writeln!(self.out, "{text}");
        let _ = self.out.flush();
    }
}
