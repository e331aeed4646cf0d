//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write as _,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    pub fn create(path: &Path) -> Option<Self> {
        let file = File::create(path).ok()?;
        Some(Self(Arc::new(Mutex::new(file)), Instant::now()))
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.1.elapsed().as_secs_f64());
        if let Ok(mut file) = self.0.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }
}
