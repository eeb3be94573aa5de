//! Whole `nutmegcart manage` processes for the tests of this crate.
#![allow(dead_code, reason = "each test file uses a part")]

use std::fs;
use std::fs::File;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use nutmegcart_stand_in::StandIn;
use serde_json::Value;

/// Number of processes started so far, for unique names of directories.
static PROCESSES: AtomicUsize = AtomicUsize::new(0);

/// A `nutmegcart manage` process whose settings and log are in a directory of its own.
pub struct Process {
    pub child: Child,
    pub directory: PathBuf,
    pub settings: Value,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            eprintln!("{}", self.log());
        }
        let _ = fs::remove_dir_all(&self.directory);
    }
}

impl Process {
    pub fn start(platform: &StandIn, name: &str) -> Self {
        Self::start_with(platform.settings(name))
    }

    pub fn start_with(settings: Value) -> Self {
        Self::start_with_options(settings, &[])
    }

    pub fn start_with_options(settings: Value, options: &[&str]) -> Self {
        let number = PROCESSES.fetch_add(1, Ordering::Relaxed);
        let directory = format!("nutmegcart-process-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(directory);
        fs::create_dir_all(&directory).expect("a directory");
        let file = directory.join("settings.json");
        fs::write(&file, settings.to_string()).expect("the settings are written");
        let child = Command::new(env!("CARGO_BIN_EXE_nutmegcart"))
            .arg("manage")
            .args(options)
            .env("NUTMEGCART_SETTINGS", &file)
            .stdout(File::create(directory.join("log")).expect("a log"))
            .spawn()
            .expect("the binary starts");
        Self {
            child,
            directory,
            settings,
        }
    }

    pub fn kill(&mut self) {
        // Fails if the process has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.directory.join("log")).unwrap_or_default()
    }

    /// Returns the address for peers and for commands.
    pub fn entry(&self) -> String {
        let ip = self.settings["ip"].as_str().expect("an address");
        let port = self.settings["port-range"][0].as_u64().expect("a port");
        format!("{ip}:{port}")
    }
}
