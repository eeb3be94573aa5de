//! nutmegcart's own HTTP interface for jobs, in JSON or MessagePack, on the address for peers.
//!
//! `docs/interfaces.md` describes it. The caller chooses the identifier of a job, so every request
//! is idempotent.

use std::borrow::Cow;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Request as HttpRequest;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;
use hyper::http::HeaderMap;
use hyper::http::HeaderValue;
use hyper::http::request::Parts;
use nutmegcart_fleet::Resources;
use nutmegcart_http::ClientBody;
use nutmegcart_jobs::FinalState;
use nutmegcart_jobs::Job;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::JobState;
use nutmegcart_jobs::Queue;
use nutmegcart_jobs::QueueKey;
use nutmegcart_jobs::Schedule;
use nutmegcart_jobs::Step;
use nutmegcart_model::Code;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::access::Caller;
use crate::caller_request::CallerRequest;
use crate::caller_request::CallerResponse;
use crate::cell_status;
use crate::clients;
use crate::clock::now;
use crate::generated::submission_v1::StepRequest;
use crate::generated::submission_v1::Submission;
use crate::job_service::JobService;
use crate::node::Node;

/// Result of parsing a request; the error is the code of the refusal.
pub type Result<T> = std::result::Result<T, Code>;

/// Path prefix of jobs; the identifier follows.
pub const JOBS_PATH: &str = "/v1/jobs/";
/// Path for the number of waiting jobs.
pub const WAITING_PATH: &str = "/v1/waiting";
/// Path for the status of all cells.
pub const STATUS_PATH: &str = "/v1/status";
/// Header with the time in milliseconds for which the caller waits.
pub const DEADLINE_HEADER: &str = "nutmegcart-deadline-ms";
/// Media type of MessagePack.
pub const MESSAGE_PACK: &str = "application/msgpack";
/// Start of the header with the key of the caller's organisation.
const KEY_SCHEME: &str = "Bearer ";
/// Supported schema version of submissions.
pub const SCHEMA_VERSION: u32 = 1;
/// Deadline of requests without the header.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
/// Delay after which an operator should ask again while the cells are not known yet.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum size of a request's body; a job with the longest description and the most steps is far
/// smaller.
const MAX_BODY_BYTES: usize = 256 << 10;

/// Body of a successful response.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SuccessBody {
    /// State of the job.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub state: Option<&'static str>,
    /// Number of jobs that have started no task.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub waiting: Option<u64>,
}

/// Body of a response to a request that was refused or whose outcome is unknown.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct ErrorBody {
    code: String,
    verdict: nutmegcart_model::Verdict,
    message: Cow<'static, str>,
}

/// Returns whether a path belongs to this interface.
///
/// ```
/// # use nutmegcart_control::job_api::is_job_path;
/// assert!(is_job_path("/v1/jobs/5c0e7a21d94b36f8"));
/// assert!(!is_job_path("/v1/cell/ask"));
/// ```
#[must_use]
pub fn is_job_path(path: &str) -> bool {
    path.starts_with(JOBS_PATH) || path == WAITING_PATH || path == STATUS_PATH
}

/// Handles an HTTP request for a path for which [`is_job_path`] holds.
pub async fn respond<B>(
    node: &Rc<Node>,
    service: &JobService,
    request: HttpRequest<B>,
) -> Response<Full<Bytes>>
where
    B: Into<ClientBody>,
{
    let (head, body) = request.into_parts();
    if head.uri.path() == STATUS_PATH {
        return respond_status(node, &head).await;
    }
    let limit = deadline(&head.headers);
    let answer = match parse_request(node, &head, body).await {
        Ok((caller, request)) => service.handle_for(node, &caller, request, limit).await,
        Err(code @ (Code::NoConfiguration | Code::ConfigurationLate)) => {
            CallerResponse::unavailable(code)
        }
        Err(code) => {
            let refusals = &node.metrics.refusals;
            refusals.with_label_values(&[code.label()]).inc();
            CallerResponse::refused(code)
        }
    };
    encode_response(&head.headers, &answer)
}

/// Answers a request for the status of all cells.
async fn respond_status(node: &Rc<Node>, head: &Parts) -> Response<Full<Bytes>> {
    if head.method != Method::GET {
        return error_response(&head.headers, Code::NotFound, None);
    }
    match node.cells() {
        Some(cells) => {
            let status = cell_status::of_fleet(node, &cells).await;
            response(&head.headers, 200, &status, None)
        }
        None => error_response(&head.headers, Code::NoConfiguration, Some(RETRY_AFTER)),
    }
}

fn deadline(headers: &HeaderMap) -> Duration {
    let given = headers
        .get(DEADLINE_HEADER)
        .and_then(|value| value.to_str().ok());
    let given = given.and_then(|text| text.parse().ok());
    given.map_or(DEFAULT_DEADLINE, Duration::from_millis)
}

