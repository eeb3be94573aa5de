//! Callers' requests on their way to runners.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use nutmegcart_model::CallerName;
use nutmegcart_model::Code;
use nutmegcart_model::ServiceName;
use nutmegcart_platform::http::is_not_sent;
use nutmegcart_request::admission::Class;
use nutmegcart_request::outcome::Outcome;
use nutmegcart_request::request_path;
use nutmegcart_request::request_path::Attempt;
use oxhttp::model::Body;
use oxhttp::model::Request;
use oxhttp::model::Response;
use uuid::Uuid;

use crate::buffer_quota::BufferReservation;
use crate::entry_instance::EntryInstance;
use crate::http;
use crate::operation;
use crate::request_dispatcher::Next;
use crate::runner_connections::Condition;
use crate::runner_connections::Lease;

/// Result of forwarding a request.
pub type Result<T> = std::result::Result<T, Code>;

/// Header with the request identifier that runners echo.
pub const REQUEST: &str = "nutmegcart-request";
/// Header of a runner's refusal before it started the request.
pub const REFUSED: &str = "nutmegcart-refused";
/// Header with the number of the attempt.
pub const ATTEMPT: &str = "nutmegcart-attempt";
/// Header with the remaining time in milliseconds.
pub const DEADLINE: &str = "nutmegcart-deadline-ms";
/// Caller of requests that name none; they share one part of the queue.
const ANONYMOUS: &str = "anonymous";
/// Bytes read at a time.
const CHUNK: usize = 16 << 10;

/// A caller's request, read completely.
pub struct Call {
    /// Identifier that runners echo.
    pub id: String,
    /// HTTP method.
    pub method: String,
    /// Path and query as received.
    pub path: String,
    /// Content type.
    pub kind: Option<String>,
    /// Body.
    pub body: Vec<u8>,
    /// What the request path needs to know.
    pub request: request_path::Request,
}

/// A runner's whole answer.
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub kind: String,
    /// Body.
    pub body: Vec<u8>,
}

/// A failed attempt: what it means for the path and for the caller.
struct Fault {
    outcome: Outcome,
    code: Code,
    answer: Option<Answer>,
}

impl From<Outcome> for Fault {
    fn from(outcome: Outcome) -> Self {
        Self {
            outcome,
            code: outcome.code(),
            answer: None,
        }
    }
}

/// Handles `/v1/services/<service>/<path>`.
pub fn handle(
    entry: &Arc<EntryInstance>,
    request: &mut Request<Body>,
    rest: &str,
) -> Response<Body> {
    let id = Uuid::new_v4().to_string();
    let mut reserved = entry.buffer_quota.reserve();
    let result = operation::identifier(request).and_then(|identifier| {
        let call = read(entry, request, rest, &id, &mut reserved);
        match identifier {
            Some(identifier) => {
                let call = call.map_err(operation::withheld)?;
                operation::run(entry, &identifier, &call, &mut reserved)
            }
            None => send(entry, &call?, &mut reserved, || Ok(())),
        }
    });
    let response = match result {
        Ok(answer) => {
            entry.metrics.count(Code::Ok);
            http::answer(answer.status, &answer.kind, answer.body)
        }
        Err(code) => {
            entry.metrics.count(code);
            http::error(code, &id, "")
        }
    };
    // A caller that reads slowly keeps its bytes counted until they are written.
    http::hold(response, reserved)
}

