//! Snapshot tests of whole sessions in virtual time.

mod common;

use std::fmt::Write;
use std::time::Duration;

use nutmegcart_request::outcome::Outcome;
use nutmegcart_request::request_path::Attempt;
use nutmegcart_request::request_path::AttemptEnd;
use nutmegcart_request::request_path::Decision;
use nutmegcart_request::request_path::PendingRetry;
use nutmegcart_request::request_path::RequestPath;

use crate::common::ms;
use crate::common::new_path;
use crate::common::pseudo_random;
use crate::common::request;
use crate::common::runners;

/// Run time of a successful request.
const RUN_TIME: Duration = Duration::from_millis(100);

/// A session with time steps of 5 ms in which successful runs take [`RUN_TIME`].
struct Session {
    path: RequestPath,
    /// Returns the outcome of a run by runner and time.
    outcome: fn(&str, Duration) -> Outcome,
    running: Vec<(Duration, Attempt)>,
    backoff: Vec<(Duration, PendingRetry)>,
    answered: u64,
    failed: u64,
    log: String,
}

impl Session {
    fn run(mut self, service: &str, arrivals: u64, per_step: u64, log_interval: u64) -> String {
        let mut id = 0;
        for step in 0..arrivals + 100 {
            let now = ms(step * 5);
            self.finish_due(now);
            for _ in 0..if step < arrivals { per_step } else { 0 } {
                let mut request = request(id, now + ms(600));
                request.service = service.into();
                request.caller =
                    ["ferry", "reef", "market"][usize::try_from(id % 3).unwrap_or(0)].into();
                let decision = self.path.submit(request, now, pseudo_random(id));
                self.decide(decision, now);
                id += 1;
            }
            self.path.tick(now);
            self.dispatch_queued(now);
            if step % log_interval == 0 {
                self.log_counters(now, service);
            }
        }
        self.log
    }

    fn finish_due(&mut self, now: Duration) {
        while let Some(index) = self.running.iter().position(|(at, _)| *at <= now) {
            let (_, attempt) = self.running.remove(index);
            let outcome = (self.outcome)(&attempt.runner.id, now);
            match self.path.finish(attempt, outcome, now, 0) {
                AttemptEnd::Answered => self.answered += u64::from(outcome == Outcome::Success),
                AttemptEnd::Failed(..) => self.failed += 1,
                AttemptEnd::Retry(at, _, retry) => self.backoff.push((at, *retry)),
            }
        }
        while let Some(index) = self.backoff.iter().position(|(at, _)| *at <= now) {
            let (_, retry) = self.backoff.remove(index);
            let decision = self.path.retry(retry, now, pseudo_random(index as u64));
            self.decide(decision, now);
        }
    }

    fn decide(&mut self, decision: Decision, now: Duration) {
        if let Decision::Send(attempt) = decision {
            self.send(*attempt, now);
        }
    }

    fn send(&mut self, attempt: Attempt, now: Duration) {
        let time = match (self.outcome)(&attempt.runner.id, now) {
            Outcome::Success => RUN_TIME,
            _ => ms(1),
        };
        self.running.push((now + time, attempt));
    }

    fn dispatch_queued(&mut self, now: Duration) {
        let seed = u64::from(now.subsec_millis());
        while let Some(attempt) = self.path.next_attempt(now, pseudo_random(seed)) {
            self.send(attempt, now);
        }
        self.path.take_refused();
    }

    fn log_counters(&mut self, now: Duration, service: &str) {
        let counters = &self.path.counters;
        let refused: Vec<String> = counters
            .refusals
            .iter()
            .map(|(refusal, count)| format!("{refusal:?} {count}"))
            .collect();
        let retries: u64 = counters.retries.values().sum();
        writeln!(
            self.log,
            "{:>5} ms: {} running, {} waiting; {} answered, {} failed, {retries} retried, \
             {} borrowed, {} ejected, {} returned; refused: {}",
            now.as_millis(),
            self.running.len(),
            self.path.queue_len(&service.into()),
            self.answered,
            self.failed,
            counters.borrowed,
            counters.ejected,
            counters.returned,
            refused.join(", "),
        )
        .expect("writing to a string succeeds");
    }
}

fn session(
    runners: &[nutmegcart_request::share::RunnerSpec],
    outcome: fn(&str, Duration) -> Outcome,
) -> Session {
    let mut path = new_path(runners);
    path.router.set_spare(&"portal".into(), true);
    Session {
        path,
        outcome,
        running: Vec::new(),
        backoff: Vec::new(),
        answered: 0,
        failed: 0,
        log: String::new(),
    }
}

/// Detects unintended changes of admission and borrowing.
#[test]
fn burst_borrows_queues_refuses_and_recovers() {
    let mut specs = runners("gates", 2, 1);
    specs.extend(runners("portal", 1, 0));
    let session = session(&specs, |_, _| Outcome::Success);
    insta::assert_snapshot!(session.run("gates", 300, 3, 25));
}

/// Detects unintended changes of ejection and retries.
#[test]
fn failing_runner_is_ejected_and_returns() {
    let session = session(&runners("gates", 4, 0), |runner, now| match runner {
        "gates-1" if now > ms(500) && now < ms(2500) => Outcome::ConnectionLost,
        _ => Outcome::Success,
    });
    insta::assert_snapshot!(session.run("gates", 1600, 1, 100));
}

/// Detects unintended changes of the handling of draining runners.
#[test]
fn draining_runner_is_avoided_before_the_instance_list_shows_it() {
    let session = session(&runners("gates", 4, 0), |runner, now| match runner {
        "gates-2" if now > ms(500) => Outcome::RefusedBeforeStart,
        _ => Outcome::Success,
    });
    insta::assert_snapshot!(session.run("gates", 1000, 1, 100));
}
