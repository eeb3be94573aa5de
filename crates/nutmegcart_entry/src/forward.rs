//! Forwards callers' requests to runners.

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
use crate::request_dispatcher::RetryDecision;
use crate::runner_connections::ConnectionOutcome;
use crate::runner_connections::PooledConnection;

/// Result of forwarding a request; the error is the code for the caller.
pub type Result<T> = std::result::Result<T, Code>;

/// Header with the request identifier; a runner returns it in its answer.
pub const REQUEST_HEADER: &str = "nutmegcart-request";
/// Header with which a runner states that it refused a request before starting it.
pub const REFUSED_HEADER: &str = "nutmegcart-refused";
/// Header with the attempt number, from 1.
pub const ATTEMPT_HEADER: &str = "nutmegcart-attempt";
/// Header with the time until the deadline in milliseconds.
pub const DEADLINE_HEADER: &str = "nutmegcart-deadline-ms";
/// Caller name of requests without one; together they get one caller's share of the queue.
const ANONYMOUS_CALLER: &str = "anonymous";
/// Size of the buffer for reading bodies.
const CHUNK_BYTES: usize = 16 << 10;

/// A caller's request with its whole body.
pub struct BufferedRequest {
    /// Identifier, which a runner returns in its answer.
    pub id: String,
    /// HTTP method as received.
    pub method: String,
    /// Path and query as received.
    pub path: String,
    /// Value of the header `Content-Type`.
    pub content_type: Option<String>,
    /// Body, at most as long as the body limit.
    pub body: Vec<u8>,
    /// Input of the admission, routing and retry decisions.
    pub request: request_path::Request,
}

/// A runner's complete answer.
pub struct RunnerAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of the header `Content-Type`, empty if it was absent.
    pub content_type: String,
    /// Body, at most as long as the body limit.
    pub body: Vec<u8>,
}

/// A failed attempt: its outcome for routing and retries, and its code for the caller.
struct AttemptFailure {
    outcome: Outcome,
    code: Code,
    answer: Option<RunnerAnswer>,
}

impl From<Outcome> for AttemptFailure {
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
    let mut reservation = entry.buffer_quota.empty_reservation();
    let result = operation::identifier(request).and_then(|identifier| {
        let call = read_request(entry, request, rest, &id, &mut reservation);
        match identifier {
            Some(identifier) => {
                let call = call.map_err(operation::refusal_with_identifier)?;
                operation::run(entry, &identifier, &call, &mut reservation)
            }
            None => send_to_runner(entry, &call?, &mut reservation, || Ok(())),
        }
    });
    let response = match result {
        Ok(answer) => {
            entry.metrics.count(Code::Ok);
            http::response(answer.status, &answer.content_type, answer.body)
        }
        Err(code) => {
            entry.metrics.count(code);
            http::error_response(code, &id, "")
        }
    };
    // The buffered bytes stay reserved until they are written, also to a caller that reads slowly.
    http::keep_until_written(response, reservation)
}

