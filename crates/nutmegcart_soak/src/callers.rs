//! Threads that hand in, cancel and ask for jobs over connections that stay open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use nutmegcart_stand_in::runner::FAILING_SPEC;
use nutmegcart_stand_in::runner::LONG_RUNNING_SPEC;
use nutmegcart_stand_in::runner::TIMED_SPEC;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;
use ureq::Agent;
use ureq::http::Request;

use crate::history::Fact;
use crate::history::History;
use crate::history::Nature;
use crate::reset;
use crate::reset::Cut;

/// Host of the queue.
pub const HOST: &str = "counts.example";
/// Path prefix of the queue.
pub const PREFIX: &str = "/gates/";
/// Key of the callers' organisation.
pub const KEY: &str = "k-callers";
/// A key that no configuration contains.
const UNKNOWN_KEY: &str = "k-unknown";
/// Time for which a caller waits for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between the calls of one caller, in milliseconds.
const PAUSE_MS: (u64, u64) = (10, 80);
/// Most jobs that one caller hands in, and most of them that are long-running.
const JOBS: (usize, usize) = (60, 4);
/// Most tasks of a job.
const MAX_TASKS: u32 = 4;
/// Longest duration of a task in milliseconds.
const MAX_TASK_MS: u64 = 2_500;

/// What callers do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Mode {
    /// Hand in new jobs, cancel some and ask for states.
    Busy,
    /// Only repeat what got no answer.
    Finish,
    /// End.
    Stop,
}

/// What a caller awaits of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Submitting,
    Accepted,
    Cancelling,
    Over,
}

struct JobPlan {
    id: Arc<str>,
    nature: Nature,
    body: String,
    stage: Stage,
}

/// A client that keeps connections open.
#[derive(Clone, Debug)]
pub struct Client {
    agent: Agent,
    /// Key of its organisation.
    key: Option<Arc<str>>,
}

impl Default for Client {
    fn default() -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(CALL_TIMEOUT))
            .build();
        Self {
            agent: config.into(),
            key: None,
        }
    }
}

impl Client {
    /// Returns a client with the key of an organisation.
    #[must_use]
    pub fn with_key(key: &str) -> Self {
        Self {
            key: Some(key.into()),
            ..Self::default()
        }
    }

    /// Sends a request; returns status and body of a complete answer.
    ///
    /// ```
    /// use nutmegcart_soak::callers::Client;
    ///
    /// // Nothing listens on this port.
    /// let answer = Client::default().call(([127, 0, 0, 1], 1).into(), "GET", "/", "");
    /// assert!(answer.is_none());
    /// ```
    #[must_use]
    pub fn call(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, Value)> {
        self.send(address, method, path, body).ok()
    }

    fn send(&self, address: SocketAddr, method: &str, path: &str, body: &str) -> Answer {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("host", HOST)
            .header("content-type", "application/json");
        let request = match &self.key {
            Some(key) => request.header("authorization", format!("Token {key}")),
            None => request,
        };
        let request = request.body(body.to_owned()).map_err(|_| Loss::Whole)?;
        let mut answer = self.agent.run(request).map_err(|_| Loss::Whole)?;
        let text = answer.body_mut().read_to_string();
        let text = text.map_err(|error| match error {
            ureq::Error::Timeout(_) => Loss::Whole,
            _ => Loss::Rest,
        })?;
        let status = answer.status().as_u16();
        Ok((status, serde_json::from_str(&text).unwrap_or_default()))
    }
}

/// What is missing of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Loss {
    /// Nothing arrived, or the rest did not arrive in time.
    Whole,
    /// The connection ended within the answer.
    Rest,
}

/// Status and body of an answer.
type Answer = Result<(u16, Value), Loss>;

