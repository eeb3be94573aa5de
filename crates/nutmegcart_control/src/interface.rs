//! nutmegcart's own interface for jobs: JSON or MessagePack over HTTP, on the address for peers.
//!
//! `docs/interfaces.md` describes it. An identifier is chosen by the caller, so every call may be
//! repeated.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request as HttpRequest;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;
use hyper::http::HeaderMap;
use hyper::http::HeaderValue;
use hyper::http::request::Parts;
use nutmegcart_fleet::Resources;
use nutmegcart_jobs::FinalState;
use nutmegcart_jobs::Job;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::JobState;
use nutmegcart_jobs::QueueKey;
use nutmegcart_jobs::Schedule;
use nutmegcart_jobs::Step;
use nutmegcart_model::Code;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::caller::Answer;
use crate::caller::Desk;
use crate::caller::Request;
use crate::generated::submission_v1::StepRequest;
use crate::generated::submission_v1::Submission;
use crate::node::Node;

/// Result of the functions of this module.
pub type Result<T> = std::result::Result<T, Code>;

/// Path of jobs; the identifier follows.
pub const JOBS: &str = "/v1/jobs/";
/// Path of the number of waiting jobs.
pub const WAITING: &str = "/v1/waiting";
/// Header that says how long a caller waits, in milliseconds.
pub const DEADLINE: &str = "nutmegcart-deadline-ms";
/// Media type of MessagePack.
pub const MESSAGE_PACK: &str = "application/msgpack";
/// Version of the format of submissions.
pub const SCHEMA: u32 = 1;
/// Time that a caller waits who does not say so.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
/// Longest wait for a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes of a request's body; the longest description with the most steps stays far below.
const BODY_LIMIT: usize = 256 << 10;

/// What a caller is told on success.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Told {
    /// State of a job.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub state: Option<&'static str>,
    /// Number of jobs that have started no task.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub waiting: Option<u64>,
}

/// What a caller is told when a request is refused or its outcome is unknown.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct Refusal {
    code: String,
    verdict: nutmegcart_model::Verdict,
    message: &'static str,
}

/// Returns whether a path belongs to this interface.
///
/// ```
/// # use nutmegcart_control::interface::serves;
/// assert!(serves("/v1/jobs/5c0e7a21d94b36f8"));
/// assert!(!serves("/v1/cell/ask"));
/// ```
#[must_use]
pub fn serves(path: &str) -> bool {
    path.starts_with(JOBS) || path == WAITING
}

/// Answers a request.
pub async fn respond<B>(
    node: &Rc<Node>,
    desk: &Desk,
    request: HttpRequest<B>,
) -> Response<Full<Bytes>>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let (head, body) = request.into_parts();
    let limit = deadline(&head.headers);
    let answer = match read(node, &head, body).await {
        Ok(request) => desk.handle(node, request, limit).await,
        Err(code) => Answer::refused(code),
    };
    write(&head.headers, &answer)
}

fn deadline(headers: &HeaderMap) -> Duration {
    let given = headers.get(DEADLINE).and_then(|value| value.to_str().ok());
    let given = given.and_then(|text| text.parse().ok());
    given.map_or(DEFAULT_DEADLINE, Duration::from_millis)
}

async fn read<B>(node: &Rc<Node>, head: &Parts, body: B) -> Result<Request>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if head.uri.path() == WAITING {
        if head.method != Method::GET {
            return Err(Code::NotFound);
        }
        let key = queue_key(head.uri.query().unwrap_or_default())?;
        let queue = node.routing.borrow().queue(&key);
        return queue.map(Request::Count).ok_or(Code::UnknownQueue);
    }
    let id = head.uri.path().strip_prefix(JOBS).unwrap_or_default();
    let id = JobId::parse(id).map_err(|_| Code::BadRequest)?;
    match head.method {
        Method::GET => Ok(Request::Show(id)),
        Method::DELETE => Ok(Request::Cancel(id)),
        Method::PUT => {
            let body = Limited::new(body, BODY_LIMIT).collect();
            let body = tokio::time::timeout(BODY_TIMEOUT, body).await;
            let body = body.map_err(|_| Code::BodyTooSlow)?;
            let body = body.map_err(|_| Code::BodyTooLarge)?.to_bytes();
            let submission: Submission = decode(&head.headers, &body)?;
            if submission.schema.get() != SCHEMA {
                return Err(Code::BadRequest);
            }
            let key = QueueKey {
                host: submission.queue.host.as_str().into(),
                prefix: submission.queue.prefix.as_str().into(),
            };
            let queue = node.routing.borrow().queue(&key);
            let queue = queue.ok_or(Code::UnknownQueue)?;
            Ok(Request::Submit(queue, id, Box::new(job(&submission))))
        }
        _ => Err(Code::NotFound),
    }
}

