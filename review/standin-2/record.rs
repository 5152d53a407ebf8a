//! The record of a scenario: one line an event, with the seconds since its start.

use std::fs::File;
use std::io::{Result, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &str) -> Result<Self> {
        let file = File::create(Path::new(folder).join("record.txt"))?;
        Ok(Self { file: Arc::new(Mutex::new(file)), started: Instant::now() })
    }

    /// Seconds since the start of the scenario.
    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn add(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.seconds());
        // The record is only read by people.
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Adds a line and prints it.
    pub fn tell(&self, text: &str) {
        self.add(text);
        println!("{:8.3} s  {text}", self.seconds());
    }
}
