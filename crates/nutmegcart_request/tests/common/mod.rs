//! Test helpers: a small deployment in virtual time.

#![allow(dead_code)]

use std::time::Duration;

use nutmegcart_model::InstanceId;
use nutmegcart_request::admission::Class;
use nutmegcart_request::request_path::Attempt;
use nutmegcart_request::request_path::Decision;
use nutmegcart_request::request_path::Request;
use nutmegcart_request::request_path::RequestPath;
use nutmegcart_request::request_path::RequestPathSettings;
use nutmegcart_request::share::EntrySpec;
use nutmegcart_request::share::RunnerSpec;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn entry(id: usize, centre: &str) -> EntrySpec {
    EntrySpec {
        id: format!("e{id}").into(),
        centre: centre.into(),
    }
}

/// Returns runners `<service>-<n>`, the first `local` of them in data centre `a`, the others in
/// `b`.
pub fn runners(service: &str, local: usize, remote: usize) -> Vec<RunnerSpec> {
    (0..local + remote)
        .map(|index| RunnerSpec {
            id: format!("{service}-{index}").into(),
            centre: if index < local { "a" } else { "b" }.into(),
            service: service.into(),
        })
        .collect()
}

/// Returns the request path of a single entry instance in data centre `a`.
pub fn new_path(specs: &[RunnerSpec]) -> RequestPath {
    let mut path = RequestPath::new(RequestPathSettings::default(), entry(0, "a"));
    path.router.set_runners(specs, Duration::ZERO);
    path
}

pub fn request(id: u64, deadline: Duration) -> Request {
    Request {
        id,
        service: "gates".into(),
        caller: "ferry".into(),
        class: Class::Urgent,
        deadline,
        idempotent: true,
        retried: false,
        cost: 1,
    }
}

/// Returns the attempt of a [`Decision::Send`]; panics on any other decision.
#[track_caller]
pub fn expect_attempt(decision: Decision) -> Attempt {
    match decision {
        Decision::Send(attempt) => *attempt,
        other => panic!("not sent: {other:?}"),
    }
}

/// Submits requests until no runner has room and returns the attempts.
pub fn fill(path: &mut RequestPath, idempotent: bool, now: Duration) -> Vec<Attempt> {
    let mut attempts = Vec::new();
    for id in 1_000_000.. {
        let mut request = request(id, now + ms(600_000));
        request.idempotent = idempotent;
        match path.submit(request, now, pseudo_random(id)) {
            Decision::Send(attempt) => attempts.push(*attempt),
            Decision::Queued(_) => {
                path.cancel(&"gates".into(), id);
                break;
            }
            Decision::Refused(_) => break,
        }
    }
    attempts
}

/// Returns the number of attempts on a runner.
pub fn count_on(attempts: &[Attempt], id: &str) -> usize {
    let id = InstanceId::from(id);
    attempts
        .iter()
        .filter(|attempt| attempt.runner.id == id)
        .count()
}

/// Hashes a counter to a 64-bit pseudo-random number that is the same in every run.
pub fn pseudo_random(seed: u64) -> u64 {
    let mixed = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
