//! Questions of entry instances to the owners of cells.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use nutmegcart_jobs::AcceptedJob;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::JobState;
use nutmegcart_jobs::QueueKey;
use serde::Deserialize;
use serde::Serialize;

use crate::acceptor::Acceptance;
use crate::http;
use crate::http::CallError;
use crate::job_api;
use crate::job_service;
use crate::job_service::JobService;
use crate::node::CellView;
use crate::node::Node;
use crate::ownership;

/// Result of a question.
pub type Result<T> = std::result::Result<T, PeerError>;

/// Longest wait for an answer; the store is asked instead afterwards.
const OWNER_TIMEOUT: Duration = Duration::from_millis(350);
/// Bytes of a question.
const MAX_REQUEST_BYTES: usize = 64 << 10;
/// Path of questions.
const REQUEST_PATH: &str = "/v1/cell/ask";

/// Why a question has no answer.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum PeerError {
    /// No owner is known.
    #[display("no instance owns the cell")]
    NoOwner,
    /// The question was not sent.
    #[display("the peer cannot be reached: {reason}")]
    Unreachable {
        /// What failed.
        reason: String,
    },
    /// The peer did not answer in time.
    #[display("the peer does not answer: {reason}")]
    NoResponse {
        /// What failed.
        reason: String,
    },
}

/// A question to an owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// The state of a job of a cell.
    State(u32, JobId),
    /// How many workers lasting tasks hold in a cell.
    Lasting(u32),
    /// How many jobs of a queue have started no task in a cell.
    Waiting(u32, QueueKey),
    /// Stores a job for an instance that does not reach the store, within the milliseconds.
    Submit(JobId, Box<AcceptedJob>, u64),
    /// Cancels a job for such an instance, within the milliseconds.
    Cancel(JobId, u64),
    /// Takes a cell over from an owner that does not reach the store, which holds it with the
    /// fencing token.
    TakeOver(u32, u64),
}

/// The owner's answer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The state of the job, if the owner knows it.
    State(Option<JobState>),
    /// The number of jobs.
    Waiting(u64),
    /// The number of workers.
    Lasting(u64),
    /// The instance does not own the cell.
    NotOwner,
    /// Whether the job was accepted.
    Accepted(Acceptance),
    /// What became of the cancellation.
    Cancelled(Cancellation),
    /// Whether the cell was taken over.
    Taken(bool),
}

/// What became of a cancellation.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Cancellation {
    /// The job is cancelled, or had ended before.
    #[serde(rename = "Done")]
    Cancelled,
    /// No such job exists.
    #[serde(rename = "Gone")]
    NotFound,
    /// It was not settled.
    #[serde(rename = "Unsettled")]
    Unknown,
}

/// Answers a question from memory.
#[must_use]
pub fn answer_from_memory(node: &Node, request: &PeerRequest) -> PeerResponse {
    let owned = cell_of(node, request).and_then(|view| node.owned(&view));
    let Some(owned) = owned else {
        return PeerResponse::NotOwner;
    };
    let scheduler = owned.scheduler.borrow();
    match request {
        PeerRequest::State(_, id) => PeerResponse::State(scheduler.state(id)),
        PeerRequest::Lasting(_) => {
            let workers = scheduler.long_running_workers();
            PeerResponse::Lasting(u64::try_from(workers).unwrap_or(u64::MAX))
        }
        PeerRequest::Waiting(_, queue) => {
            let count = scheduler.waiting(queue);
            PeerResponse::Waiting(u64::try_from(count).unwrap_or(u64::MAX))
        }
        PeerRequest::Submit(..) | PeerRequest::Cancel(..) | PeerRequest::TakeOver(..) => {
            PeerResponse::NotOwner
        }
    }
}

/// Returns the cell that a question is about.
fn cell_of(node: &Node, request: &PeerRequest) -> Option<Rc<CellView>> {
    let cells = node.cells()?;
    match request {
        PeerRequest::State(cell, _)
        | PeerRequest::Lasting(cell)
        | PeerRequest::Waiting(cell, _)
        | PeerRequest::TakeOver(cell, _) => cells.views.get(*cell as usize).cloned(),
        PeerRequest::Submit(..) | PeerRequest::Cancel(..) => None,
    }
}

