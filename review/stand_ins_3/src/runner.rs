//! Runners, and the machines on which they run.
//!
//! A runner is served by threads of this process. A crash ends its runs and closes its connections; a
//! start gives it a new life under the same id and address, which holds and knows nothing of before.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{serve, Reply, Request};
use crate::json::{object, Json};
use crate::record::Record;
use crate::store::Store;

/// `hold-max-ms` of the sheet.
const HOLD_MAX_MS: u64 = 10_000;
const CPU: u64 = 64_000;
const MEM_MB: u64 = 262_144;

/// What becomes of a start order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StartFate {
    Answered,
    /// No answer; the order is kept, and carried out when [`Runner::carry_out_kept`] is called.
    Kept,
}

type StartHook = Arc<dyn Fn(&str) -> StartFate + Send + Sync>;

#[derive(Clone)]
struct Run {
    number: u64,
    started: Instant,
    duration: Option<Duration>,
    cpu: u64,
}

/// A run that has started, and how it ended.
#[derive(Clone, Debug)]
pub struct Seen {
    pub runner: String,
    pub task: String,
    pub run: u64,
    pub started: Duration,
    pub ended: Option<Duration>,
    pub how: &'static str,
}

/// Runs of all runners.
pub type Log = Arc<Mutex<Vec<Seen>>>;

struct State {
    up: bool,
    life: u64,
    born_ms: u64,
    born: Instant,
    fence: u64,
    lease_end: u64,
    runs: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    refused: BTreeMap<String, u64>,
    kept: Vec<Json>,
    /// Whether the next call to `/api/hold` with a lease is left unanswered.
    keep_hold: bool,
    kept_hold: Option<Json>,
    /// Whether the runner is cut off from all machines, and runs on.
    cut_off: bool,
    /// By how much the time of day of its machine is ahead of the true time.
    clock_ahead_ms: u64,
    /// When the latest call to `/api/hold` was answered.
    hold_answered: Instant,
    hook: Option<StartHook>,
    seq: u64,
}

/// A runner; clones share their state.
#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub machine: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    rack: String,
    kind: String,
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
    record: Record,
    log: Log,
    store: Store,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Returns the duration of a work unit with this spec, `run MS`; one that lasts has none.
fn duration_of(spec: &str) -> Option<Duration> {
    let ms = spec.strip_prefix("run ")?.split(' ').next()?.parse().ok()?;
    Some(Duration::from_millis(ms))
}

