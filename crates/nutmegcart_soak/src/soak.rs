//! One run of a schedule.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

use nutmegcart_control::keys;
use nutmegcart_jobs::layout::CELL_SIZE;
use nutmegcart_jobs::layout::CellLayout;
use nutmegcart_jobs::record::encode;
use nutmegcart_stand_in::StandIn;
use nutmegcart_stand_in::gate::Conduct;
use nutmegcart_stand_in::runner::Runner;
use rustix::process::Signal;
use serde::Serialize;
use serde_json::json;

use crate::callers::Callers;
use crate::callers::Client;
use crate::callers::HOST;
use crate::callers::KEY;
use crate::callers::Mode;
use crate::callers::PREFIX;
use crate::checker::Broken;
use crate::checker::Checker;
use crate::history::Fact;
use crate::history::History;
use crate::history::Nature;
use crate::instance::Instance;
use crate::schedule::Fault;
use crate::schedule::Kind;
use crate::schedule::Schedule;
use crate::schedule::Size;
use crate::schedule::WORKERS;

/// Result of a run; the error is a message about the soak itself.
pub type Result<T> = std::result::Result<T, String>;

/// Service of the workers.
const SERVICE: &str = "gates";
/// Number of callers.
const CALLERS: u64 = 4;
/// Job that no caller hands in, and the status of answers about it.
const UNKNOWN_JOB: &str = "0000000000000000";
const UNKNOWN_JOB_STATUS: u16 = 410;
/// Status of answers to a path without a route.
const UNKNOWN_ROUTE_STATUS: u16 = 404;
/// Status of answers to a call whose key no organisation holds.
const UNKNOWN_KEY_STATUS: u16 = 401;
/// Key of the organisation that submits no jobs.
const OTHER_KEY: &str = "k-others";
/// Limit of the callers' organisation. Their long-running tasks need up to 32,000 thousandths of a core,
/// and they must all run in a settled state.
const MAX_MILLICORES: u64 = 48_000;
/// Interval at which facts are collected and faults begin and end.
const TICK: Duration = Duration::from_millis(10);
/// Time for which callers stay busy after a round of faults.
const CALM_TIME: Duration = Duration::from_secs(4);
/// Time from the last fault until each long-running task has a run.
const RESTART_BOUND: Duration = Duration::from_secs(12);
/// Time from the last fault until every job has settled, when time bounds are checked.
const SETTLE_BOUND: Duration = Duration::from_secs(40);
/// The same when they are not; it only keeps a run from lasting for ever.
const SETTLE_LIMIT: Duration = Duration::from_mins(5);
/// Interval at which the states of all jobs are read while they settle.
const SETTLE_PERIOD: Duration = Duration::from_millis(250);

/// How schedules are played.
#[derive(Clone, Debug)]
pub struct Options {
    /// Binary under test.
    pub binary: PathBuf,
    /// Whether promises with a time bound are checked.
    pub timed: bool,
    /// Folder for settings and logs; those of a run without broken promises are removed.
    pub folder: PathBuf,
}

/// What a run has shown.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Seed of the schedule.
    pub seed: u64,
    /// Size of the run.
    pub size: Size,
    /// Number of faults.
    pub faults: usize,
    /// Duration of the run in seconds.
    pub seconds: f64,
    /// Number of accepted jobs.
    pub accepted: usize,
    /// Number of cancelled jobs.
    pub cancelled: usize,
    /// Number of runs that have started.
    pub starts: usize,
    /// Number of calls of callers.
    pub calls: usize,
    /// Broken promises.
    pub broken: Vec<Broken>,
    /// Folder with the logs, if a promise was broken.
    pub logs: Option<PathBuf>,
    /// Faults with their start and end in milliseconds since the start of the run.
    #[serde(skip)]
    pub timeline: Vec<(u64, u64, Fault)>,
}

/// Number of runs that this process has begun; two of one seed must not share a folder.
static PLAYED: AtomicU32 = AtomicU32::new(0);

struct Soak {
    platform: StandIn,
    workers: Vec<Runner>,
    instances: Vec<Instance>,
    history: History,
    checker: Checker,
    /// Faults in force, in the order of their starts.
    active: Vec<Fault>,
    timeline: Vec<(u64, u64, Fault)>,
    /// Conduct that was set at the gate of each instance and each worker.
    conducts: Vec<(Conduct, u32)>,
    timed: bool,
    client: Client,
    /// Whether the configuration has organisations.
    organisations: bool,
    /// Whether callers reset connections to each instance.
    resets: Arc<[AtomicBool]>,
    /// Version of the newest configuration.
    configured: u64,
}