async fn parse_request<B>(node: &Rc<Node>, head: &Parts, body: B) -> Result<(Caller, CallerRequest)>
where
    B: Into<ClientBody>,
{
    if head.uri.path() == WAITING_PATH {
        if head.method != Method::GET {
            return Err(Code::NotFound);
        }
        let key = queue_key(head.uri.query().unwrap_or_default())?;
        let (caller, queue) = find_queue(node, &head.headers, &key)?;
        return Ok((caller, CallerRequest::Count(queue)));
    }
    let id = head.uri.path().strip_prefix(JOBS_PATH).unwrap_or_default();
    let id = JobId::parse(id).map_err(|_| Code::BadRequest)?;
    // A submission names its queue in the body, which is read for callers with a key only.
    node.current_configuration(now())?;
    let routing = node.routing.borrow().clone();
    let caller = routing.caller_without_route(api_key(&head.headers))?;
    match head.method {
        Method::GET => Ok((caller, CallerRequest::Show(id))),
        Method::DELETE => Ok((caller, CallerRequest::Cancel(id))),
        Method::PUT => {
            let body = body.into().read(MAX_BODY_BYTES).await;
            let body = body.map_err(clients::body_code)?;
            let submission: Submission = decode(&head.headers, &body)?;
            if submission.schema.get() != SCHEMA_VERSION {
                return Err(Code::BadRequest);
            }
            let key = QueueKey {
                host: submission.queue.host.as_str().into(),
                prefix: submission.queue.prefix.as_str().into(),
            };
            let (caller, queue) = find_queue(node, &head.headers, &key)?;
            let job = Box::new(job_from(&submission));
            Ok((caller, CallerRequest::Submit(queue, id, job)))
        }
        _ => Err(Code::NotFound),
    }
}

/// Returns the key of the caller's organisation, if the request has one.
fn api_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix(KEY_SCHEME)
}

/// Returns a queue and the caller of a request about it.
fn find_queue(node: &Node, headers: &HeaderMap, key: &QueueKey) -> Result<(Caller, Arc<Queue>)> {
    node.current_configuration(now())?;
    let routing = node.routing.borrow().clone();
    let route = routing.route(key).ok_or(Code::UnknownQueue)?;
    let caller = routing.caller(route, api_key(headers))?;
    Ok((caller, route.queue.clone()))
}

/// Parses the queue from a query string with `host` and `prefix`.
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

fn job_from(submission: &Submission) -> Job {
    let schedule = submission.schedule.as_ref().map(|schedule| Schedule {
        first_ms: schedule.first_ms,
        period_ms: schedule.period_ms,
        count: schedule.count.get(),
    });
    Job {
        spec: submission.spec.as_str().into(),
        steps: submission.steps.iter().map(step_from).collect(),
        schedule,
    }
}

fn step_from(request: &StepRequest) -> Step {
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

const fn state_name(state: JobState) -> &'static str {
    match state {
        JobState::Pending => "pending",
        JobState::Running => "running",
        JobState::Ended(FinalState::Completed) => "completed",
        JobState::Ended(FinalState::Failed) => "failed",
        JobState::Ended(FinalState::Cancelled) => "cancelled",
    }
}

fn encode_response(headers: &HeaderMap, answer: &CallerResponse) -> Response<Full<Bytes>> {
    let state = |state| SuccessBody {
        state: Some(state_name(state)),
        ..SuccessBody::default()
    };
    match answer {
        CallerResponse::Accepted => response(headers, 200, &state(JobState::Pending), None),
        CallerResponse::State(shown) => response(headers, 200, &state(*shown), None),
        CallerResponse::Cancelled => response(
            headers,
            200,
            &state(JobState::Ended(FinalState::Cancelled)),
            None,
        ),
        CallerResponse::Waiting(count) => {
            let body = SuccessBody {
                waiting: Some(*count),
                ..SuccessBody::default()
            };
            response(headers, 200, &body, None)
        }
        CallerResponse::NotFound => error_response(headers, Code::UnknownJob, None),
        CallerResponse::Invalid(error) => {
            let code = Code::BadRequest;
            let body = ErrorBody {
                message: format!("{}: {error}", code.text()).into(),
                ..error_body(code)
            };
            response(headers, code.status(), &body, None)
        }
        CallerResponse::Refused { code, retry_after } => {
            error_response(headers, *code, *retry_after)
        }
    }
}

fn error_response(
    headers: &HeaderMap,
    code: Code,
    retry_after: Option<Duration>,
) -> Response<Full<Bytes>> {
    response(headers, code.status(), &error_body(code), retry_after)
}

fn error_body(code: Code) -> ErrorBody {
    ErrorBody {
        code: format!("NC{}", code.number()),
        verdict: code.verdict(),
        message: code.text().into(),
    }
}

fn response<T: Serialize>(
    headers: &HeaderMap,
    status: u16,
    body: &T,
    retry_after: Option<Duration>,
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
            log::error!("cannot encode the response: {error}");
            (500, Vec::new())
        }
    };
    let mut response = Response::new(Full::new(Bytes::from(bytes)));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    if let Some(retry_after) = retry_after {
        headers.insert(header::RETRY_AFTER, retry_after.as_secs().max(1).into());
    }
    response
}
