//! Record of what was sent, answered and run.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Lines in the order of events, with the milliseconds since the start.
pub struct Record {
    begun: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    /// Returns an empty record that begins now.
    pub fn new() -> Self {
        Self {
            begun: Instant::now(),
            lines: Mutex::default(),
        }
    }

    /// Adds a line.
    pub fn add(&self, line: &str) {
        let text = format!("{:>8} ms  {line}", self.begun.elapsed().as_millis());
        println!("{text}");
        self.lines.lock().expect("no writer panics").push(text);
    }

    /// Writes the lines to a file.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut text = self.lines.lock().expect("no writer panics").join("\n");
        text.push('\n');
        fs::write(path, text)
    }
}