/// Plays a schedule.
///
/// # Errors
///
/// Fails if files cannot be written or processes cannot be started or signalled.
pub fn play(schedule: &Schedule, options: &Options) -> Result<Report> {
    let number = PLAYED.fetch_add(1, Ordering::SeqCst);
    let name = format!("seed-{}-{}-{number}", schedule.seed, std::process::id());
    let folder = options.folder.join(name);
    let text = |error: std::io::Error| format!("{}: {error}", folder.display());
    fs::create_dir_all(&folder).map_err(text)?;
    let platform = StandIn::start();
    let organisations = schedule.size.has_organisations();
    configure(&platform, 1, organisations);
    let workers = start_workers(&platform, schedule.size.cells);
    let instances = (0..schedule.size.instances)
        .map(|number| Instance::new(&platform, number, &options.binary, &folder));
    let instances = instances.collect::<Result<Vec<Instance>>>()?;
    let mut soak = Soak {
        conducts: vec![(Conduct::Answer, 1); instances.len() + WORKERS],
        resets: instances.iter().map(|_| AtomicBool::default()).collect(),
        configured: 1,
        platform,
        workers,
        instances,
        history: History::default(),
        checker: Checker::new(options.timed),
        active: Vec::new(),
        timeline: Vec::new(),
        timed: options.timed,
        client: if organisations {
            Client::with_key(KEY)
        } else {
            Client::default()
        },
        organisations,
    };
    let played = soak.run(schedule);
    let report = soak.report(schedule, &folder);
    drop(soak);
    played?;
    if report.broken.is_empty() {
        fs::remove_dir_all(&folder).map_err(text)?;
    }
    Ok(report)
}

/// Writes a configuration with one route that all versions have and one of its own, and with two
/// organisations if wanted: that of the callers has a key that all versions have and one of its own.
fn configure(platform: &StandIn, version: u64, organisations: bool) {
    let own_prefix = own_prefix(version);
    if !organisations {
        platform.configure_routes(version, SERVICE, HOST, &[PREFIX, &own_prefix]);
        return;
    }
    let tenants = json!([
        {"name": "callers", "api-keys": [KEY, own_key(version)], "weight": 2.0,
         "max-count": {"cpu": MAX_MILLICORES, "mem-mb": 0, "gpu": 0}},
        {"name": "others", "api-keys": [OTHER_KEY], "weight": 1.0},
    ]);
    let prefixes = [PREFIX, &own_prefix];
    platform.configure_organisations(version, SERVICE, HOST, prefixes, &tenants);
}

fn own_key(version: u64) -> String {
    format!("k-version-{version}")
}

fn own_prefix(version: u64) -> String {
    format!("/version-{version}/")
}

/// Starts workers, evenly spread over the cells. The layout of several cells is stored as that of a
/// fleet of full cells, which had other machines when it was made.
fn start_workers(platform: &StandIn, cells: u32) -> Vec<Runner> {
    let machines = (0..cells as usize * CELL_SIZE)
        .map(|number| (format!("m-{number}").into(), SERVICE.into()));
    let layout = CellLayout::divide(machines.collect());
    if cells > 1 {
        platform.store.put_bytes(&keys::layout(), encode(&layout));
    }
    let mut numbers = 0..;
    let workers = (0..cells).cycle().take(WORKERS).filter_map(|cell| {
        let mut names = numbers.by_ref().map(|number: u32| format!("i-{number}"));
        names.find(|name| layout.cell_of_machine(name) == cell)
    });
    let names: Vec<String> = workers.collect();
    let runners = names.iter().map(|name| platform.add_runner(name, SERVICE));
    runners.collect()
}

impl Soak {
    fn run(&mut self, schedule: &Schedule) -> Result<()> {
        for instance in &mut self.instances {
            instance.start()?;
        }
        self.wait_until_ready()?;
        let addresses: Vec<_> = self.instances.iter().map(|each| each.callers).collect();
        let callers = Callers::start(
            CALLERS,
            schedule.seed,
            &addresses,
            &self.resets,
            &self.history,
            &self.client,
        );
        let played = self.play_rounds(schedule, &callers);
        callers.stop();
        self.collect()?;
        played
    }

