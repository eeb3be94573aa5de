//! Processes of the system, and a small deployment of them.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::request;
use crate::json::{object, Json};
use crate::record::Record;
use crate::runner::{serve_machines, Log, Runner};
use crate::store::Store;

pub const HOST: &str = "pule25.example";
pub const PREFIX: &str = "/puxa400/";
pub const SERVICE: &str = "gatehouse";

/// Processes that were started and not ended.
static PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// Time after which a case ends without a result.
const MAX_TIME: Duration = Duration::from_secs(110);

/// Settings of a case from its command line: folder of the case, and program under test.
pub struct Case {
    pub folder: PathBuf,
    pub binary: PathBuf,
    pub trouble: bool,
    pub temporary: PathBuf,
}

impl Case {
    /// Reads the command line: the folder of the case and the program. `TROUBLE=0` leaves the
    /// disruption out.
    pub fn from_args() -> Self {
        let mut args = std::env::args().skip(1);
        let (Some(folder), Some(binary)) = (args.next(), args.next()) else {
            eprintln!("usage: PROGRAM FOLDER BINARY");
            std::process::exit(2);
        };
        let temporary = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&temporary).expect("a temporary folder");
        let folder_to_remove = temporary.clone();
        std::thread::spawn(move || {
            std::thread::sleep(MAX_TIME);
            eprintln!("the case takes too long");
            for pid in PIDS.lock().unwrap().iter() {
                kill(*pid);
            }
            fs::remove_dir_all(&folder_to_remove).ok();
            std::process::exit(2);
        });
        Self {
            folder: folder.into(),
            binary: binary.into(),
            trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
            temporary,
        }
    }
}

/// An entry instance.
pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    binary: PathBuf,
    child: Option<Child>,
}

impl Entry {
    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new(&self.binary)
            .args(["manage", "--metrics", "7061"])
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("HOME", std::env::var_os("HOME").unwrap_or_default())
            .env("NUTMEGCART_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                PIDS.lock().unwrap().push(child.id());
                self.child = Some(child);
            }
            Err(error) => {
                eprintln!("{}: {error}", self.binary.display());
                std::process::exit(2);
            }
        }
    }

    /// Returns the identifier of the process.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
            PIDS.lock().unwrap().retain(|pid| *pid != child.id());
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        let answer = request(self.ready, "GET", "/api/ready", "ready", "", limit);
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Returns the log of the process.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A deployment: the store, runners with their machines, and entry instances.
pub struct Deployment {
    pub record: Record,
    pub store: Store,
    pub runners: Vec<Runner>,
    pub log: Log,
    pub entries: Vec<Entry>,
}

/// Returns addresses of the loopback network that only this process uses.
fn address(host: u8, port: u16) -> SocketAddr {
    let pid = std::process::id();
    let ip = Ipv4Addr::new(127, 64 + (pid >> 8 & 63) as u8, (pid & 255) as u8, host);
    SocketAddr::new(ip.into(), port)
}