fn read(
    entry: &EntryInstance,
    request: &mut Request<Body>,
    rest: &str,
    id: &str,
    reserved: &mut BufferReservation,
) -> Result<Call> {
    check_headers(entry, request)?;
    let service = rest.split('/').next().unwrap_or("");
    let method = request.method().as_str().to_owned();
    let marked = http::header(request, "nutmegcart-idempotent") == Some("true");
    let deadline = http::header(request, DEADLINE)
        .map(|text| text.parse().map_err(|_| Code::BadRequest))
        .transpose()?
        .map_or(entry.settings.default_deadline, Duration::from_millis);
    let class = match http::header(request, "nutmegcart-class") {
        None | Some("urgent") => Class::Urgent,
        Some("deferrable") => Class::Deferrable,
        Some(_) => return Err(Code::BadRequest),
    };
    let attempt: u32 = http::header(request, ATTEMPT)
        .map(|text| text.parse().map_err(|_| Code::BadRequest))
        .transpose()?
        .unwrap_or(1);
    let caller = http::header(request, "nutmegcart-caller").unwrap_or(ANONYMOUS);
    let query = request.uri().query();
    let query = query.map_or(String::new(), |query| format!("?{query}"));
    Ok(Call {
        id: id.to_owned(),
        path: format!("/v1/services/{rest}{query}"),
        kind: http::header(request, "content-type").map(str::to_owned),
        request: request_path::Request {
            id: 0,
            service: ServiceName::from(service),
            caller: CallerName::from(caller),
            class,
            deadline: entry.dispatcher.now().saturating_add(deadline),
            idempotent: marked || method != "POST" && method != "PATCH",
            retried: attempt > 1,
            cost: 1,
        },
        method,
        body: read_body(entry, request, reserved)?,
    })
}

fn check_headers(entry: &EntryInstance, request: &Request<Body>) -> Result<()> {
    let headers = request.headers().iter();
    let bytes: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if bytes + request.uri().path().len() > entry.settings.header_limit {
        return Err(Code::HeaderTooLarge);
    }
    let length = http::header(request, "content-length").and_then(|text| text.parse().ok());
    if length.is_some_and(|length: usize| length > entry.settings.body_limit) {
        return Err(Code::BodyTooLarge);
    }
    Ok(())
}

/// Reads the body within the limits of size, time and buffered bytes.
fn read_body(
    entry: &EntryInstance,
    request: &mut Request<Body>,
    reserved: &mut BufferReservation,
) -> Result<Vec<u8>> {
    let end = Instant::now() + entry.settings.body_timeout;
    let mut body = Vec::new();
    let mut chunk = [0; CHUNK];
    loop {
        let count = request
            .body_mut()
            .read(&mut chunk)
            .map_err(|error| http::body_fault(&error))?;
        if count == 0 {
            return Ok(body);
        }
        if body.len() + count > entry.settings.body_limit {
            return Err(Code::BodyTooLarge);
        }
        if !reserved.grow(count) {
            return Err(Code::MemoryLimit);
        }
        // A caller that sends a byte now and then never meets the timeout of a single read.
        if Instant::now() > end {
            return Err(Code::BodyTooSlow);
        }
        body.extend_from_slice(&chunk[..count]);
    }
}

/// Sends a request to a runner and returns its answer.
///
/// The permit is asked for once, after admission and before the first byte.
///
/// # Errors
///
/// Only a code with the verdict unknown leaves open whether the request ran.
pub fn send(
    entry: &EntryInstance,
    call: &Call,
    reserved: &mut BufferReservation,
    permit: impl FnOnce() -> Result<()>,
) -> Result<Answer> {
    let loaded = entry.tables.in_force.get();
    if loaded
        .view
        .pool_for_service(&call.request.service)
        .is_none()
    {
        return Err(Code::UnknownService);
    }
    let metrics = &entry.metrics;
    let admitted = entry.dispatcher.admit(call.request.clone(), metrics);
    // The pool is known but its runners are not yet.
    let mut attempt = admitted.map_err(|code| match code {
        Code::UnknownService => Code::NoRunner,
        code => code,
    })?;
    if let Err(code) = permit() {
        entry
            .dispatcher
            .finish(*attempt, Outcome::Cancelled, metrics);
        return Err(code);
    }
    loop {
        metrics.attempts.inc();
        let (outcome, code, answer) = match try_once(entry, call, &attempt, reserved) {
            Ok(answer) => (Outcome::Success, Code::Ok, Some(answer)),
            Err(fault) => (fault.outcome, fault.code, fault.answer),
        };
        match entry.dispatcher.finish(*attempt, outcome, metrics) {
            Next::Answered => return answer.ok_or(code),
            Next::Again(next) => attempt = next,
            Next::Failed(_) if outcome == Outcome::TooLarge => return Err(code),
            Next::Failed(code) => return Err(code),
        }
    }
}