    fn play_rounds(&mut self, schedule: &Schedule, callers: &Callers) -> Result<()> {
        for round in &schedule.rounds {
            callers.set_mode(Mode::Busy);
            self.play_round(round)?;
            let over = self.history.now();
            self.wait_until_ready()?;
            let calm = self.history.now() + CALM_TIME;
            while self.history.now() < calm {
                self.tick()?;
            }
            if self.timed {
                self.check_configurations();
            }
            self.settle(callers, over)?;
            if self.organisations {
                self.check_isolation();
            }
        }
        Ok(())
    }

    fn play_round(&mut self, faults: &[Fault]) -> Result<()> {
        let start = self.history.now();
        let mut waiting = faults.to_vec();
        while !waiting.is_empty() || !self.active.is_empty() {
            let now = self.history.now().saturating_sub(start);
            let now = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
            while let Some(fault) = self.active.iter().position(|each| each.until_ms <= now) {
                let fault = self.active.remove(fault);
                self.end(fault)?;
            }
            while waiting.first().is_some_and(|fault| fault.from_ms <= now) {
                let fault = waiting.remove(0);
                self.active.push(fault);
                self.begin(fault)?;
            }
            self.tick()?;
        }
        Ok(())
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.history.now().as_millis()).unwrap_or(u64::MAX)
    }

    fn begin(&mut self, fault: Fault) -> Result<()> {
        self.history.add(Fact::Began(fault));
        let now = self.now_ms();
        self.timeline.push((now, now, fault));
        match fault.kind {
            Kind::Pause(instance) => self.instances[instance].signal(Signal::STOP)?,
            Kind::Kill(instance) => self.instances[instance].kill()?,
            Kind::Terminate(instance) => {
                self.instances[instance].ending = true;
                self.instances[instance].signal(Signal::TERM)?;
            }
            Kind::Reload(instance) => self.instances[instance].signal(Signal::HUP)?,
            Kind::Forget => self.platform.store.forget_history(),
            Kind::Configure => {
                self.configured += 1;
                configure(&self.platform, self.configured, self.organisations);
            }
            Kind::Partition(worker, side) => self.workers[worker].partition(Some(side)),
            Kind::Reset(instance) => self.resets[instance].store(true, Ordering::SeqCst),
            Kind::Crash(worker) => self.workers[worker].crash(),
            Kind::Leave(worker) => {
                self.workers[worker].crash();
                self.workers[worker].withdraw(&self.platform.store);
            }
            Kind::Store(..) | Kind::WholeStore(..) | Kind::Worker(..) => {}
        }
        self.set_conducts();
        Ok(())
    }

    fn end(&mut self, fault: Fault) -> Result<()> {
        match fault.kind {
            Kind::Pause(instance) if !self.is_active(Kind::Pause(instance)) => {
                self.instances[instance].signal(Signal::CONT)?;
            }
            Kind::Kill(instance) => self.instances[instance].start()?,
            Kind::Terminate(instance) => {
                // The platform kills a process that has not ended in time.
                if self.instances[instance].ending {
                    self.instances[instance].kill()?;
                }
                self.instances[instance].start()?;
            }
            Kind::Crash(worker) | Kind::Leave(worker) => {
                let again = [Kind::Crash(worker), Kind::Leave(worker)];
                if !again.into_iter().any(|kind| self.is_active(kind)) {
                    self.workers[worker].restart();
                    self.workers[worker].announce(&self.platform.store);
                    self.conducts[self.instances.len() + worker] = (Conduct::Answer, 1);
                }
            }
            Kind::Partition(worker, _) => self.workers[worker].partition(None),
            Kind::Reset(instance) if !self.is_active(Kind::Reset(instance)) => {
                self.resets[instance].store(false, Ordering::SeqCst);
            }
            _ => {}
        }
        self.set_conducts();
        let now = self.now_ms();
        let same = |each: &&mut (u64, u64, Fault)| each.2 == fault;
        if let Some(bar) = self.timeline.iter_mut().rfind(same) {
            bar.1 = now;
        }
        self.history.add(Fact::Over(fault));
        Ok(())
    }

    fn is_active(&self, kind: Kind) -> bool {
        self.active.iter().any(|fault| fault.kind == kind)
    }

    /// Sets each gate to the conduct of the latest fault in force.
    fn set_conducts(&mut self) {
        let mut conducts = vec![(Conduct::Answer, 1); self.conducts.len()];
        let (stores, workers) = conducts.split_at_mut(self.instances.len());
        for fault in &self.active {
            match fault.kind {
                Kind::Store(instance, conduct, every) => stores[instance] = (conduct, every),
                Kind::WholeStore(conduct, every) => stores.fill((conduct, every)),
                Kind::Worker(worker, conduct, every) => workers[worker] = (conduct, every),
                _ => {}
            }
        }
        for fault in &self.active {
            if let Kind::Crash(worker) | Kind::Leave(worker) = fault.kind {
                workers[worker] = (Conduct::Close, 1);
            }
        }
        let stores = self.instances.iter().map(|instance| &instance.gate);
        let gates = stores.chain(self.workers.iter().map(|worker| &worker.gate));
        for ((gate, present), wanted) in gates.zip(&mut self.conducts).zip(conducts) {
            if *present != wanted {
                gate.set(wanted.0, wanted.1);
                *present = wanted;
            }
        }
    }

    fn tick(&mut self) -> Result<()> {
        sleep(TICK);
        self.collect()
    }

    /// Collects the facts so far and checks them.
    fn collect(&mut self) -> Result<()> {
        for (number, instance) in self.instances.iter_mut().enumerate() {
            if let Some(status) = instance.take_exit()? {
                let expected = instance.ending && status.success();
                self.history.add(Fact::Exited {
                    instance: number,
                    how: status.to_string().into(),
                    expected,
                });
                if !instance.ending {
                    instance.start()?;
                }
            }
        }
        let now = self.history.now();
        for (worker, runner) in self.workers.iter().enumerate() {
            for (time, what) in runner.take_occurrences() {
                self.history.add_at(time, Fact::Worker { worker, what });
            }
        }
        for entry in self.history.take_until(now) {
            self.checker.observe(&entry);
        }
        Ok(())
    }

    fn wait_until_ready(&mut self) -> Result<()> {
        let end = self.history.now() + SETTLE_LIMIT;
        let ready = |instance: &Instance, client: &Client| {
            let answer = client.call(instance.ready, "GET", "/api/ready", "");
            answer.is_some_and(|(status, _)| status == 200)
        };
        while !self.instances.iter().all(|each| ready(each, &self.client)) {
            self.tick()?;
            if self.history.now() > end {
                return Err("the instances do not become ready".into());
            }
        }
        Ok(())
    }

    /// Lets callers finish, and waits until all accepted jobs have settled at all instances.
    fn settle(&mut self, callers: &Callers, over: Duration) -> Result<()> {
        callers.set_mode(Mode::Finish);
        let bound = if self.timed {
            SETTLE_BOUND
        } else {
            SETTLE_LIMIT
        };
        loop {
            self.collect()?;
            if self.timed {
                self.check_restarts(over);
            }
            let left = if callers.are_finished() {
                self.unsettled()
            } else {
                BTreeMap::from([("calls".to_owned(), "without a definite answer".to_owned())])
            };
            let now = self.history.now();
            if left.is_empty() {
                self.history.add(Fact::Settled);
                return Ok(());
            }
            if now > over + bound {
                let since = now.saturating_sub(over);
                for (job, state) in left {
                    let detail = format!("{job}: {state}, {since:?} after the last fault");
                    self.checker
                        .report(now, "every accepted job settles", detail);
                }
                return Ok(());
            }
            let next = now + SETTLE_PERIOD;
            while self.history.now() < next {
                self.tick()?;
            }
        }
    }

    /// Checks that long-running tasks have runs once their bound is over.
    fn check_restarts(&mut self, over: Duration) {
        let now = self.history.now();
        let mut missing = Vec::new();
        for (job, view) in &self.checker.jobs {
            let since = view.accepted.map(|accepted| accepted.max(over));
            let due = since.is_some_and(|since| now > since + RESTART_BOUND);
            let lasting = view.nature == Nature::LongRunning && !view.cancelling;
            let alive = self.checker.count_alive(job);
            if due && lasting && alive < view.tasks as usize {
                missing.push(format!("job {job}: {alive} of {} tasks run", view.tasks));
            }
        }
        let promise = "a long-running task has a run within 12 s after the last fault";
        for detail in missing {
            let known = self.checker.broken.iter();
            if !known.into_iter().any(|each| each.detail == detail) {
                self.checker.report(now, promise, detail);
            }
        }
    }

    /// Returns what each instance answers that does not use the newest configuration, or uses the
    /// one before.
    fn outdated(&self) -> BTreeMap<String, String> {
        let mut outdated = BTreeMap::new();
        let status = |instance: &Instance, version| {
            let path = format!("{}{UNKNOWN_JOB}", own_prefix(version));
            let answer = self.client.call(instance.callers, "GET", &path, "");
            answer.map_or(0, |(status, _)| status)
        };
        for (number, instance) in self.instances.iter().enumerate() {
            let newest = status(instance, self.configured);
            let former = status(instance, self.configured - 1);
            if (newest, former) != (UNKNOWN_JOB_STATUS, UNKNOWN_ROUTE_STATUS) {
                let seen = format!("{newest} for version {}, {former} before", self.configured);
                outdated.insert(format!("configuration of instance {number}"), seen);
            }
            if !self.organisations {
                continue;
            }
            let status = |version| {
                let client = Client::with_key(&own_key(version));
                let path = format!("{PREFIX}{UNKNOWN_JOB}");
                let answer = client.call(instance.callers, "GET", &path, "");
                answer.map_or(0, |(status, _)| status)
            };
            let newest = status(self.configured);
            let revoked = status(self.configured - 1);
            if (newest, revoked) != (UNKNOWN_JOB_STATUS, UNKNOWN_KEY_STATUS) {
                let seen = format!("{newest} with the newest key, {revoked} with the one before");
                outdated.insert(format!("keys of instance {number}"), seen);
            }
        }
        outdated
    }

    /// Checks that no instance shows a job to callers of the other organisation.
    fn check_isolation(&mut self) {
        let client = Client::with_key(OTHER_KEY);
        let mut shown = Vec::new();
        for (job, view) in &self.checker.jobs {
            for (number, instance) in self.instances.iter().enumerate() {
                let path = format!("{PREFIX}{job}");
                let answer = client.call(instance.callers, "GET", &path, "");
                if let Some((200..=299, _)) = answer
                    && view.accepted.is_some()
                {
                    shown.push(format!("job {job} by instance {number}"));
                }
            }
        }
        let now = self.history.now();
        for detail in shown {
            let promise = "a job is shown to callers of its organisation only";
            self.checker.report(now, promise, detail);
        }
    }

    /// Checks that each instance uses the newest configuration after a calm stretch.
    fn check_configurations(&mut self) {
        let now = self.history.now();
        for (instance, seen) in self.outdated() {
            let promise = "the newest configuration is in use 4 s after the last fault";
            self.checker
                .report(now, promise, format!("{instance}: {seen}"));
        }
    }

    /// Returns the jobs that have not settled at some instance, with their states, and instances
    /// with a configuration that is not the newest.
    fn unsettled(&self) -> BTreeMap<String, String> {
        let jobs = self.checker.jobs.iter();
        let jobs = jobs.filter(|(_, view)| view.accepted.is_some());
        let mut left = self.outdated();
        for (job, _) in jobs {
            for (number, instance) in self.instances.iter().enumerate() {
                let path = format!("{PREFIX}{job}");
                let answer = self.client.call(instance.callers, "GET", &path, "");
                let (status, body) = answer.unwrap_or_default();
                let state = body["state"].as_str().unwrap_or_default();
                if !self.checker.has_settled(job, state) {
                    let alive = self.checker.count_alive(job);
                    let seen = format!("instance {number} answers {status} {state}, {alive} run");
                    left.insert(format!("job {job}"), seen);
                    break;
                }
            }
        }
        left
    }

    fn report(&self, schedule: &Schedule, folder: &std::path::Path) -> Report {
        let jobs = &self.checker.jobs;
        let broken = self.checker.broken.clone();
        Report {
            seed: schedule.seed,
            size: schedule.size,
            faults: schedule.rounds.iter().map(Vec::len).sum(),
            seconds: self.history.now().as_secs_f64(),
            accepted: jobs.values().filter(|view| view.accepted.is_some()).count(),
            cancelled: jobs
                .values()
                .filter(|view| view.cancelled.is_some())
                .count(),
            starts: self.checker.starts,
            calls: self.checker.calls,
            logs: (!broken.is_empty()).then(|| folder.to_owned()),
            broken,
            timeline: self.timeline.clone(),
        }
    }
}