/// Running callers.
pub struct Callers {
    mode: Arc<AtomicU8>,
    /// Number of callers that have unanswered calls or are not in mode [`Mode::Finish`].
    unfinished: Vec<Arc<AtomicU8>>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts callers that use all of the addresses and have the key of the client. They reset half of their connections to an
    /// address while its flag in `resets` is set.
    #[must_use]
    pub fn start(
        count: u64,
        seed: u64,
        addresses: &[SocketAddr],
        resets: &Arc<[AtomicBool]>,
        history: &History,
        client: &Client,
    ) -> Self {
        let mode = Arc::new(AtomicU8::new(Mode::Busy as u8));
        let mut callers = Self {
            mode: mode.clone(),
            unfinished: Vec::new(),
            threads: Vec::new(),
        };
        for number in 0..count {
            let unfinished = Arc::new(AtomicU8::new(1));
            let mut caller = Caller {
                rng: StdRng::seed_from_u64(seed.wrapping_mul(count).wrapping_add(number)),
                client: client.clone(),
                addresses: addresses.to_vec(),
                resets: resets.clone(),
                history: history.clone(),
                jobs: Vec::new(),
            };
            callers.unfinished.push(unfinished.clone());
            let mode = mode.clone();
            let thread = std::thread::spawn(move || caller.run(&mode, &unfinished));
            callers.threads.push(thread);
        }
        callers
    }

    /// Tells callers what to do from now on.
    pub fn set_mode(&self, mode: Mode) {
        for unfinished in &self.unfinished {
            unfinished.store(1, Ordering::SeqCst);
        }
        self.mode.store(mode as u8, Ordering::SeqCst);
    }

    /// Returns whether all calls have a definite answer, in mode [`Mode::Finish`].
    #[must_use]
    pub fn are_finished(&self) -> bool {
        let mut all = self.unfinished.iter();
        all.all(|unfinished| unfinished.load(Ordering::SeqCst) == 0)
    }

    /// Ends the callers.
    pub fn stop(self) {
        self.set_mode(Mode::Stop);
        for thread in self.threads {
            if thread.join().is_err() {
                eprintln!("a caller has panicked");
            }
        }
    }
}

struct Caller {
    rng: StdRng,
    client: Client,
    addresses: Vec<SocketAddr>,
    resets: Arc<[AtomicBool]>,
    history: History,
    jobs: Vec<JobPlan>,
}

impl Caller {
    fn run(&mut self, mode: &AtomicU8, unfinished: &AtomicU8) {
        loop {
            let current = mode.load(Ordering::SeqCst);
            if current == Mode::Stop as u8 {
                return;
            }
            let open = |job: &JobPlan| matches!(job.stage, Stage::Submitting | Stage::Cancelling);
            let open = self.jobs.iter().position(open);
            if current == Mode::Finish as u8 {
                match open {
                    Some(index) => self.proceed(index),
                    None => unfinished.store(0, Ordering::SeqCst),
                }
            } else {
                match open {
                    Some(index) if self.rng.random_ratio(1, 2) => self.proceed(index),
                    _ => self.act(),
                }
            }
            let pause = self.rng.random_range(PAUSE_MS.0..PAUSE_MS.1);
            sleep(Duration::from_millis(pause));
        }
    }

    /// Hands in a new job, or cancels, repeats or asks for one.
    fn act(&mut self) {
        if self.jobs.len() < JOBS.0 && self.rng.random_ratio(1, 3) {
            self.plan();
            return;
        }
        if self.jobs.is_empty() {
            return;
        }
        if self.client.key.is_some() && self.rng.random_ratio(1, 20) {
            self.submit_with_unknown_key();
        }
        let index = self.rng.random_range(0..self.jobs.len());
        let stage = self.jobs[index].stage;
        match self.rng.random_range(0..10) {
            0 if stage == Stage::Accepted => {
                self.jobs[index].stage = Stage::Cancelling;
                let job = self.jobs[index].id.clone();
                self.history.add(Fact::Cancelling { job });
                self.proceed(index);
            }
            1 if stage == Stage::Accepted => self.submit(index),
            _ if stage != Stage::Submitting => self.show(index),
            _ => {}
        }
    }

