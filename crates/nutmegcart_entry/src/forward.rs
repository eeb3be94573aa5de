//! Callers' requests on their way to runners.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use nutmegcart_model::Code;
use nutmegcart_platform::InstanceState;
use nutmegcart_platform::http::is_not_sent;
use oxhttp::model::Body;
use oxhttp::model::Request;
use oxhttp::model::Response;
use uuid::Uuid;

use crate::entry::Entry;
use crate::http;
use crate::operation;
use crate::pool_map::Phase;

/// Result of forwarding a request.
pub type Result<T> = std::result::Result<T, Code>;

/// Attempts for requests that may be repeated or were provably not sent.
const ATTEMPTS: usize = 3;
/// Header with the request identifier that runners echo.
pub const REQUEST: &str = "nutmegcart-request";
/// Header of a runner's refusal before it started the request.
pub const REFUSED: &str = "nutmegcart-refused";

/// A caller's request, read completely.
pub struct Call {
    /// Identifier that runners echo.
    pub id: String,
    /// Caller, empty if it gave no name.
    pub caller: String,
    /// HTTP method.
    pub method: String,
    /// Path as received.
    pub path: String,
    /// Service.
    pub service: String,
    /// Body.
    pub body: Vec<u8>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Deadline.
    pub end: Instant,
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

/// Handles `/v1/services/<service>/<path>`.
pub fn handle(entry: &Arc<Entry>, request: &mut Request<Body>, rest: &str) -> Response<Body> {
    let id = Uuid::new_v4().to_string();
    let result = operation::identifier(request).and_then(|identifier| {
        let call = read(entry, request, rest, &id)?;
        match identifier {
            Some(identifier) => operation::run(entry, &identifier, &call, false),
            None => send(entry, &call),
        }
    });
    match result {
        Ok(answer) => {
            entry.metrics.count(Code::Ok);
            http::answer(answer.status, &answer.kind, answer.body)
        }
        Err(code) => {
            entry.metrics.count(code);
            http::error(code, &id, "")
        }
    }
}

fn read(entry: &Entry, request: &mut Request<Body>, rest: &str, id: &str) -> Result<Call> {
    let service = rest.split('/').next().unwrap_or("").to_owned();
    let method = request.method().as_str().to_owned();
    let marked = http::header(request, "nutmegcart-idempotent") == Some("true");
    let deadline = http::header(request, "nutmegcart-deadline-ms")
        .map(|text| text.parse().map_err(|_| Code::BadRequest))
        .transpose()?
        .map_or(entry.settings.deadline, Duration::from_millis);
    Ok(Call {
        id: id.to_owned(),
        caller: http::header(request, "nutmegcart-caller")
            .unwrap_or("")
            .to_owned(),
        idempotent: marked || method != "POST" && method != "PATCH",
        method,
        path: format!("/v1/services/{rest}"),
        service,
        end: Instant::now() + deadline,
        body: http::read_body(request, entry.settings.body_limit)?,
    })
}

/// Returns the addresses of the service's runners that take new work, the own data centre first.
fn runners(entry: &Entry, service: &str) -> Result<Vec<SocketAddr>> {
    let loaded = entry.tables.in_force.get();
    let pool = loaded.view.pool_of(service).ok_or(Code::UnknownService)?;
    let maps = entry.tables.maps.read().clone();
    let listed = entry.tables.instances.read().clone();
    let mut local = Vec::new();
    let mut remote = Vec::new();
    for (centre, map) in maps.iter() {
        for (id, seat) in &map.seats {
            let listed = listed.instances.get(id);
            let live = listed.filter(|instance| instance.state == InstanceState::Live);
            let Some(instance) = live else { continue };
            if seat.pool == pool.name && seat.phase == Phase::Serving {
                let group = if *centre == entry.settings.centre {
                    &mut local
                } else {
                    &mut remote
                };
                group.push(instance.address);
            }
        }
    }
    let mut routes = entry.tables.routes.lock();
    let turn = routes.entry(service.to_owned()).or_default();
    *turn = turn.wrapping_add(1);
    for group in [&mut local, &mut remote] {
        if !group.is_empty() {
            let shift = *turn % group.len();
            group.rotate_left(shift);
        }
    }
    local.extend(remote);
    Ok(local)
}

/// Sends a request to a runner and returns its answer.
///
/// # Errors
///
/// Only a code with the verdict unknown leaves open whether the request ran.
pub fn send(entry: &Entry, call: &Call) -> Result<Answer> {
    let runners = runners(entry, &call.service)?;
    if runners.is_empty() {
        return Err(Code::NoRunner);
    }
    let mut failure = Code::NoRunner;
    for address in runners.iter().cycle().take(ATTEMPTS.max(runners.len())) {
        if Instant::now() >= call.end {
            return Err(worse(failure, Code::DeadlinePassed));
        }
        match attempt(entry, call, *address) {
            Ok(answer) => return Ok(answer),
            Err(code) => failure = worse(failure, code),
        }
        let sent = matches!(failure.verdict(), nutmegcart_model::Verdict::Unknown);
        if sent && !call.idempotent {
            break;
        }
        entry
            .metrics
            .retries
            .with_label_values(&[failure.label()])
            .inc();
    }
    Err(failure)
}

/// An unknown outcome of any attempt decides the answer: a later refusal does not undo it.
fn worse(first: Code, second: Code) -> Code {
    if matches!(first.verdict(), nutmegcart_model::Verdict::Unknown) {
        first
    } else {
        second
    }
}

fn attempt(entry: &Entry, call: &Call, address: SocketAddr) -> Result<Answer> {
    let left = call.end.saturating_duration_since(Instant::now());
    let request = Request::builder()
        .method(call.method.as_str())
        .uri(format!("http://{address}{}", call.path))
        .header(REQUEST, &call.id)
        .header("nutmegcart-deadline-ms", left.as_millis().to_string())
        .body(&call.body[..])
        .map_err(|_| Code::BadRequest)?;
    let request = entry.backend.configure_request(request);
    let request = request.timeout_global(Some(left)).build();
    let mut answer = entry.backend.run(request).map_err(|error| match error {
        error if is_not_sent(&error) => Code::ConnectFailed,
        ureq::Error::Timeout(_) => Code::AnswerTimeout,
        _ => Code::ConnectionLost,
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
    let reader = answer
        .body_mut()
        .with_config()
        .limit(entry.settings.body_limit as u64);
    let body = reader.read_to_vec().map_err(|error| match error {
        ureq::Error::BodyExceedsLimit(_) => Code::AnswerTooLarge,
        ureq::Error::Timeout(_) => Code::AnswerTimeout,
        _ => Code::AnswerTruncated,
    })?;
    if echo != call.id {
        return Err(Code::AnswerMismatch);
    }
    if status == 503 && refused == "before-start" {
        return Err(Code::RefusedByRunner);
    }
    Ok(Answer { status, kind, body })
}