fn try_once(
    entry: &EntryInstance,
    call: &Call,
    attempt: &Attempt,
    reserved: &mut BufferReservation,
) -> std::result::Result<Answer, Fault> {
    let address = entry.dispatcher.address(&attempt.runner.id);
    let address = address.ok_or(Outcome::NotSent)?;
    let now = entry.dispatcher.now();
    let share = attempt.runner.connections;
    let lease = entry.runner_connections.acquire(address, share, now);
    let lease = lease.ok_or(Outcome::NotSent)?;
    let result = exchange(entry, call, attempt, &lease, address, reserved);
    let condition = match &result {
        Ok(_) => Condition::Whole,
        Err(fault) => match fault.outcome {
            Outcome::ServerError | Outcome::RefusedBeforeStart => Condition::Whole,
            Outcome::SilentNew | Outcome::SilentReused => Condition::Silent,
            _ => Condition::Broken,
        },
    };
    entry
        .runner_connections
        .release(lease, condition, entry.dispatcher.now());
    result
}

fn exchange(
    entry: &EntryInstance,
    call: &Call,
    attempt: &Attempt,
    lease: &Lease,
    address: SocketAddr,
    reserved: &mut BufferReservation,
) -> std::result::Result<Answer, Fault> {
    let left = attempt.remaining(entry.dispatcher.now());
    let mut request = Request::builder()
        .method(call.method.as_str())
        .uri(format!("http://{address}{}", call.path))
        .header(REQUEST, &call.id)
        .header(ATTEMPT, attempt.number())
        .header(DEADLINE, left.as_millis().to_string());
    if let Some(kind) = &call.kind {
        request = request.header("content-type", kind);
    }
    let request = request.body(&call.body[..]).map_err(|_| Outcome::NotSent)?;
    let request = lease
        .agent
        .configure_request(request)
        .timeout_global(Some(left))
        .timeout_connect(Some(attempt.timeout))
        .timeout_recv_response(Some(attempt.timeout))
        .build();
    let mut answer = lease.agent.run(request).map_err(|error| match error {
        error if is_not_sent(&error) => Outcome::ConnectFailed,
        ureq::Error::Timeout(_) if lease.reused => Outcome::SilentReused,
        ureq::Error::Timeout(_) => Outcome::SilentNew,
        _ => Outcome::ConnectionLost,
    })?;
    let text = |name: &str| {
        let value = answer
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or("").to_owned()
    };
    let (echo, refused, kind) = (text(REQUEST), text(REFUSED), text("content-type"));
    let status = answer.status().as_u16();
    let body = read_answer(entry, &mut answer, reserved)?;
    if echo != call.id {
        return Err(Outcome::Mismatched.into());
    }
    if status == 503 && refused == "before-start" {
        return Err(Outcome::RefusedBeforeStart.into());
    }
    let answer = Answer { status, kind, body };
    if status >= 500 {
        return Err(Fault {
            answer: Some(answer),
            ..Outcome::ServerError.into()
        });
    }
    Ok(answer)
}

fn read_answer(
    entry: &EntryInstance,
    answer: &mut Response<ureq::Body>,
    reserved: &mut BufferReservation,
) -> std::result::Result<Vec<u8>, Fault> {
    let limit = entry.settings.body_limit;
    // One byte more than the limit, so that a body of exactly the limit is seen to end.
    let config = answer.body_mut().with_config().limit(limit as u64 + 1);
    let mut reader = config.reader();
    let mut body = Vec::new();
    let mut chunk = [0; CHUNK];
    loop {
        let count = reader.read(&mut chunk).map_err(|error| {
            let late = error.kind() == std::io::ErrorKind::TimedOut;
            // The answer began, so the connection works; the runner was too slow.
            let code = if late {
                Code::AnswerTimeout
            } else {
                Code::AnswerTruncated
            };
            Fault {
                code,
                ..Outcome::Truncated.into()
            }
        })?;
        if count == 0 {
            return Ok(body);
        }
        if body.len() + count > limit {
            return Err(Outcome::TooLarge.into());
        }
        if !reserved.grow(count) {
            return Err(Fault {
                code: Code::AnswerDiscarded,
                ..Outcome::TooLarge.into()
            });
        }
        body.extend_from_slice(&chunk[..count]);
    }
}
