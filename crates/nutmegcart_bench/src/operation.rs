//! At-most-once execution against a cache of operation identifiers held only by the owner.

use std::collections::HashMap;
use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use nutmegcart_fakes::FakeRunner;
use nutmegcart_fakes::Oracle;
use nutmegcart_fakes::server;
use nutmegcart_model::Code;
use nutmegcart_model::Incarnation;
use nutmegcart_model::Verdict;
use nutmegcart_peer::IntentMessage;
use nutmegcart_peer::MessageDispatcher;
use nutmegcart_peer::OutcomeMessage;
use nutmegcart_peer::PeerClient;
use nutmegcart_peer::PeerIdentity;
use nutmegcart_peer::message;
use nutmegcart_request::Answer;
use nutmegcart_request::Coordinator;
use nutmegcart_request::Intent;
use nutmegcart_request::IntentReply;
use nutmegcart_request::Ledger;
use nutmegcart_request::Member;
use nutmegcart_request::NextStep;
use nutmegcart_request::OperationAttempt;
use nutmegcart_request::OperationId;
use nutmegcart_request::OutcomeReport;
use nutmegcart_request::RequestedOperation;
use nutmegcart_request::Resolution;
use nutmegcart_request::TicketOperationId;
use nutmegcart_request::TicketedOperation;
use nutmegcart_request::ledger::LedgerLimits;
use nutmegcart_request::ledger::OperationOutcome;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::task::LocalSet;

use crate::comparison::Comparison;
use crate::cost::retained_heap_bytes;

/// Numbers of recorded operations at which memory and lookups are measured.
const OPERATION_COUNTS: [u64; 3] = [10_000, 100_000, 500_000];
/// Lookups for each number of operations.
const LOOKUPS: u64 = 1_000_000;
/// Sequential requests per service time for the cost of the witness; a tenth of it at 20 ms.
const REQUESTS_PER_ROUND: usize = 3_000;
/// Operations that callers ask about after their owner crashed.
const CRASH_OPERATIONS: u64 = 100_000;

/// Returns all comparisons of at-most-once execution.
pub fn comparisons(seed: u64) -> Vec<Comparison> {
    let mut comparisons = ledger_costs();
    comparisons.extend(witness_costs());
    comparisons.extend(owner_crash(seed));
    comparisons.extend(stored_answer_costs());
    comparisons
}

fn operation_id(number: u64) -> OperationId {
    OperationId::Ticket(TicketOperationId {
        owner: Incarnation(1),
        // Use a hundred operations per ticket.
        serial: number / 100,
        number: number % 100,
    })
}

fn record_finished(ledger: &mut Ledger, number: u64) {
    let id = operation_id(number);
    let now = Duration::from_micros(number);
    let attempt = ledger
        .open_attempt(&id, number, now)
        .expect("the ledger has room");
    ledger
        .mark_dispatched(&id, attempt, now)
        .expect("it was not started");
    ledger.finish(&id, attempt, OperationOutcome::Ran, now);
}

fn ledger_costs() -> Vec<Comparison> {
    let limits = LedgerLimits {
        memory_bytes: usize::MAX,
        ..LedgerLimits::default()
    };
    let mut comparisons = Vec::new();
    for size in OPERATION_COUNTS {
        let fill_cache = || {
            (0..size)
                .map(|number| (operation_id(number), number))
                .collect()
        };
        let fill_ledger = || {
            let mut ledger = Ledger::new(limits);
            (0..size).for_each(|number| record_finished(&mut ledger, number));
            ledger
        };
        let cache: HashMap<OperationId, u64> = fill_cache();
        let ledger = fill_ledger();
        let per_operation = |bytes: f64| bytes / size as f64;
        let (cache_bytes, ledger_bytes) = (
            per_operation(retained_heap_bytes::<HashMap<OperationId, u64>>(fill_cache)),
            per_operation(retained_heap_bytes(fill_ledger)),
        );
        let name = format!("memory of a record, {size} operations");
        comparisons.push(Comparison::new(name, "bytes", cache_bytes, ledger_bytes));
        let name = format!("accounted against allocated, {size} operations");
        let accounted = per_operation(ledger.memory() as f64);
        comparisons.push(Comparison::new(name, "bytes", ledger_bytes, accounted));
        let find = |lookup: &dyn Fn(u64) -> bool| {
            let start = Instant::now();
            let found = (0..LOOKUPS).filter(|number| lookup(number * 7_919 % size));
            black_box(found.count());
            start.elapsed().as_nanos() as f64 / LOOKUPS as f64
        };
        let baseline = find(&|number| cache.contains_key(&operation_id(number)));
        let current = find(&|number| {
            ledger
                .find(&operation_id(number), number, Duration::ZERO)
                .is_some()
        });
        let name = format!("lookup, {size} operations");
        comparisons.push(Comparison::new(name, "ns", baseline, current));
    }
    comparisons
}