impl Runner {
    /// Starts a runner, which announces itself in the store.
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        id: &str,
        machine: &str,
        service: &str,
        zone: &str,
        rack: &str,
        kind: &str,
        address: SocketAddr,
        store: &Store,
        record: &Record,
        log: &Log,
    ) -> Self {
        let state = State {
            up: true,
            life: 1,
            born_ms: unix_ms(),
            born: Instant::now(),
            fence: 0,
            lease_end: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            refused: BTreeMap::new(),
            kept: Vec::new(),
            keep_hold: false,
            kept_hold: None,
            cut_off: false,
            clock_ahead_ms: 0,
            hold_answered: Instant::now(),
            hook: None,
            seq: 0,
        };
        let runner = Self {
            id: id.to_owned(),
            machine: machine.to_owned(),
            address,
            service: service.to_owned(),
            zone: zone.to_owned(),
            rack: rack.to_owned(),
            kind: kind.to_owned(),
            state: Arc::new(Mutex::new(state)),
            changed: Arc::default(),
            record: record.clone(),
            log: log.clone(),
            store: store.clone(),
        };
        let served = runner.clone();
        serve(address, Arc::new(move |request| served.handle(&request)));
        let ticking = runner.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(5));
            ticking.advance();
        });
        let beating = runner.clone();
        std::thread::spawn(move || loop {
            beating.announce();
            std::thread::sleep(Duration::from_millis(1_500));
        });
        runner
    }

    fn announce(&self) {
        let mut state = self.state.lock().unwrap();
        if !state.up || state.cut_off {
            return;
        }
        state.seq += 1;
        let entry = object([
            ("service", self.service.as_str().into()),
            ("address", self.address.to_string().into()),
            ("zone", self.zone.as_str().into()),
            ("version", "v1".into()),
            ("slots", 8.into()),
            ("state", "ready".into()),
            ("cold-remaining-ms", 0.into()),
            ("seq", state.seq.into()),
            ("born", state.born_ms.into()),
            ("machine", self.machine.as_str().into()),
            ("labels", vec![self.kind.as_str().into(), self.rack.as_str().into()].into()),
            ("capacity", capacity()),
        ]);
        drop(state);
        self.store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Decides what becomes of start orders, by the name of the work unit.
    pub fn set_start_hook(&self, hook: StartHook) {
        self.state.lock().unwrap().hook = Some(hook);
    }

    /// Returns the number of orders that were left unanswered and are still to be carried out.
    pub fn kept(&self) -> usize {
        self.state.lock().unwrap().kept.len()
    }

    /// Carries out the orders that were left unanswered, by the life that the runner has now.
    pub fn carry_out_kept(&self) {
        let kept = std::mem::take(&mut self.state.lock().unwrap().kept);
        for body in kept {
            let (status, reply) = self.run_start(&body);
            self.record.line(&format!(
                "runner {} carries out late: start {} run {} fence {} -> {status} {reply}",
                self.id,
                body.get("task").text(),
                body.get("run").number(),
                body.get("fence").number()
            ));
        }
    }

    /// Leaves the next call to `/api/hold` with a lease unanswered.
    pub fn keep_next_hold(&self) {
        self.state.lock().unwrap().keep_hold = true;
    }

    pub fn has_kept_hold(&self) -> bool {
        self.state.lock().unwrap().kept_hold.is_some()
    }

    /// Carries the call to `/api/hold` out that was left unanswered, by the life that the runner has now.
    pub fn carry_out_kept_hold(&self) {
        let kept = self.state.lock().unwrap().kept_hold.take();
        if let Some(Json::Object(mut fields)) = kept {
            fields.remove("wait-ms");
            let body = Json::Object(fields);
            let (status, reply) = self.hold(&body);
            self.record.line(&format!(
                "runner {} carries out late: hold {body} -> {status} {reply}, lease until {} ms of its clock",
                self.id,
                self.state.lock().unwrap().lease_end
            ));
        }
    }

    /// Returns the time since the latest call to `/api/hold` was answered.
    pub fn since_hold(&self) -> Duration {
        self.state.lock().unwrap().hold_answered.elapsed()
    }

    /// Cuts the runner off from all machines and the store; it runs on.
    pub fn cut_off(&self) {
        self.state.lock().unwrap().cut_off = true;
        self.record.line(&format!("runner {} is cut off and runs on", self.id));
    }

    /// Ends the cut.
    pub fn join(&self) {
        self.state.lock().unwrap().cut_off = false;
        self.record.line(&format!("runner {} is reached again", self.id));
    }

    /// Ends the life of the runner with all its runs.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        state.up = false;
        let runs = std::mem::take(&mut state.runs);
        drop(state);
        self.record.line(&format!("runner {} crashes", self.id));
        for (task, run) in runs {
            self.note_end(&task, run.number, "lost with the runner");
        }
        self.changed.notify_all();
    }

    /// Starts the runner again under its id and address. It holds and knows nothing of before.
    pub fn restart(&self) {
        let mut state = self.state.lock().unwrap();
        state.life += 1;
        state.up = true;
        state.born_ms = unix_ms() + state.clock_ahead_ms;
        state.born = Instant::now();
        state.fence = 0;
        state.lease_end = 0;
        state.ended.clear();
        state.last_end = 0;
        state.refused.clear();
        state.seq = 0;
        let born = state.born_ms;
        drop(state);
        self.record.line(&format!("runner {} starts again under its id, born {born}", self.id));
    }

    /// Sets the time of day of the runner's machine this much ahead of the true time.
    pub fn set_clock_ahead(&self, ms: u64) {
        self.state.lock().unwrap().clock_ahead_ms = ms;
        self.record.line(&format!("the time of day of {}'s machine is {ms} ms ahead", self.id));
    }

    /// Returns whether a run is live on it.
    pub fn is_busy(&self) -> bool {
        !self.state.lock().unwrap().runs.is_empty()
    }

    /// Announces the runner at once, as it does after a start.
    pub fn announce_now(&self) {
        self.announce();
    }

    /// Returns the entry of its machine in the platform's list.
    pub fn machine_entry(&self) -> Json {
        let up = self.state.lock().unwrap().up;
        object([
            ("machine", self.machine.as_str().into()),
            ("pool", self.service.as_str().into()),
            ("state", if up { "up" } else { "down" }.into()),
            ("zone", self.zone.as_str().into()),
            ("labels", vec![self.kind.as_str().into(), self.rack.as_str().into()].into()),
            ("capacity", capacity()),
            ("id", self.id.as_str().into()),
        ])
    }

    fn note_end(&self, task: &str, run: u64, how: &'static str) {
        let at = self.record.line(&format!("runner {}: {task} run {run} ends: {how}", self.id));
        let mut log = self.log.lock().unwrap();
        let open = log.iter_mut().find(|seen| {
            seen.runner == self.id && seen.task == task && seen.run == run && seen.ended.is_none()
        });
        if let Some(seen) = open {
            seen.ended = Some(at);
            seen.how = how;
        }
    }

    fn end_run(&self, state: &mut State, task: &str, how: &'static str) {
        if let Some(run) = state.runs.remove(task) {
            state.last_end += 1;
            let number = state.last_end;
            state.ended.push((number, task.to_owned(), run.number, how));
            let least = state.refused.entry(task.to_owned()).or_default();
            *least = run.number.max(*least);
            self.note_end(task, run.number, how);
            self.changed.notify_all();
        }
    }

    fn advance(&self) {
        let mut state = self.state.lock().unwrap();
        let clock = state.born.elapsed().as_millis() as u64;
        let lapsed = clock >= state.lease_end;
        let ended = state.runs.iter().filter(|(_, run)| {
            let done = run.duration.is_some_and(|duration| run.started.elapsed() >= duration);
            done || lapsed
        });
        let ended: Vec<(String, bool)> = ended
            .map(|(task, run)| {
                let done = run.duration.is_some_and(|duration| run.started.elapsed() >= duration);
                (task.clone(), done)
            })
            .collect();
        for (task, done) in ended {
            self.end_run(&mut state, &task, if done { "done" } else { "lapsed" });
        }
    }

    fn handle(&self, request: &Request) -> Reply {
        let (up, life, cut_off) = {
            let state = self.state.lock().unwrap();
            (state.up, state.life, state.cut_off)
        };
        if !up {
            return Reply::Close;
        }
        if cut_off {
            // A partition is silent.
            return Reply::Silence;
        }
        let expected = request.header("X-Expect-Instance");
        if !expected.is_empty() && expected != self.id {
            return Reply::Answer(421, Json::Null);
        }
        let body = request.json();
        let (status, reply) = match &*request.path {
            "/healthz" => (200, Json::Null),
            "/api/run-start" => {
                let hook = self.state.lock().unwrap().hook.clone();
                let task = body.get("task").text().to_owned();
                if hook.map_or(StartFate::Answered, |hook| hook(&task)) == StartFate::Kept {
                    self.record.line(&format!(
                        "runner {} leaves unanswered: start {task} run {}",
                        self.id,
                        body.get("run").number()
                    ));
                    self.state.lock().unwrap().kept.push(body);
                    return Reply::Silence;
                }
                self.run_start(&body)
            }
            "/api/run-stop" => self.run_stop(&body),
            "/api/hold" => {
                let mut state = self.state.lock().unwrap();
                if state.keep_hold && body.get("until-ms").number() > 0 {
                    state.keep_hold = false;
                    state.kept_hold = Some(body.clone());
                    drop(state);
                    self.record.line(&format!("runner {} leaves unanswered: hold {body}", self.id));
                    return Reply::Silence;
                }
                drop(state);
                self.hold(&body)
            }
            "/api/pace" => (200, object([("clock-ms", self.clock().into())])),
            _ => (404, Json::Null),
        };
        let state = self.state.lock().unwrap();
        if !state.up || state.life != life {
            return Reply::Close;
        }
        if state.cut_off {
            return Reply::Silence;
        }
        drop(state);
        if request.path == "/api/hold" {
            self.state.lock().unwrap().hold_answered = Instant::now();
        }
        Reply::Answer(status, reply)
    }

    fn clock(&self) -> u64 {
        self.state.lock().unwrap().born.elapsed().as_millis() as u64
    }

    fn refuse(clock: u64, reason: &str) -> (u16, Json) {
        (409, object([("clock-ms", clock.into()), ("reason", reason.into())]))
    }

    fn run_start(&self, body: &Json) -> (u16, Json) {
        let task = body.get("task").text().to_owned();
        let (number, fence, until) =
            (body.get("run").number(), body.get("fence").number(), body.get("until-ms").number());
        let mut state = self.state.lock().unwrap();
        if !state.up {
            return (0, Json::Null);
        }
        let clock = state.born.elapsed().as_millis() as u64;
        if fence < state.fence {
            return Self::refuse(clock, "fence");
        }
        state.fence = fence;
        if until <= clock {
            return Self::refuse(clock, "late");
        }
        state.lease_end = state.lease_end.max(until.min(clock + HOLD_MAX_MS));
        if state.refused.get(&task).is_some_and(|least| number <= *least) {
            return Self::refuse(clock, "old");
        }
        if let Some(run) = state.runs.get(&task) {
            let same = run.number == number;
            return if same { (200, object([("clock-ms", clock.into())])) } else { Self::refuse(clock, "old") };
        }
        let used: u64 = state.runs.values().map(|run| run.cpu).sum();
        let spec = body.get("spec").text();
        let cpu = 1_000;
        if used + cpu > CPU {
            return Self::refuse(clock, "room");
        }
        let run = Run { number, started: Instant::now(), duration: duration_of(spec), cpu };
        state.runs.insert(task.clone(), run);
        let started = self.record.line(&format!("runner {} starts {task} run {number} (fence {fence})", self.id));
        self.log.lock().unwrap().push(Seen {
            runner: self.id.clone(),
            task,
            run: number,
            started,
            ended: None,
            how: "",
        });
        (200, object([("clock-ms", clock.into())]))
    }

    fn run_stop(&self, body: &Json) -> (u16, Json) {
        let task = body.get("task").text().to_owned();
        let (number, fence) = (body.get("run").number(), body.get("fence").number());
        let mut state = self.state.lock().unwrap();
        let clock = state.born.elapsed().as_millis() as u64;
        if fence < state.fence {
            return Self::refuse(clock, "fence");
        }
        state.fence = fence;
        self.record.line(&format!("runner {} is told to stop {task} run {number}", self.id));
        let least = state.refused.entry(task.clone()).or_default();
        *least = number.max(*least);
        if state.runs.get(&task).is_some_and(|run| run.number <= number) {
            self.end_run(&mut state, &task, "stopped");
        }
        (200, object([("clock-ms", clock.into())]))
    }

    fn hold(&self, body: &Json) -> (u16, Json) {
        let fence = body.get("fence").number();
        let wait = Duration::from_millis(body.get("wait-ms").number().min(2_000));
        let mut state = self.state.lock().unwrap();
        let clock = state.born.elapsed().as_millis() as u64;
        if fence < state.fence {
            return Self::refuse(clock, "fence");
        }
        state.fence = fence;
        let seen = body.get("last-seen").number();
        state.ended.retain(|(number, ..)| *number > seen);
        let until = body.get("until-ms").number();
        if until > 0 {
            state.lease_end = state.lease_end.max(until.min(clock + HOLD_MAX_MS));
        }
        let end = Instant::now() + wait;
        while state.ended.is_empty() && state.up && Instant::now() < end {
            let left = end.saturating_duration_since(Instant::now());
            state = self.changed.wait_timeout(state, left.min(Duration::from_millis(20))).unwrap().0;
        }
        let running = state.runs.iter().map(|(task, run)| {
            let percent = match run.duration {
                Some(duration) => {
                    let share = run.started.elapsed().as_secs_f64() / duration.as_secs_f64().max(0.001);
                    ((share * 100.0) as u64).min(99)
                }
                None => 100,
            };
            vec![task.as_str().into(), run.number.into(), "".into(), percent.into(), run.cpu.into()].into()
        });
        let running: Vec<Json> = running.collect();
        let ended = state.ended.iter().take(500).map(|(number, task, run, how)| {
            vec![(*number).into(), task.as_str().into(), (*run).into(), (*how).into(), "".into()].into()
        });
        let ended: Vec<Json> = ended.collect();
        let clock = state.born.elapsed().as_millis() as u64;
        let body = object([
            ("clock-ms", clock.into()),
            ("born", state.born_ms.into()),
            ("running", running.into()),
            ("ended", ended.into()),
        ]);
        (200, body)
    }
}

fn capacity() -> Json {
    object([("cpu", CPU.into()), ("mem-mb", MEM_MB.into()), ("gpu", 0.into())])
}

/// Serves the platform's list of machines.
pub fn serve_machines(address: SocketAddr, runners: Vec<Runner>) {
    serve(
        address,
        Arc::new(move |request: Request| {
            if request.path == "/api/machines" {
                let machines: Vec<Json> = runners.iter().map(Runner::machine_entry).collect();
                let list = object([("machines", machines.into()), ("next-token", "".into())]);
                return Reply::Answer(200, list);
            }
            // No case asks for moves or upkeep.
            Reply::Answer(409, object([("reason", "busy".into())]))
        }),
    );
}
