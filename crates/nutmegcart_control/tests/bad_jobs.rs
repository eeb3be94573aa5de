//! Jobs with extreme and invalid values through the native interface: each is stored, or refused at
//! once with the reason.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use nutmegcart_control::Node;
use nutmegcart_control::job_api;
use nutmegcart_control::job_service::JobService;
use nutmegcart_control::metrics::Metrics;
use nutmegcart_control::port::CallerLimits;
use nutmegcart_control::port::CallerSettings;
use nutmegcart_control::port::PlatformConfig;
use nutmegcart_jobs::Queue;
use nutmegcart_jobs::QueueKey;
use nutmegcart_jobs::job::MAX_SPEC_BYTES;
use nutmegcart_jobs::job::MAX_STEPS;
use nutmegcart_jobs::job::MAX_TASKS;
use nutmegcart_jobs::layout::CellLayout;
use nutmegcart_platform::TxnReply;
use serde_json::Value;
use serde_json::json;
use tokio::task::LocalSet;

const HOST: &str = "counts.example";
const PREFIX: &str = "/gates/";

fn queue() -> Queue {
    Queue {
        key: QueueKey {
            host: HOST.into(),
            prefix: PREFIX.into(),
        },
        pool: "gates".into(),
        priority: 0,
        attempts: 2,
        stretch: 1.6,
        target_ms: 600,
        ticket_timing: None,
    }
}

/// Creates an instance whose store accepts every transaction, and the count of these.
fn node() -> (Rc<Node>, Rc<Cell<usize>>) {
    let stored = Rc::new(Cell::new(0));
    let count = stored.clone();
    let mut platform = support::silent_platform();
    platform.store.txn = Rc::new(move |_| {
        count.set(count.get() + 1);
        let reply = TxnReply {
            committed: true,
            revision: 2,
            found: Vec::new(),
        };
        Box::pin(async move { Ok(reply) })
    });
    let node = Node::new(support::settings(), platform, Metrics::default(), 7);
    node.set_layout(CellLayout::default());
    node.configure(PlatformConfig {
        version: 1,
        queues: vec![queue()],
        callers: vec![CallerSettings {
            timeout_ms: 3_000,
            public: false,
        }],
        organisations: None,
        pools: Vec::new(),
        limits: CallerLimits {
            head_bytes: 4_096,
            head_timeout: Duration::from_secs(3),
            body_bytes: 4_096,
            idle_timeout: Duration::from_secs(3),
        },
    });
    (node, stored)
}

/// Submits a job; returns the status, the message of an error, and whether the store was called.
fn submit(job: &Value) -> (u16, String, bool) {
    let mut submission = json!({"schema": 1, "queue": {"host": HOST, "prefix": PREFIX}});
    let fields = job.as_object().expect("an object");
    for (name, value) in fields {
        submission[name] = value.clone();
    }
    let request = Request::builder()
        .method("PUT")
        .uri("/v1/jobs/00000000000000b1")
        .body(Full::new(Bytes::from(submission.to_string())))
        .expect("a valid request");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let (node, stored) = node();
    let answer = LocalSet::new().block_on(&runtime.expect("runtime starts"), async {
        job_api::respond(&node, &JobService::default(), request).await
    });
    let status = answer.status().as_u16();
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    let body = runtime
        .expect("runtime starts")
        .block_on(answer.into_body().collect());
    let body: Value = serde_json::from_slice(&body.expect("a body").to_bytes()).expect("JSON");
    let message = body["message"].as_str().unwrap_or_default();
    (status, message.to_owned(), stored.get() > 0)
}

fn step() -> Value {
    json!({"tasks": 2, "cpu": 500, "memory": 256, "duration_ms": 80})
}

/// Returns a job of one step with some of its fields replaced.
fn with(fields: &Value) -> Value {
    let mut step = step();
    for (name, value) in fields.as_object().expect("an object") {
        step[name] = value.clone();
    }
    json!({"steps": [step]})
}

/// Returns a job of one step with a schedule.
fn repeated(first_ms: u64, period_ms: u64, count: u32) -> Value {
    let schedule = json!({"first_ms": first_ms, "period_ms": period_ms, "count": count});
    json!({"steps": [step()], "schedule": schedule})
}

fn described(bytes: usize) -> Value {
    json!({"spec": "x".repeat(bytes), "steps": [step()]})
}

/// Guards against refusing a job that can be served, whatever its size.
fn is_accepted(job: &Value) {
    assert_eq!(submit(job), (200, String::new(), true));
}

/// Guards against a job that is stored although it breaks a limit, and against a refusal without the
/// reason.
fn is_refused((job, status, reason): (Value, u16, &str)) {
    let (answered, message, stored) = submit(&job);
    assert_eq!((answered, stored), (status, false), "{message}");
    assert!(message.ends_with(reason), "{message}");
}

macro_rules! cases {
    ($test:ident: $($(#[$doc:meta])* $name:ident => $argument:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $test($argument); })*
    };
}

cases! { is_accepted:
    most_tasks => &with(&json!({"tasks": MAX_TASKS}));
    most_steps => &json!({"steps": vec![step(); MAX_STEPS]});
    longest_description => &described(MAX_SPEC_BYTES);
    gang_larger_than_any_fleet => &with(&json!({"tasks": MAX_TASKS, "gang": true, "spread": 1}));
    no_estimate => &with(&json!({"duration_ms": 0}));
    largest_estimate => &with(&json!({"duration_ms": u64::MAX}));
    no_needs => &with(&json!({"cpu": 0, "memory": 0}));
    largest_needs => &with(&json!({"cpu": u64::MAX, "memory": u64::MAX, "accelerators": u32::MAX}));
    most_repeats_at_once => &repeated(0, 0, u32::MAX);
    longest_period => &repeated(u64::MAX, u64::MAX, u32::MAX);
    long_names => &with(&json!({"label": "x".repeat(80_000), "image": "y".repeat(80_000), "rack": "z".repeat(80_000)}));
}

cases! { is_refused:
    no_steps => (json!({"steps": []}), 400, "the job has 0 steps; 1 to 64 are allowed");
    too_many_steps => (
        json!({"steps": vec![step(); MAX_STEPS + 1]}),
        400,
        "the job has 65 steps; 1 to 64 are allowed"
    );
    no_tasks => (with(&json!({"tasks": 0})), 400, "step 0 has 0 tasks; 1 to 10000 are allowed");
    too_many_tasks => (
        with(&json!({"tasks": MAX_TASKS + 1})),
        400,
        "step 0 has 10001 tasks; 1 to 10000 are allowed"
    );
    too_long_description => (
        described(MAX_SPEC_BYTES + 1),
        400,
        "the description has 4001 bytes, above 4000"
    );
    step_after_itself => (
        with(&json!({"after": [0]})),
        400,
        "step 0 depends on step 0, which is not an earlier one"
    );
    steps_in_a_cycle => (
        json!({"steps": [{"tasks": 1, "after": [1]}, {"tasks": 1, "after": [0]}]}),
        400,
        "step 0 depends on step 1, which is not an earlier one"
    );
    negative_number => (with(&json!({"tasks": -1})), 400, "the request is malformed");
    number_above_its_type => (
        with(&json!({"duration_ms": 1e30})),
        400,
        "the request is malformed"
    );
    schedule_without_runs => (repeated(0, 1, 0), 400, "the request is malformed");
    body_above_its_limit => (
        with(&json!({"label": "x".repeat(256 << 10)})),
        413,
        "the request body exceeds the size limit"
    );
}
