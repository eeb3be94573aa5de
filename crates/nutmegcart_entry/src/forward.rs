//! Forwards callers' requests to runners.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use nutmegcart_http::BodyError;
use nutmegcart_http::DeliveryError;
use nutmegcart_http::HttpConnection;
use nutmegcart_http::body;
use nutmegcart_http::keep_until_written;
use nutmegcart_model::CallerName;
use nutmegcart_model::Code;
use nutmegcart_model::ServiceName;
use nutmegcart_request::admission::Class;
use nutmegcart_request::outcome::Outcome;
use nutmegcart_request::request_path;
use nutmegcart_request::request_path::Attempt;
use tokio::time::timeout;
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
    pub body: Bytes,
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
pub async fn handle(
    entry: &Arc<EntryInstance>,
    request: &mut Request<Incoming>,
    rest: &str,
) -> Response<Bytes> {
    let id = Uuid::new_v4().to_string();
    let mut reservation = entry.buffer_quota.empty_reservation();
    let response = match forward(entry, request, rest, &id, &mut reservation).await {
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
    keep_until_written(response, reservation)
}

async fn forward(
    entry: &Arc<EntryInstance>,
    request: &mut Request<Incoming>,
    rest: &str,
    id: &str,
    reservation: &mut BufferReservation,
) -> Result<RunnerAnswer> {
    let identifier = operation::identifier(request)?;
    let call = read_request(entry, request, rest, id, reservation).await;
    match identifier {
        Some(identifier) => {
            let call = call.map_err(operation::refusal_with_identifier)?;
            operation::run(entry, &identifier, &call, reservation).await
        }
        None => send_to_runner(entry, &call?, reservation, || Ok(())).await,
    }
}

async fn read_request(
    entry: &EntryInstance,
    request: &mut Request<Incoming>,
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
        body: read_body(entry, request, reservation).await?,
    })
}