fn read_request(
    entry: &EntryInstance,
    request: &mut Request<Body>,
    rest: &str,
    id: &str,
    reservation: &mut BufferReservation,
) -> Result<BufferedRequest> {
    check_headers(entry, request)?;
    let service = rest.split('/').next().unwrap_or("");
    let method = request.method().as_str().to_owned();
    let marked_idempotent = http::header(request, "nutmegcart-idempotent") == Some("true");
    let deadline = http::header(request, DEADLINE_HEADER)
        .map(|text| text.parse().map_err(|_| Code::BadRequest))
        .transpose()?
        .map_or(entry.settings.default_deadline, Duration::from_millis);
    let class = match http::header(request, "nutmegcart-class") {
        None | Some("urgent") => Class::Urgent,
        Some("deferrable") => Class::Deferrable,
        Some(_) => return Err(Code::BadRequest),
    };
    let attempt: u32 = http::header(request, ATTEMPT_HEADER)
        .map(|text| text.parse().map_err(|_| Code::BadRequest))
        .transpose()?
        .unwrap_or(1);
    let caller = http::header(request, "nutmegcart-caller").unwrap_or(ANONYMOUS_CALLER);
    let query = request.uri().query();
    let query = query.map_or(String::new(), |query| format!("?{query}"));
    Ok(BufferedRequest {
        id: id.to_owned(),
        path: format!("/v1/services/{rest}{query}"),
        content_type: http::header(request, "content-type").map(str::to_owned),
        request: request_path::Request {
            id: 0,
            service: ServiceName::from(service),
            caller: CallerName::from(caller),
            class,
            deadline: entry.dispatcher.now().saturating_add(deadline),
            idempotent: marked_idempotent || method != "POST" && method != "PATCH",
            retried: attempt > 1,
            cost: 1,
        },
        method,
        body: read_body(entry, request, reservation)?,
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

/// Reads the body within the limits on size, time and buffered bytes.
fn read_body(
    entry: &EntryInstance,
    request: &mut Request<Body>,
    reservation: &mut BufferReservation,
) -> Result<Vec<u8>> {
    let end = Instant::now() + entry.settings.body_timeout;
    let mut body = Vec::new();
    let mut chunk = [0; CHUNK_BYTES];
    loop {
        let count = request
            .body_mut()
            .read(&mut chunk)
            .map_err(|error| http::body_error_code(&error))?;
        if count == 0 {
            return Ok(body);
        }
        if body.len() + count > entry.settings.body_limit {
            return Err(Code::BodyTooLarge);
        }
        if !reservation.try_grow(count) {
            return Err(Code::MemoryLimit);
        }
        // The timeout of a single read does not stop a caller that sends a byte now and then.
        if Instant::now() > end {
            return Err(Code::BodyTooSlow);
        }
        body.extend_from_slice(&chunk[..count]);
    }
}

/// Sends a request to a runner and returns its answer.
///
/// Calls `permit` once, after admission and before the first byte is sent; its error ends the
/// request.
///
/// # Errors
///
/// Unless the verdict of the code is "unknown", it is certain whether the request ran.
pub fn send_to_runner(
    entry: &EntryInstance,
    call: &BufferedRequest,
    reservation: &mut BufferReservation,
    permit: impl FnOnce() -> Result<()>,
) -> Result<RunnerAnswer> {
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
    // The configuration has the pool, but its runners are not known yet.
    let mut attempt = admitted.map_err(|code| match code {
        Code::UnknownService => Code::NoRunner,
        code => code,
    })?;
    if let Err(code) = permit() {
        entry
            .dispatcher
            .finish_attempt(*attempt, Outcome::Cancelled, metrics);
        return Err(code);
    }
    loop {
        metrics.attempts.inc();
        let (outcome, code, answer) = match send_attempt(entry, call, &attempt, reservation) {
            Ok(answer) => (Outcome::Success, Code::Ok, Some(answer)),
            Err(failure) => (failure.outcome, failure.code, failure.answer),
        };
        match entry.dispatcher.finish_attempt(*attempt, outcome, metrics) {
            RetryDecision::Answered => return answer.ok_or(code),
            RetryDecision::Retry(next) => attempt = next,
            // The code tells which limit the answer exceeded: body size or buffered bytes.
            RetryDecision::Failed(_) if outcome == Outcome::TooLarge => return Err(code),
            RetryDecision::Failed(code) => return Err(code),
        }
    }
}

fn send_attempt(
    entry: &EntryInstance,
    call: &BufferedRequest,
    attempt: &Attempt,
    reservation: &mut BufferReservation,
) -> std::result::Result<RunnerAnswer, AttemptFailure> {
    let address = entry.dispatcher.address(&attempt.runner.id);
    let address = address.ok_or(Outcome::NotSent)?;
    let now = entry.dispatcher.now();
    let share = attempt.runner.connections;
    let connection = entry.runner_connections.acquire(address, share, now);
    let connection = connection.ok_or(Outcome::NotSent)?;
    let result = exchange_with_runner(entry, call, attempt, &connection, address, reservation);
    let connection_outcome = match &result {
        Ok(_) => ConnectionOutcome::Complete,
        Err(failure) => match failure.outcome {
            Outcome::ServerError | Outcome::RefusedBeforeStart => ConnectionOutcome::Complete,
            Outcome::SilentNew | Outcome::SilentReused => ConnectionOutcome::Silent,
            _ => ConnectionOutcome::Broken,
        },
    };
    entry
        .runner_connections
        .release(connection, connection_outcome, entry.dispatcher.now());
    result
}

fn exchange_with_runner(
    entry: &EntryInstance,
    call: &BufferedRequest,
    attempt: &Attempt,
    connection: &PooledConnection,
    address: SocketAddr,
    reservation: &mut BufferReservation,
) -> std::result::Result<RunnerAnswer, AttemptFailure> {
    let left = attempt.remaining(entry.dispatcher.now());
    let mut request = Request::builder()
        .method(call.method.as_str())
        .uri(format!("http://{address}{}", call.path))
        .header(REQUEST_HEADER, &call.id)
        .header(ATTEMPT_HEADER, attempt.number())
        .header(DEADLINE_HEADER, left.as_millis().to_string());
    if let Some(content_type) = &call.content_type {
        request = request.header("content-type", content_type);
    }
    let request = request.body(&call.body[..]).map_err(|_| Outcome::NotSent)?;
    let request = connection
        .agent
        .configure_request(request)
        .timeout_global(Some(left))
        .timeout_connect(Some(attempt.timeout))
        .timeout_recv_response(Some(attempt.timeout))
        .build();
    let mut answer = connection.agent.run(request).map_err(|error| match error {
        error if is_not_sent(&error) => Outcome::ConnectFailed,
        ureq::Error::Timeout(_) if connection.reused => Outcome::SilentReused,
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
    let (echo, refused, content_type) = (
        text(REQUEST_HEADER),
        text(REFUSED_HEADER),
        text("content-type"),
    );
    let status = answer.status().as_u16();
    let body = read_answer(entry, &mut answer, reservation)?;
    if echo != call.id {
        return Err(Outcome::Mismatched.into());
    }
    if status == 503 && refused == "before-start" {
        return Err(Outcome::RefusedBeforeStart.into());
    }
    let answer = RunnerAnswer {
        status,
        content_type,
        body,
    };
    if status >= 500 {
        return Err(AttemptFailure {
            answer: Some(answer),
            ..Outcome::ServerError.into()
        });
    }
    Ok(answer)
}

fn read_answer(
    entry: &EntryInstance,
    answer: &mut Response<ureq::Body>,
    reservation: &mut BufferReservation,
) -> std::result::Result<Vec<u8>, AttemptFailure> {
    let limit = entry.settings.body_limit;
    // One byte more than the limit, so that the end of a body of exactly this size is reached.
    let config = answer.body_mut().with_config().limit(limit as u64 + 1);
    let mut reader = config.reader();
    let mut body = Vec::new();
    let mut chunk = [0; CHUNK_BYTES];
    loop {
        let count = reader.read(&mut chunk).map_err(|error| {
            let late = error.kind() == std::io::ErrorKind::TimedOut;
            // The answer began, so the connection works and the runner was too slow.
            let code = if late {
                Code::AnswerTimeout
            } else {
                Code::AnswerTruncated
            };
            AttemptFailure {
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
        if !reservation.try_grow(count) {
            return Err(AttemptFailure {
                code: Code::AnswerDiscarded,
                ..Outcome::TooLarge.into()
            });
        }
        body.extend_from_slice(&chunk[..count]);
    }
}