fn member(incarnation: u64) -> Member {
    Member {
        centre: "suva".into(),
        instance: format!("entry-{incarnation}").into(),
        incarnation: Incarnation(incarnation),
        address: String::new(),
    }
}

fn sender() -> PeerIdentity {
    PeerIdentity {
        id: "entry-1".into(),
        incarnation: Incarnation(1),
        centre: "suva".into(),
        address: ([127, 0, 0, 1], 1).into(),
    }
}

fn ticketed_operations(owner: &mut Coordinator, count: u64) -> Vec<TicketedOperation> {
    let ticket = owner.issue_ticket(Some(Incarnation(2)));
    let numbers = 0..count;
    numbers
        .map(|number| TicketedOperation {
            ticket: ticket.clone(),
            number,
        })
        .collect()
}

fn submit(owner: &mut Coordinator, operation: &TicketedOperation) -> (Intent, OperationAttempt) {
    let operation = RequestedOperation::Ticketed(operation.clone());
    match owner.submit(&operation, 1, false, Duration::ZERO) {
        NextStep::AskWitness(intent, attempt) => (intent, attempt),
        step => panic!("a new operation asks its witness, not {step:?}"),
    }
}

/// Starts a server with the peer interface of a witness.
fn start_witness() -> SocketAddr {
    let witness = Mutex::new(Coordinator::new(member(2), LedgerLimits::default()));
    let dispatcher = MessageDispatcher::default()
        .on(|witness: &Mutex<Coordinator>, message: IntentMessage| {
            let mut witness = witness.lock().expect("no handler panicked");
            witness.on_intent(&message.intent, Duration::ZERO)
        })
        .on(|witness: &Mutex<Coordinator>, message: OutcomeMessage| {
            let mut witness = witness.lock().expect("no handler panicked");
            witness.on_report(message.report, Duration::ZERO);
        });
    let shared = Arc::new((witness, dispatcher));
    server::start(move |request| {
        let (witness, dispatcher) = &*shared;
        let path = request.uri().path().rsplit('/').next().unwrap_or("");
        match dispatcher.dispatch(witness, path, request.body()) {
            Ok(body) => server::response(200, body),
            Err(_) => server::response(400, ""),
        }
    })
}

