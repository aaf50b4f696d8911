//! The result of a trial, as a table and as a JSON object.

use serde_json::{Map, Value};

/// Figures in the order in which they were added, and requirements not met.
#[derive(Debug, Default)]
pub struct Report {
    figures: Vec<(String, Value)>,
    violations: Vec<String>,
}

impl Report {
    /// Adds a figure.
    pub fn add(&mut self, name: &str, value: impl Into<Value>) {
        self.figures.push((name.to_owned(), value.into()));
    }

    /// Adds a time in seconds, rounded to milliseconds.
    pub fn add_seconds(&mut self, name: &str, time: std::time::Duration) {
        self.add(name, (time.as_secs_f64() * 1000.0).round() / 1000.0);
    }

    /// Adds a figure that is required to be zero.
    pub fn add_zero(&mut self, name: &str, value: u64) {
        self.add(name, value);
        self.require(value == 0, || format!("{name} is {value}, must be 0"));
    }

    /// Records the text of a requirement that is not met.
    pub fn require(&mut self, met: bool, text: impl FnOnce() -> String) {
        if !met {
            self.violations.push(text());
        }
    }

    /// Whether every requirement is met.
    pub fn passed(&self) -> bool {
        self.violations.is_empty()
    }

    /// Prints the table and, with `json`, the JSON object on the last line.
    pub fn print(&self, json: bool) {
        for (name, value) in &self.figures {
            println!("  {name:<28} {value}");
        }
        for text in &self.violations {
            println!("  FAILED: {text}");
        }
        if self.passed() {
            println!("  all requirements met");
        }
        if json {
            let mut object: Map<String, Value> = self.figures.iter().cloned().collect();
            object.insert("holds".to_owned(), self.passed().into());
            println!("{}", Value::Object(object));
        }
    }
}