    fn plan(&mut self) {
        let lasting = |job: &&JobPlan| job.nature == Nature::LongRunning;
        let lasting = self.jobs.iter().filter(lasting).count();
        let nature = match self.rng.random_range(0..8) {
            0 => Nature::Failing,
            1 | 2 if lasting < JOBS.1 => Nature::LongRunning,
            _ => Nature::Ordinary,
        };
        let millis = self.rng.random_range(20..MAX_TASK_MS);
        let spec = match nature {
            Nature::Ordinary => format!("{TIMED_SPEC}{millis}"),
            Nature::Failing => FAILING_SPEC.to_owned(),
            Nature::LongRunning => LONG_RUNNING_SPEC.to_owned(),
        };
        let tasks = self.rng.random_range(1..=MAX_TASKS);
        let body = json!({"spec": spec, "steps": [{
            "count": tasks, "cpu": 500, "mem-mb": 256, "est-ms": millis,
            "long-running": nature == Nature::LongRunning,
        }]});
        let id: Arc<str> = format!("{:016x}", self.rng.random::<u64>()).into();
        self.history.add(Fact::Planned {
            job: id.clone(),
            nature,
            tasks,
        });
        self.jobs.push(JobPlan {
            id,
            nature,
            body: body.to_string(),
            stage: Stage::Submitting,
        });
        self.proceed(self.jobs.len() - 1);
    }

    /// Makes the call that the job awaits.
    fn proceed(&mut self, index: usize) {
        if self.jobs[index].stage == Stage::Submitting {
            self.submit(index);
        } else {
            self.cancel(index);
        }
    }

    fn call(&mut self, index: usize, method: &str) -> Option<(u16, Value)> {
        let instance = self.rng.random_range(0..self.addresses.len());
        let job = &self.jobs[index];
        let body = if method == "POST" { &*job.body } else { "" };
        let sent = Instant::now();
        let path = format!("{PREFIX}{}", job.id);
        let address = self.addresses[instance];
        if self.resets[instance].load(Ordering::SeqCst) && self.rng.random() {
            let cut = Cut::draw(&mut self.rng);
            // The request may have been carried out; the address may refuse connections.
            let _ = reset::send(
                address,
                HOST,
                self.client.key.as_deref(),
                (method, &path, body),
                cut,
            );
            return None;
        }
        let answer = self.client.send(address, method, &path, body);
        if let Err(loss) = answer {
            let waited = sent.elapsed();
            self.history.add(Fact::Dropped {
                instance,
                waited,
                partial: loss == Loss::Rest,
            });
        }
        answer.ok()
    }

    fn submit(&mut self, index: usize) {
        let job = self.jobs[index].id.clone();
        self.history.add(Fact::Submitting { job: job.clone() });
        let answer = self.call(index, "POST").map(|(status, _)| status);
        self.history.add(Fact::Submitted { job, answer });
        let stage = &mut self.jobs[index].stage;
        if *stage == Stage::Submitting {
            match answer {
                Some(200..=299) => *stage = Stage::Accepted,
                // Some callers give up, others try again.
                Some(429 | 503) if self.rng.random() => *stage = Stage::Over,
                _ => {}
            }
        }
    }

    /// Submits a job with a key that no configuration contains. The history has no such job, so a start
    /// of it breaks the promise that only submitted jobs run.
    fn submit_with_unknown_key(&mut self) {
        let instance = self.rng.random_range(0..self.addresses.len());
        let path = format!("{PREFIX}{:016x}", self.rng.random::<u64>());
        let body = json!({"spec": LONG_RUNNING_SPEC, "steps": [{"count": 1, "cpu": 500}]});
        let client = Client::with_key(UNKNOWN_KEY);
        let address = self.addresses[instance];
        if let Some((200..=299, _)) = client.call(address, "POST", &path, &body.to_string()) {
            self.history.add(Fact::Admitted { instance });
        }
    }

    fn cancel(&mut self, index: usize) {
        let sent = self.history.now();
        let answer = self.call(index, "DELETE").map(|(status, _)| status);
        let job = self.jobs[index].id.clone();
        self.history.add(Fact::Cancelled { job, answer, sent });
        if matches!(answer, Some(200..=299 | 410)) {
            self.jobs[index].stage = Stage::Over;
        }
    }

    fn show(&mut self, index: usize) {
        let sent = self.history.now();
        if let Some((answer, body)) = self.call(index, "GET") {
            let state = body["state"].as_str().unwrap_or_default().into();
            let job = self.jobs[index].id.clone();
            self.history.add(Fact::Shown {
                job,
                answer,
                state,
                sent,
            });
        }
    }
}