fn settings(name: &str, host: u8, zone: &str) -> Json {
    let ip = address(host, 0).ip().to_string();
    let zones = ["suva", "nadi", "lautoka"];
    let zones = zones.iter().map(|zone| ((*zone).to_owned(), "viti".into())).collect();
    let number = |value: f64| Json::Number(value);
    let bounds = object([
        ("seed-lag-s", 3.into()),
        ("reuse-after-s", 2.into()),
        ("contact-ms", 3_000.into()),
        ("ack-ms", 4_000.into()),
        ("catch-up-s", 4.into()),
        ("drain-ms", 2_000.into()),
        ("grace-s", 6.into()),
        ("loss-slack-ms", 200.into()),
        ("config-ms", 2_000.into()),
        ("rollback-slack-ms", 250.into()),
        ("max-skew-ms", 5_000.into()),
        ("recovery-s", 12.into()),
        ("hold-max-ms", 10_000.into()),
        ("stop-ms", 400.into()),
        ("gang-timeout-ms", 3_000.into()),
        ("cancel_ms", 3_000.into()),
        ("visible_ms", 3_000.into()),
        ("early_ms", 250.into()),
        ("finish_s", 14.into()),
        ("status_s", 120.into()),
        ("far-x", 2.into()),
        ("save-s", number(0.5)),
        ("restore-ms", 600.into()),
        ("notice-ms", 4_500.into()),
        ("move-s", number(1.5)),
        ("upkeep-s", 2.into()),
        ("fencing", false.into()),
        ("lease-ms", 3_000.into()),
        ("thaw-ms", 300.into()),
        ("pace-ms", 100.into()),
        ("harm-ms", 4_000.into()),
    ]);
    object([
        ("node", name.into()),
        ("role", "entry".into()),
        ("machine-class", "front".into()),
        ("serves", vec!["front".into()].into()),
        ("ip", ip.as_str().into()),
        ("zone", zone.into()),
        ("region", "viti".into()),
        ("zones", Json::Object(zones)),
        (
            "listen",
            object([
                ("front", format!("{ip}:8624").into()),
                ("ready", format!("{ip}:8622").into()),
            ]),
        ),
        ("port-range", vec![7_060.into(), 7_075.into()].into()),
        ("seeds", Json::List(Vec::new())),
        ("bootstrap", true.into()),
        ("in-fault-budget", false.into()),
        (
            "limits",
            object([
                ("cpu-share", number(0.25)),
                ("cores", 1.into()),
                ("memory-mb", 260.into()),
                ("max-fds", 4_100.into()),
                ("link-mbps", 1_000.into()),
                ("disk-mb", 0.into()),
            ]),
        ),
        ("data-dir", Json::Null),
        ("discovery", "platform".into()),
        ("entry", "vip".into()),
        ("heartbeat-ms", 1_500.into()),
        ("bounds", bounds),
        ("orders", "rpc".into()),
        ("advice", Json::Null),
        (
            "platform",
            object([
                ("address", address(1, 8_621).to_string().into()),
                ("form", "kv".into()),
                ("writes-per-s", 400.into()),
                ("reads-per-s", 2_000.into()),
                ("history-s", 20.into()),
                ("value-bytes", 1_048_576.into()),
                ("ttl-min-ms", 1_000.into()),
            ]),
        ),
        (
            "cloud",
            object([
                ("address", address(2, 8_621).to_string().into()),
                ("rate-per-s", 64.into()),
                ("duties", Json::List(Vec::new())),
                ("duty-per-s", 64.into()),
            ]),
        ),
    ])
}

