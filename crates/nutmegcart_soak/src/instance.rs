//! Processes of `nutmegcart manage` and their signals.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;

use nutmegcart_stand_in::StandIn;
use nutmegcart_stand_in::gate::Gate;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::json;

/// Result of starting a process; the error is a message.
pub type Result<T> = std::result::Result<T, String>;

/// An instance, whose process is started and ended again and again.
pub struct Instance {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for readiness.
    pub ready: SocketAddr,
    /// Switch for the conduct of the store towards this instance.
    pub gate: Gate,
    /// Whether the process was asked to end.
    pub ending: bool,
    binary: PathBuf,
    file: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Err(reason) = self.kill() {
            eprintln!("{reason}");
        }
    }
}

impl Instance {
    /// Writes the settings of an instance; the files are in `folder`.
    ///
    /// # Errors
    ///
    /// Fails if the settings cannot be written.
    pub fn new(platform: &StandIn, number: usize, binary: &Path, folder: &Path) -> Result<Self> {
        let gate = Gate::default();
        let name = format!("entry-{number}");
        let mut settings = platform.settings(&name);
        let store = platform.add_store_address(gate.clone());
        settings["platform"]["address"] = json!(store.to_string());
        let address = |field: &str| {
            let text = settings["listen"][field].as_str().unwrap_or_default();
            text.parse()
                .map_err(|error| format!("listen.{field}: {text}: {error}"))
        };
        let file = folder.join(format!("{name}.json"));
        fs::write(&file, settings.to_string())
            .map_err(|error| format!("{}: {error}", file.display()))?;
        Ok(Self {
            callers: address("front")?,
            ready: address("ready")?,
            gate,
            ending: false,
            binary: binary.to_owned(),
            log: file.with_extension("log"),
            file,
            child: None,
        })
    }

    /// Starts the process if none is running.
    ///
    /// # Errors
    ///
    /// Fails if the log cannot be opened or the binary cannot be started.
    pub fn start(&mut self) -> Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let fail = |path: &Path, error| format!("{}: {error}", path.display());
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|error| fail(&self.log, error))?;
        let errors = log.try_clone().map_err(|error| fail(&self.log, error))?;
        let child = Command::new(&self.binary)
            .args(["manage", "--log", "info"])
            .env("NUTMEGCART_SETTINGS", &self.file)
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = Some(child.map_err(|error| fail(&self.binary, error))?);
        self.ending = false;
        Ok(())
    }

    /// Sends a signal to the process if it is running.
    ///
    /// # Errors
    ///
    /// Fails if the signal cannot be sent.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let id = self.child.as_ref().map(Child::id);
        let id = id.and_then(|id| i32::try_from(id).ok());
        let Some(id) = id.and_then(Pid::from_raw) else {
            return Ok(());
        };
        kill_process(id, signal).map_err(|error| format!("signal {signal:?}: {error}"))
    }

    /// Returns the status of a process that has ended since the last call.
    ///
    /// # Errors
    ///
    /// Fails if the state of the process cannot be read.
    pub fn take_exit(&mut self) -> Result<Option<ExitStatus>> {
        let Some(child) = &mut self.child else {
            return Ok(None);
        };
        let status = child.try_wait().map_err(|error| error.to_string())?;
        if status.is_some() {
            self.child = None;
        }
        Ok(status)
    }

    /// Kills the process and waits for its end; does nothing if none is running.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be killed.
    pub fn kill(&mut self) -> Result<()> {
        self.ending = true;
        let Some(mut child) = self.child.take() else {
            return Ok(());
        };
        child.kill().map_err(|error| error.to_string())?;
        child.wait().map_err(|error| error.to_string())?;
        Ok(())
    }
}

/// Builds the binary with the profile of this program, and returns its path.
///
/// # Errors
///
/// Fails if the build fails.
pub fn build_binary() -> Result<PathBuf> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut command = Command::new(cargo);
    command.args(["build", "--quiet", "--locked", "-p", "nutmegcart"]);
    let profile = if cfg!(debug_assertions) {
        "debug"
    } else {
        command.arg("--release");
        "release"
    };
    let status = command.current_dir(&root).status();
    let status = status.map_err(|error| format!("cargo build: {error}"))?;
    if !status.success() {
        return Err(format!("cargo build: {status}"));
    }
    let target = std::env::var_os("CARGO_TARGET_DIR").map(PathBuf::from);
    let target = target.unwrap_or_else(|| root.join("target"));
    Ok(target.join(profile).join("nutmegcart"))
}