fn median(mut times: Vec<f64>) -> f64 {
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

/// Measures a request to a runner without and with the records of its intent and outcome at the
/// witness.
fn witness_costs() -> Vec<Comparison> {
    let address = start_witness();
    let client = PeerClient::new(Duration::from_secs(5));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("the runtime starts");
    let tasks = LocalSet::new();
    let oracle = Oracle::default();
    let agent = ureq::Agent::new_with_defaults();
    let mut comparisons = Vec::new();
    for service_ms in [0, 2, 20] {
        let runner = FakeRunner::start("runner", &oracle, Duration::from_millis(service_ms));
        let url = format!("http://{}/v1/services/gates/", runner.address);
        let send_request = || {
            let mut answer = agent.post(&url).send("token").expect("the runner answers");
            answer.body_mut().read_to_vec().expect("the body is whole")
        };
        let count = if service_ms > 2 {
            REQUESTS_PER_ROUND / 10
        } else {
            REQUESTS_PER_ROUND
        };
        let mut owner = Coordinator::new(member(1), LedgerLimits::default());
        // Skip tickets, so that the rounds do not share operations in the ledger of the witness.
        (0..service_ms).for_each(|_| drop(owner.issue_ticket(Some(Incarnation(2)))));
        let operations = ticketed_operations(&mut owner, count as u64);
        let (mut unrecorded, mut recorded, mut intent_times) = (Vec::new(), Vec::new(), Vec::new());
        for operation in &operations {
            let start = Instant::now();
            black_box(send_request());
            unrecorded.push(start.elapsed().as_nanos() as f64);
            let start = Instant::now();
            let (intent, attempt) = submit(&mut owner, operation);
            let sender = sender();
            let message = IntentMessage { sender, intent };
            let reply = tasks.block_on(&runtime, client.call(address, &message));
            assert_eq!(reply, Ok(IntentReply::Recorded));
            intent_times.push(start.elapsed().as_nanos() as f64);
            owner
                .grant_dispatch(&attempt, Duration::ZERO)
                .expect("it may run");
            let answer = Answer {
                body: send_request().into(),
                ..Answer::default()
            };
            recorded.push(start.elapsed().as_nanos() as f64);
            let outcome = OperationOutcome::Answered(Arc::new(answer));
            let report = owner.finish(&attempt, outcome, Duration::ZERO);
            let sender = self::sender();
            let report = report.expect("the operation has a witness");
            let message = OutcomeMessage { sender, report };
            tasks
                .block_on(&runtime, client.call(address, &message))
                .expect("the witness answers");
        }
        let name = format!("request with the witness's record, service time {service_ms} ms");
        comparisons.push(Comparison::new(
            name,
            "ns",
            median(unrecorded.clone()),
            median(recorded),
        ));
        let name = format!("witness's record against a request, service time {service_ms} ms");
        comparisons.push(Comparison::new(
            name,
            "ns",
            median(unrecorded),
            median(intent_times),
        ));
    }
    comparisons
}

/// Outcomes that callers learn for operations of the last second before their owner crashed.
#[derive(Default)]
struct OutcomeCounts {
    unknown: u64,
    answered: u64,
    not_run: u64,
}

/// Crashes the owner at a random moment of each operation.
///
/// An operation arrives in the second before the crash, waits in a queue and runs; its outcome
/// reaches the witness a millisecond later. The baseline loses its cache with the owner. A retry is
/// then answered as unknown, or runs a second time if the receiving entry instance trusts its own
/// empty cache.
fn owner_crash(seed: u64) -> Vec<Comparison> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut owner = Coordinator::new(member(1), LedgerLimits::default());
    let mut witness = Coordinator::new(member(2), LedgerLimits::default());
    let mut other = Coordinator::new(member(3), LedgerLimits::default());
    let operations = ticketed_operations(&mut owner, CRASH_OPERATIONS);
    let mut counts = OutcomeCounts::default();
    let mut dispatched = 0;
    for operation in &operations {
        let until_crash_ms = random.random_range(0.0..1_000.0);
        let queue_ms = -random.random::<f64>().max(1e-9).ln() * 20.0;
        let service_ms = -random.random::<f64>().max(1e-9).ln() * 20.0;
        if until_crash_ms > queue_ms {
            let (intent, attempt) = submit(&mut owner, operation);
            witness.on_intent(&intent, Duration::ZERO);
            let sent = owner.grant_dispatch(&attempt, Duration::ZERO);
            dispatched += u64::from(sent.is_ok());
            let outcome = OperationOutcome::Answered(Arc::default());
            let report = owner.finish(&attempt, outcome, Duration::ZERO);
            if until_crash_ms > queue_ms + service_ms + 1.0 {
                let report = report.expect("the operation has a witness");
                witness.on_report(report, Duration::ZERO);
            }
        }
        let NextStep::Seal(to) = other.on_owner_unreachable(operation, 1, Duration::ZERO) else {
            panic!("an operation with a witness is sealed there");
        };
        let resolution = witness.on_seal(to, &operation.id(), 1, Duration::ZERO);
        match resolution.unwrap_or(Code::OwnerUnreachable.into()) {
            Resolution::Answer(_) => counts.answered += 1,
            Resolution::Code(code) if code.0.verdict() == Verdict::NotRun => counts.not_run += 1,
            Resolution::Code(_) => counts.unknown += 1,
        }
    }
    let share = |count: u64| 100.0 * count as f64 / CRASH_OPERATIONS as f64;
    let comparison =
        |name: &str, baseline, count| Comparison::new(name, "%", baseline, share(count));
    vec![
        comparison("unknown after the owner's death", 100.0, counts.unknown),
        comparison("answered after the owner's death", 0.0, counts.answered),
        comparison("not run after the owner's death", 0.0, counts.not_run),
        comparison(
            "second runs if a retry trusts an empty cache",
            share(dispatched),
            0,
        ),
    ]
}

/// Measures the costs of storing answers for retries: bytes sent to the witness, time to record,
/// and the number of answers that the ledger keeps.
fn stored_answer_costs() -> Vec<Comparison> {
    let mut comparisons = Vec::new();
    for size in [200_usize, 4 << 10, 64 << 10] {
        let answer = Arc::new(Answer {
            body: vec![7; size].into(),
            ..Answer::default()
        });
        let outcome = |stored: bool| {
            if stored {
                OperationOutcome::Answered(answer.clone())
            } else {
                OperationOutcome::Ran
            }
        };
        let bytes = |stored| {
            let report = OutcomeReport {
                id: operation_id(1),
                by: Incarnation(1),
                to: Incarnation(2),
                outcome: outcome(stored),
            };
            let sender = sender();
            message::encode(&OutcomeMessage { sender, report }).len() as f64
        };
        let name = format!("outcome message with the answer, {size} bytes");
        comparisons.push(Comparison::new(name, "bytes", bytes(false), bytes(true)));
        let time = |stored: bool| {
            let mut ledger = Ledger::default();
            let start = Instant::now();
            for number in 0..50_000 {
                let (id, now) = (operation_id(number), Duration::from_micros(number));
                let attempt = ledger
                    .open_attempt(&id, 1, now)
                    .expect("the ledger has room");
                ledger.finish(&id, attempt, outcome(stored), now);
            }
            (
                start.elapsed().as_nanos() as f64 / 50_000.0,
                ledger.stored_answers(),
            )
        };
        let ((without, _), (with, kept)) = (time(false), time(true));
        let name = format!("recording with the answer, {size} bytes");
        comparisons.push(Comparison::new(name, "ns", without, with));
        let name = format!("answers kept of 50000 in 64 MB, {size} bytes");
        comparisons.push(Comparison::new(name, "answers", 50_000.0, kept as f64));
    }
    comparisons
}