/// Asks the owner of the cell that a question is about, which may be this instance.
///
/// # Errors
///
/// Fails if no owner is known or it does not answer in time.
pub async fn ask_owner(node: &Rc<Node>, request: &PeerRequest) -> Result<PeerResponse> {
    let view = cell_of(node, request).ok_or(PeerError::NoOwner)?;
    if node.owned(&view).is_some() {
        return Ok(answer_from_memory(node, request));
    }
    let owner = node.owner(view.number).ok_or(PeerError::NoOwner)?;
    if owner.incarnation == node.incarnation {
        return Err(PeerError::NoOwner);
    }
    match send(node, owner.peer, request, OWNER_TIMEOUT).await? {
        PeerResponse::NotOwner => Err(PeerError::NoOwner),
        answer => Ok(answer),
    }
}

/// Asks one instance.
///
/// # Errors
///
/// Fails if it does not answer in time.
pub async fn send(
    node: &Rc<Node>,
    peer: SocketAddr,
    request: &PeerRequest,
    limit: Duration,
) -> Result<PeerResponse> {
    let no_response = |reason: String| PeerError::NoResponse { reason };
    let body = rmp_serde::to_vec(request).map_err(|error| no_response(error.to_string()))?;
    let host = peer.to_string();
    let http_request = http::request("POST", REQUEST_PATH, &[("host", &host)], Bytes::from(body));
    let response = node.client.call(peer, http_request, limit).await;
    let response = response.map_err(|error| match error {
        CallError::NotSent { reason } => PeerError::Unreachable { reason },
        CallError::Lost { reason } => no_response(reason),
    })?;
    rmp_serde::from_slice(response.body()).map_err(|error| no_response(error.to_string()))
}

/// Serves questions of other instances, and nutmegcart's own interface for jobs.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve(
    node: Rc<Node>,
    service: JobService,
    address: SocketAddr,
) -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::bind(address).await?;
    let stop = node.stop_servers.subscribe();
    let handler = move |request: Request<Incoming>| {
        let (node, service) = (node.clone(), service.clone());
        async move { respond(&node, &service, request).await }
    };
    http::serve(listener, http::ServerLimits::default(), stop, handler).await;
    Ok(())
}

async fn respond(
    node: &Rc<Node>,
    service: &JobService,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let status = |code: u16| {
        let mut response = Response::new(Full::default());
        *response.status_mut() = hyper::StatusCode::from_u16(code).unwrap_or_default();
        response
    };
    if job_api::is_job_path(request.uri().path()) {
        return job_api::respond(node, service, request).await;
    }
    if request.uri().path() != REQUEST_PATH {
        return status(404);
    }
    let body = Limited::new(request.into_body(), MAX_REQUEST_BYTES)
        .collect()
        .await;
    let Ok(body) = body else {
        return status(413);
    };
    let Ok(request) = rmp_serde::from_slice::<PeerRequest>(&body.to_bytes()) else {
        return status(400);
    };
    let answer = match request {
        PeerRequest::Submit(id, accepted, limit) => {
            let limit = Duration::from_millis(limit);
            PeerResponse::Accepted(service.store_for_peer(node, id, *accepted, limit).await)
        }
        PeerRequest::Cancel(id, limit) => {
            let limit = Duration::from_millis(limit);
            PeerResponse::Cancelled(job_service::cancel_for_peer(node, &id, limit).await)
        }
        PeerRequest::TakeOver(cell, fence) => {
            PeerResponse::Taken(ownership::accept_handoff(node, cell, fence).await)
        }
        request => answer_from_memory(node, &request),
    };
    match rmp_serde::to_vec(&answer) {
        Ok(body) => Response::new(Full::new(Bytes::from(body))),
        Err(error) => {
            log::error!("answer to a peer cannot be encoded: {error}");
            status(500)
        }
    }
}