/// Reads the queue from a query with `host` and `prefix`.
fn queue_key(query: &str) -> Result<QueueKey> {
    let mut key = QueueKey::default();
    for (name, value) in form_urlencoded::parse(query.as_bytes()) {
        match &*name {
            "host" => key.host = Arc::from(&*value),
            "prefix" => key.prefix = Arc::from(&*value),
            _ => return Err(Code::BadRequest),
        }
    }
    Ok(key)
}

fn is_message_pack(headers: &HeaderMap, name: header::HeaderName) -> bool {
    headers.get(name).is_some_and(|value| value == MESSAGE_PACK)
}

fn decode<T: DeserializeOwned>(headers: &HeaderMap, body: &[u8]) -> Result<T> {
    if is_message_pack(headers, header::CONTENT_TYPE) {
        rmp_serde::from_slice(body).map_err(|_| Code::BadRequest)
    } else {
        serde_json::from_slice(body).map_err(|_| Code::BadRequest)
    }
}

fn job(submission: &Submission) -> Job {
    let schedule = submission.schedule.as_ref().map(|schedule| Schedule {
        first: schedule.first_ms,
        period: schedule.period_ms,
        count: schedule.count.get(),
    });
    Job {
        spec: submission.spec.as_str().into(),
        steps: submission.steps.iter().map(step).collect(),
        schedule,
    }
}

fn step(request: &StepRequest) -> Step {
    Step {
        count: request.tasks,
        need: Resources::new(request.cpu, request.memory, request.accelerators),
        estimate_ms: request.duration_ms,
        after: request.after.clone(),
        gang: request.gang,
        same_rack: request.together,
        label: request.label.as_deref().map(Arc::from),
        rack: request.rack.as_deref().map(Into::into),
        per_worker: request.spread,
        speculative: request.speculative,
        long_running: request.lasting,
        checkpoints: request.checkpoints,
        image: request.image.as_deref().map(Arc::from),
        target_ms: request.target_ms,
        best_effort: request.filler,
        max_unavailable: request.away,
    }
}

const fn word(state: JobState) -> &'static str {
    match state {
        JobState::Pending => "pending",
        JobState::Running => "running",
        JobState::Ended(FinalState::Completed) => "completed",
        JobState::Ended(FinalState::Failed) => "failed",
        JobState::Ended(FinalState::Cancelled) => "cancelled",
    }
}

fn write(headers: &HeaderMap, answer: &Answer) -> Response<Full<Bytes>> {
    let state = |state| Told {
        state: Some(word(state)),
        ..Told::default()
    };
    match answer {
        Answer::Accepted => reply(headers, 200, &state(JobState::Pending), None),
        Answer::State(shown) => reply(headers, 200, &state(*shown), None),
        Answer::Cancelled => reply(
            headers,
            200,
            &state(JobState::Ended(FinalState::Cancelled)),
            None,
        ),
        Answer::Waiting(count) => {
            let told = Told {
                waiting: Some(*count),
                ..Told::default()
            };
            reply(headers, 200, &told, None)
        }
        Answer::Gone => refuse(headers, Code::UnknownJob, None),
        Answer::Refused { code, retry } => refuse(headers, *code, *retry),
    }
}

fn refuse(headers: &HeaderMap, code: Code, retry: Option<Duration>) -> Response<Full<Bytes>> {
    let refusal = Refusal {
        code: format!("NC{}", code.number()),
        verdict: code.verdict(),
        message: code.text(),
    };
    reply(headers, code.status(), &refusal, retry)
}

fn reply<T: Serialize>(
    headers: &HeaderMap,
    status: u16,
    body: &T,
    retry: Option<Duration>,
) -> Response<Full<Bytes>> {
    let (encoded, kind) = if is_message_pack(headers, header::ACCEPT) {
        let bytes = rmp_serde::to_vec_named(body).map_err(|error| error.to_string());
        (bytes, MESSAGE_PACK)
    } else {
        let bytes = serde_json::to_vec(body).map_err(|error| error.to_string());
        (bytes, "application/json")
    };
    let (status, bytes) = match encoded {
        Ok(bytes) => (status, bytes),
        Err(error) => {
            log::error!("answer cannot be encoded: {error}");
            (500, Vec::new())
        }
    };
    let mut response = Response::new(Full::new(Bytes::from(bytes)));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    if let Some(retry) = retry {
        headers.insert(header::RETRY_AFTER, retry.as_secs().max(1).into());
    }
    response
}