impl Deployment {
    /// Starts a deployment, and returns when all its instances are ready and its runners are known.
    pub fn start(case: &Case, entries: usize, runners: usize) -> Self {
        let record = Record::create(&case.folder.join("record.txt"));
        record.line(&format!("the disruption is {}", if case.trouble { "on" } else { "off" }));
        let store = Store::start(address(1, 8_621));
        let log: Log = Arc::new(Mutex::new(Vec::new()));
        let zones = ["suva", "nadi", "lautoka"];
        let runners: Vec<Runner> = (0..runners)
            .map(|number| {
                Runner::start(
                    &format!("i-{}", number + 1),
                    &format!("m-{}", number + 1),
                    SERVICE,
                    zones[number % 3],
                    &format!("r1-{}", number % 3 + 1),
                    if number == 0 { "b" } else { "a" },
                    address(100 + number as u8, 9_000),
                    &store,
                    &record,
                    &log,
                )
            })
            .collect();
        serve_machines(address(2, 8_621), runners.clone());
        let route = object([
            ("name", "jobs".into()),
            ("host", HOST.into()),
            ("prefix", PREFIX.into()),
            ("service", SERVICE.into()),
            ("timeout-ms", 3_000.into()),
            ("target-runtime-ms", 600.into()),
            ("priority", 0.into()),
            ("max-attempts", 2.into()),
            ("stretch", Json::Number(1.6)),
        ]);
        let configuration = object([
            ("version", 3.into()),
            ("routes", vec![route].into()),
            ("services", vec![object([("name", SERVICE.into())])].into()),
            (
                "limits",
                object([
                    ("max-header-bytes", 16_384.into()),
                    ("max-body-bytes", 262_144.into()),
                    ("header-timeout-ms", 3_000.into()),
                    ("idle-timeout-ms", 15_000.into()),
                ]),
            ),
        ]);
        store.put("op/config", &configuration);
        let entries = (0..entries).map(|number| {
            let name = format!("front-{}-1", zones[number % 3]);
            let host = 10 + number as u8;
            let file = case.temporary.join(format!("{name}-{number}.json"));
            fs::write(&file, settings(&name, host, zones[number % 3]).to_string()).expect("settings");
            let mut entry = Entry {
                name,
                front: address(host, 8_624),
                ready: address(host, 8_622),
                log: file.with_extension("log"),
                settings: file,
                binary: case.binary.clone(),
                child: None,
            };
            entry.start();
            entry
        });
        let entries: Vec<Entry> = entries.collect();
        let deployment = Self { record, store, runners, log, entries };
        let end = Instant::now() + Duration::from_secs(20);
        while !deployment.entries.iter().all(Entry::is_ready) {
            if Instant::now() > end {
                deployment.give_up(case, "the instances are not ready");
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        // A job runs through, so the owner is known and the runners take work.
        let (status, _) = deployment.submit(0, "00000000000000aa", &job("run 100", &[2]), 3.0);
        if status != 200 || !deployment.wait_for_end(0, "00000000000000aa", 10.0) {
            deployment.give_up(case, "the first job does not end");
        }
        deployment
    }

    /// Ends a case that cannot run.
    pub fn give_up(&self, case: &Case, reason: &str) -> ! {
        self.record.line(&format!("the case cannot run: {reason}"));
        for pid in PIDS.lock().unwrap().iter() {
            kill(*pid);
        }
        fs::remove_dir_all(&case.temporary).ok();
        std::process::exit(2);
    }

    /// Ends all processes, and the case with its result.
    pub fn finish(mut self, case: &Case, broken: &[String]) -> ! {
        for text in broken {
            self.record.line(&format!("BROKEN: {text}"));
        }
        if broken.is_empty() {
            self.record.line("the rule held");
        }
        for entry in &mut self.entries {
            entry.kill();
            let kept = std::env::var("KEEP_LOGS").unwrap_or_default();
            if !kept.is_empty() {
                fs::write(Path::new(&kept).join(format!("{}.log", entry.name)), entry.log_text()).ok();
            }
        }
        fs::remove_dir_all(&case.temporary).ok();
        std::process::exit(i32::from(!broken.is_empty()));
    }

    fn call(&self, entry: usize, method: &str, id: &str, body: &str, limit: f64) -> (u16, Json) {
        let entry = &self.entries[entry];
        let path = format!("{PREFIX}{id}");
        self.record.line(&format!("caller -> {}: {method} {path} {body}", entry.name));
        let answer = request(entry.front, method, &path, HOST, body, Duration::from_secs_f64(limit));
        let text = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer; the caller has left".to_owned(),
        };
        self.record.line(&format!("caller <- {}: {method} {path}: {text}", entry.name));
        answer.unwrap_or((0, Json::Null))
    }

    /// Hands a job in; the status is 0 if there is no answer.
    pub fn submit(&self, entry: usize, id: &str, job: &Json, limit: f64) -> (u16, Json) {
        self.call(entry, "POST", id, &job.to_string(), limit)
    }

    pub fn cancel(&self, entry: usize, id: &str) -> u16 {
        self.call(entry, "DELETE", id, "", 3.0).0
    }

    pub fn show(&self, entry: usize, id: &str) -> (u16, String) {
        let (status, body) = self.call(entry, "GET", id, "", 3.0);
        (status, body.get("state").text().to_owned())
    }

    /// Waits until a job is shown as completed.
    pub fn wait_for_end(&self, entry: usize, id: &str, limit: f64) -> bool {
        let end = Instant::now() + Duration::from_secs_f64(limit);
        while Instant::now() < end {
            if self.show(entry, id).1 == "completed" {
                return true;
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        false
    }
}

/// Kills a process that this one has started, by its identifier.
fn kill(pid: u32) {
    Command::new("kill").args(["-KILL", &pid.to_string()]).status().ok();
}

/// Returns a job whose steps, with these numbers of work units, follow one another.
pub fn job(spec: &str, counts: &[u64]) -> Json {
    let steps = counts.iter().enumerate().map(|(number, count)| {
        let Json::Object(mut step) = object([
            ("count", (*count).into()),
            ("cpu", 1_000.into()),
            ("mem-mb", 256.into()),
            ("est-ms", 500.into()),
        ]) else {
            unreachable!()
        };
        if number > 0 {
            step.insert("after".to_owned(), vec![Json::from(number as u64 - 1)].into());
        }
        Json::Object(step)
    });
    object([("spec", spec.into()), ("steps", steps.collect::<Vec<_>>().into())])
}

/// Returns a job of one work unit that requires a label.
pub fn labelled_job(spec: &str, label: &str) -> Json {
    let step = object([
        ("count", 1.into()),
        ("cpu", 1_000.into()),
        ("mem-mb", 256.into()),
        ("est-ms", 500.into()),
        ("required-label", label.into()),
    ]);
    object([("spec", spec.into()), ("steps", vec![step].into())])
}
