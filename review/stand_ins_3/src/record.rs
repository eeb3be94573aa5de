//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line, and returns its time.
    pub fn line(&self, text: &str) -> Duration {
        let mut file = self.file.lock().unwrap();
        let at = self.start.elapsed();
        writeln!(file, "{:9.3} s  {text}", at.as_secs_f64()).expect("the record can be written");
        at
    }
}