fn check_headers<B>(entry: &EntryInstance, request: &Request<B>) -> Result<()> {
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
async fn read_body(
    entry: &EntryInstance,
    request: &mut Request<Incoming>,
    reservation: &mut BufferReservation,
) -> Result<Bytes> {
    let settings = &entry.settings;
    let reserve = |bytes| reservation.try_grow(bytes);
    let (limit, time) = (settings.body_limit, settings.body_timeout);
    let body = body::read(request.body_mut(), limit, time, reserve).await;
    body.map(Bytes::from).map_err(http::body_error_code)
}

/// Sends a request to a runner and returns its answer.
///
/// Calls `permit` once, after admission and before the first byte is sent; its error ends the
/// request.
///
/// # Errors
///
/// Unless the verdict of the code is "unknown", it is certain whether the request ran.
pub async fn send_to_runner(
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
    let admitted = entry.dispatcher.admit(call.request.clone(), metrics).await;
    // The configuration has the pool, but its runners are not known yet.
    let mut attempt = admitted.map_err(|code| match code {
        Code::UnknownService => Code::NoRunner,
        code => code,
    })?;
    if let Err(code) = permit() {
        entry
            .dispatcher
            .finish_attempt(*attempt, Outcome::Cancelled, metrics)
            .await;
        return Err(code);
    }
    loop {
        metrics.attempts.inc();
        let (outcome, code, answer) = match send_attempt(entry, call, &attempt, reservation).await {
            Ok(answer) => (Outcome::Success, Code::Ok, Some(answer)),
            Err(failure) => (failure.outcome, failure.code, failure.answer),
        };
        let finished = entry.dispatcher.finish_attempt(*attempt, outcome, metrics);
        match finished.await {
            RetryDecision::Answered => return answer.ok_or(code),
            RetryDecision::Retry(next) => attempt = next,
            // The code tells which limit the answer exceeded: body size or buffered bytes.
            RetryDecision::Failed(_) if outcome == Outcome::TooLarge => return Err(code),
            RetryDecision::Failed(code) => return Err(code),
        }
    }
}

type AttemptResult<T> = std::result::Result<T, AttemptFailure>;

async fn send_attempt(
    entry: &EntryInstance,
    call: &BufferedRequest,
    attempt: &Attempt,
    reservation: &mut BufferReservation,
) -> AttemptResult<RunnerAnswer> {
    let address = entry.dispatcher.address(&attempt.runner.id);
    let address = address.ok_or(Outcome::NotSent)?;
    let now = entry.dispatcher.now();
    let share = attempt.runner.connections;
    let connection = entry.runner_connections.acquire(address, share, now);
    let mut connection = connection.ok_or(Outcome::NotSent)?;
    let left = attempt.remaining(entry.dispatcher.now());
    let exchange = exchange_with_runner(entry, call, attempt, &mut connection, address);
    let result = match timeout(left, exchange).await {
        Ok(Ok(answer)) => {
            let deadline = attempt.remaining(entry.dispatcher.now());
            read_answer(entry, call, answer, deadline, reservation).await
        }
        Ok(Err(failure)) => Err(failure),
        // The connection is not open yet, or the head of the answer has not arrived.
        Err(_) if connection.open.is_none() => Err(Outcome::ConnectFailed.into()),
        Err(_) => Err(Outcome::SilentNew.into()),
    };
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

fn runner_request(
    entry: &EntryInstance,
    call: &BufferedRequest,
    attempt: &Attempt,
    address: SocketAddr,
) -> AttemptResult<Request<Full<Bytes>>> {
    let left = attempt.remaining(entry.dispatcher.now());
    let mut request = Request::builder()
        .method(call.method.as_str())
        .uri(&call.path)
        .header("host", address.to_string())
        .header(REQUEST_HEADER, &call.id)
        .header(ATTEMPT_HEADER, attempt.number())
        .header(DEADLINE_HEADER, left.as_millis().to_string());
    if let Some(content_type) = &call.content_type {
        request = request.header("content-type", content_type);
    }
    let request = request.body(Full::new(call.body.clone()));
    request.map_err(|_| Outcome::NotSent.into())
}

/// Sends the request and returns the head of the answer.
async fn exchange_with_runner(
    entry: &EntryInstance,
    call: &BufferedRequest,
    attempt: &Attempt,
    connection: &mut PooledConnection,
    address: SocketAddr,
) -> AttemptResult<Response<Incoming>> {
    if let Some(reused) = &mut connection.open {
        let request = runner_request(entry, call, attempt, address)?;
        match timeout(attempt.timeout, reused.send(request)).await {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(DeliveryError::Lost { .. })) => return Err(Outcome::ConnectionLost.into()),
            // The runner closed the idle connection, and no byte of this request was sent.
            Ok(Err(DeliveryError::NotSent { .. })) => connection.open = None,
            Err(_) => return Err(Outcome::SilentReused.into()),
        }
    }
    let opened = HttpConnection::open(address, attempt.timeout).await;
    let opened = opened.map_err(|_| Outcome::ConnectFailed)?;
    let opened = connection.open.insert(opened);
    let request = runner_request(entry, call, attempt, address)?;
    match timeout(attempt.timeout, opened.send(request)).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(DeliveryError::Lost { .. })) => Err(Outcome::ConnectionLost.into()),
        Ok(Err(DeliveryError::NotSent { .. })) => Err(Outcome::ConnectFailed.into()),
        Err(_) => Err(Outcome::SilentNew.into()),
    }
}

/// Reads the answer within the time left and the limits on its size, and checks its identifier.
async fn read_answer(
    entry: &EntryInstance,
    call: &BufferedRequest,
    mut answer: Response<Incoming>,
    left: Duration,
    reservation: &mut BufferReservation,
) -> AttemptResult<RunnerAnswer> {
    let limit = entry.settings.body_limit;
    let reserve = |bytes| reservation.try_grow(bytes);
    let body = body::read(answer.body_mut(), limit, left, reserve).await;
    let body = body.map_err(|error| {
        // The answer began, so the connection works.
        let (outcome, code) = match error {
            BodyError::Timeout => (Outcome::Truncated, Code::AnswerTimeout),
            BodyError::Incomplete => (Outcome::Truncated, Code::AnswerTruncated),
            BodyError::TooLarge => (Outcome::TooLarge, Outcome::TooLarge.code()),
            BodyError::NoSpace => (Outcome::TooLarge, Code::AnswerDiscarded),
        };
        AttemptFailure {
            code,
            ..outcome.into()
        }
    })?;
    let text = |name: &str| {
        let value = answer
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or("").to_owned()
    };
    let status = answer.status().as_u16();
    if text(REQUEST_HEADER) != call.id {
        return Err(Outcome::Mismatched.into());
    }
    if status == 503 && text(REFUSED_HEADER) == "before-start" {
        return Err(Outcome::RefusedBeforeStart.into());
    }
    let answer = RunnerAnswer {
        status,
        content_type: text("content-type"),
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
