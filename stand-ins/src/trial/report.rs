//! The result of a trial: a table, one JSON object, and a verdict.

use serde_json::{Map, Value};

/// Figures in the order in which they were added, and broken promises.
#[derive(Debug, Default)]
pub struct Report {
    figures: Vec<(String, Value)>,
    broken: Vec<String>,
}

impl Report {
    /// Adds a figure.
    pub fn add(&mut self, name: &str, value: impl Into<Value>) {
        self.figures.push((name.to_owned(), value.into()));
    }

    /// Adds seconds, rounded to milliseconds.
    pub fn add_seconds(&mut self, name: &str, time: std::time::Duration) {
        self.add(name, (time.as_secs_f64() * 1000.0).round() / 1000.0);
    }

    /// Adds a figure that has to be zero.
    pub fn add_zero(&mut self, name: &str, value: u64) {
        self.add(name, value);
        self.require(value == 0, || format!("{name} is {value}, must be 0"));
    }

    /// Notes a broken promise unless it holds.
    pub fn require(&mut self, holds: bool, text: impl FnOnce() -> String) {
        if !holds {
            self.broken.push(text());
        }
    }

    /// Whether every promise held.
    pub fn passed(&self) -> bool {
        self.broken.is_empty()
    }

    /// Prints the table and, if asked, the JSON object on the last line.
    pub fn print(&self, json: bool) {
        for (name, value) in &self.figures {
            println!("  {name:<28} {value}");
        }
        for text in &self.broken {
            println!("  BROKEN: {text}");
        }
        if self.passed() {
            println!("  every promise held");
        }
        if json {
            let mut object: Map<String, Value> = self.figures.iter().cloned().collect();
            object.insert("holds".to_owned(), self.passed().into());
            println!("{}", Value::Object(object));
        }
    }
}
