//! Requests between entry instances: to the owners of cells, and to peers that reach the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use nutmegcart_fleet::Resources;
use nutmegcart_http::BodyError;
use nutmegcart_http::ClientBody;
use nutmegcart_http::DeliveryError;
use nutmegcart_http::ListenerKind;
use nutmegcart_jobs::AcceptedJob;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::JobState;
use nutmegcart_jobs::QueueKey;
use nutmegcart_jobs::limit_moves::LimitRequest;
use nutmegcart_jobs::limit_moves::StoredAllocations;
use nutmegcart_jobs::organisation_status::OrganisationStatus;
use nutmegcart_jobs::passing::PoolLoad;
use nutmegcart_model::OrganisationName;
use serde::Deserialize;
use serde::Serialize;

use crate::acceptor::Acceptance;
use crate::access::Access;
use crate::access::Caller;
use crate::cell_status;
use crate::cell_status::CellStatus;
use crate::clock::now;
use crate::earlier_owners;
use crate::handoff;
use crate::job_api;
use crate::job_lookup;
use crate::job_service::JobService;
use crate::limit_exchange;
use crate::node::CellView;
use crate::node::Node;
use crate::operator_records;
use crate::operator_records::NewerConfiguration;

/// Result of a request to a peer.
pub type Result<T> = std::result::Result<T, PeerError>;

/// Timeout of a request to the owner of a cell; afterwards the state is read from the store.
const OWNER_TIMEOUT: Duration = Duration::from_millis(350);
/// Maximum size of a request's body.
const MAX_REQUEST_BYTES: usize = 64 << 10;
/// HTTP path of all requests between instances.
const REQUEST_PATH: &str = "/v1/cell/ask";

/// Why a request has no response.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum PeerError {
    /// No owner of the cell is known, or the instance asked does not own it.
    #[display("no instance owns the cell")]
    NoOwner,
    /// The request was not sent.
    #[display("the peer cannot be reached: {reason}")]
    Unreachable {
        /// What failed.
        reason: String,
    },
    /// The request may have been received, but no valid response arrived in time.
    #[display("no valid response from the peer: {reason}")]
    NoResponse {
        /// What failed.
        reason: String,
    },
}

/// A request to another instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks the owner of the cell for the state of a job.
    State(u32, JobId),
    /// Asks the owner of the cell how many workers its long-running tasks occupy or wait
    /// for.
    #[serde(rename = "Lasting")]
    LongRunning(u32),
    /// Asks the owner of the cell how many jobs of a queue have not started any task.
    Waiting(u32, QueueKey),
    /// Stores a job on behalf of an instance that does not reach the store; with a time limit in
    /// milliseconds.
    Submit(JobId, Box<AcceptedJob>, u64),
    /// Cancels a job on behalf of an instance that does not reach the store; with a time limit in
    /// milliseconds.
    Cancel(JobId, u64),
    /// Asks the receiver to acquire a cell from the sender, which does not reach the store and
    /// holds the cell with the fencing token.
    TakeOver(u32, u64),
    /// Asks the owner of the cell for the work and capacity of its pools.
    Load(u32),
    /// Asks the owner of the cell for its status.
    Status(u32),
    /// Asks whether the ownership of a cell with the fencing token has ended, by the name and the
    /// incarnation of the owner.
    HasEnded(u32, u64, Arc<str>, u64),
    /// Asks the owner of the cell for a part of its allocation of an organisation's limit.
    Limit(u32, LimitRequest),
    /// Asks the owner of the cell for its allocations and use of the organisations' limits.
    LimitUse(u32, Vec<OrganisationName>),
    /// Like [`PeerRequest::Submit`], for a caller whose access is limited.
    SubmitFor(JobId, Box<AcceptedJob>, u64, Caller),
    /// Like [`PeerRequest::State`], for a caller whose access is limited.
    StateFor(u32, JobId, Access),
    /// Like [`PeerRequest::Cancel`], for a caller whose access is limited.
    CancelFor(JobId, u64, Access),
    /// Asks for a configuration with a higher version than this one.
    NewerConfiguration(u64),
    /// Asks the owner of the cell what organisations have running and waiting there.
    Organisations(u32),
}

/// The response to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The state of the job, if the owner knows it.
    State(Option<JobState>),
    /// The number of jobs that have not started any task.
    Waiting(u64),
    /// The number of workers that long-running tasks occupy or wait for.
    #[serde(rename = "Lasting")]
    LongRunning(u64),
    /// The instance does not own the cell.
    NotOwner,
    /// Whether the job was accepted.
    Accepted(Acceptance),
    /// The result of the cancellation.
    Cancelled(Cancellation),
    /// Whether the receiver has acquired the cell.
    Taken(bool),
    /// Whether the ownership has certainly ended.
    HasEnded(bool),
    /// The status of the cell.
    Status(CellStatus),
    /// The work and capacity of the cell by pool.
    Load(Vec<PoolLoad>),
    /// The stored allocations of the limit, after what was given.
    Limit(StoredAllocations),
    /// The version of the configuration, and allocation in millionths and use by organisation.
    LimitUse(u64, Vec<(u32, Resources)>),
    /// Whether the receiver has a newer configuration, and which.
    NewerConfiguration(NewerConfiguration),
    /// The caller has no access to the job.
    OtherOrganisation,
    /// What each organisation has running and waiting in the cell.
    Organisations(Vec<OrganisationStatus>),
}

/// Result of an attempt to cancel a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Cancellation {
    /// The job is cancelled, or had already ended.
    #[serde(rename = "Done")]
    Cancelled,
    /// No such job exists.
    #[serde(rename = "Gone")]
    NotFound,
    /// The attempt failed or its outcome is unknown.
    #[serde(rename = "Unsettled")]
    Unknown,
    /// The caller has no access to the job.
    OtherOrganisation,
}

// Requests of callers with access to all jobs have a form that earlier versions read.

/// Returns the request to store a job, with a time limit in milliseconds.
pub(crate) fn submission(
    id: &JobId,
    accepted: &AcceptedJob,
    access: &Access,
    limit_ms: u64,
) -> PeerRequest {
    let job = Box::new(accepted.clone());
    if *access == Access::All {
        return PeerRequest::Submit(id.clone(), job, limit_ms);
    }
    let caller = Caller {
        organisation: accepted.organisation.clone(),
        access: access.clone(),
    };
    PeerRequest::SubmitFor(id.clone(), job, limit_ms, caller)
}

/// Returns the request for the state of a job.
pub(crate) fn state_request(cell: u32, id: &JobId, access: &Access) -> PeerRequest {
    match access {
        Access::All => PeerRequest::State(cell, id.clone()),
        _ => PeerRequest::StateFor(cell, id.clone(), access.clone()),
    }
}

/// Returns the request to cancel a job, with a time limit in milliseconds.
pub(crate) fn cancellation(id: &JobId, access: &Access, limit_ms: u64) -> PeerRequest {
    match access {
        Access::All => PeerRequest::Cancel(id.clone(), limit_ms),
        _ => PeerRequest::CancelFor(id.clone(), limit_ms, access.clone()),
    }
}

/// Answers a request to the owner of a cell from memory.
#[must_use]
pub fn answer_from_memory(node: &Node, request: &PeerRequest) -> PeerResponse {
    let owned = cell_of(node, request).and_then(|view| node.active_cell(&view));
    let Some(owned) = owned else {
        return PeerResponse::NotOwner;
    };
    if let PeerRequest::Status(_) = request {
        return PeerResponse::Status(cell_status::of_owned(&owned));
    }
    let scheduler = owned.scheduler.borrow();
    match request {
        PeerRequest::State(_, id) => PeerResponse::State(scheduler.job_state(id)),
        PeerRequest::StateFor(_, id, access) => {
            if access.permits(scheduler.job_organisation(id)) {
                PeerResponse::State(scheduler.job_state(id))
            } else {
                PeerResponse::OtherOrganisation
            }
        }
        PeerRequest::LongRunning(_) => {
            let workers = scheduler.long_running_workers();
            PeerResponse::LongRunning(u64::try_from(workers).unwrap_or(u64::MAX))
        }
        PeerRequest::Waiting(_, queue) => {
            let count = scheduler.waiting_in(queue);
            PeerResponse::Waiting(u64::try_from(count).unwrap_or(u64::MAX))
        }
        PeerRequest::Load(_) => PeerResponse::Load(scheduler.pool_loads(now())),
        PeerRequest::Organisations(_) => {
            PeerResponse::Organisations(scheduler.organisation_statuses())
        }
        PeerRequest::LimitUse(_, names) => {
            let uses = names.iter().map(|name| scheduler.limit_use(name));
            let version = node
                .configuration
                .borrow()
                .as_ref()
                .map(|each| each.version);
            match (version, uses.collect()) {
                (Some(version), Some(uses)) => PeerResponse::LimitUse(version, uses),
                _ => PeerResponse::NotOwner,
            }
        }
        PeerRequest::Status(..)
        | PeerRequest::Limit(..)
        | PeerRequest::Submit(..)
        | PeerRequest::SubmitFor(..)
        | PeerRequest::Cancel(..)
        | PeerRequest::CancelFor(..)
        | PeerRequest::TakeOver(..)
        | PeerRequest::HasEnded(..)
        | PeerRequest::NewerConfiguration(_) => PeerResponse::NotOwner,
    }
}

/// Returns the cell whose owner a request is for.
fn cell_of(node: &Node, request: &PeerRequest) -> Option<Rc<CellView>> {
    let cells = node.cells()?;
    match request {
        PeerRequest::State(cell, _)
        | PeerRequest::StateFor(cell, ..)
        | PeerRequest::LongRunning(cell)
        | PeerRequest::Waiting(cell, _)
        | PeerRequest::Load(cell)
        | PeerRequest::Status(cell)
        | PeerRequest::Limit(cell, _)
        | PeerRequest::LimitUse(cell, _)
        | PeerRequest::Organisations(cell)
        | PeerRequest::TakeOver(cell, _)
        | PeerRequest::HasEnded(cell, ..) => cells.views.get(*cell as usize).cloned(),
        PeerRequest::Submit(..)
        | PeerRequest::SubmitFor(..)
        | PeerRequest::Cancel(..)
        | PeerRequest::CancelFor(..)
        | PeerRequest::NewerConfiguration(_) => None,
    }
}

/// Sends a request to the owner of its cell, which may be this instance.
///
/// # Errors
///
/// Fails if no owner is known or it does not answer in time.
pub async fn ask_owner(node: &Rc<Node>, request: &PeerRequest) -> Result<PeerResponse> {
    let view = cell_of(node, request).ok_or(PeerError::NoOwner)?;
    if let Some(owned) = node.active_cell(&view) {
        return match request {
            PeerRequest::Limit(_, request) => Ok(limit_exchange::give(node, &owned, request).await),
            request => Ok(answer_from_memory(node, request)),
        };
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

/// Sends a request to one instance.
///
/// # Errors
///
/// Fails if the instance does not answer in time.
pub async fn send(
    node: &Rc<Node>,
    peer: SocketAddr,
    request: &PeerRequest,
    limit: Duration,
) -> Result<PeerResponse> {
    let no_response = |reason: String| PeerError::NoResponse { reason };
    let body = rmp_serde::to_vec(request).map_err(|error| no_response(error.to_string()))?;
    let host = peer.to_string();
    let http_request =
        nutmegcart_http::request("POST", REQUEST_PATH, &[("host", &host)], Bytes::from(body));
    let response = node.client.call(peer, http_request, limit).await;
    let response = response.map_err(|error| match error {
        DeliveryError::NotSent { reason } => PeerError::Unreachable { reason },
        DeliveryError::Lost { reason } => no_response(reason),
    })?;
    rmp_serde::from_slice(response.body()).map_err(|error| no_response(error.to_string()))
}

/// Serves requests of other instances, and nutmegcart's own interface for jobs.
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
    let guard = node.clients.clone();
    let handler = move |request: Request<ClientBody>| {
        let (node, service) = (node.clone(), service.clone());
        async move { respond(&node, &service, request).await }
    };
    nutmegcart_http::serve_clients(listener, guard, ListenerKind::Peers, stop, handler).await;
    Ok(())
}

async fn respond(
    node: &Rc<Node>,
    service: &JobService,
    request: Request<ClientBody>,
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
    let body = match request.into_body().read(MAX_REQUEST_BYTES).await {
        Ok(body) => body,
        Err(BodyError::Timeout) => return status(408),
        Err(_) => return status(413),
    };
    let Ok(request) = rmp_serde::from_slice::<PeerRequest>(&body) else {
        return status(400);
    };
    let answer = match request {
        PeerRequest::Submit(id, accepted, limit) => {
            let limit = Duration::from_millis(limit);
            let stored = service.store_for_peer(node, id, *accepted, &Access::All, limit);
            PeerResponse::Accepted(stored.await)
        }
        PeerRequest::SubmitFor(id, mut accepted, limit, caller) => {
            let limit = Duration::from_millis(limit);
            accepted.organisation = caller.organisation;
            let stored = service.store_for_peer(node, id, *accepted, &caller.access, limit);
            PeerResponse::Accepted(stored.await)
        }
        PeerRequest::Cancel(id, limit) => {
            let limit = Duration::from_millis(limit);
            let cancelled = job_lookup::cancel_for_peer(node, &id, &Access::All, limit);
            PeerResponse::Cancelled(cancelled.await)
        }
        PeerRequest::CancelFor(id, limit, access) => {
            let limit = Duration::from_millis(limit);
            let cancelled = job_lookup::cancel_for_peer(node, &id, &access, limit);
            PeerResponse::Cancelled(cancelled.await)
        }
        PeerRequest::TakeOver(cell, fence) => {
            PeerResponse::Taken(handoff::accept_handoff(node, cell, fence).await)
        }
        PeerRequest::HasEnded(cell, fence, name, incarnation) => {
            let ended = earlier_owners::answer(node, cell, fence, &name, incarnation);
            PeerResponse::HasEnded(ended)
        }
        PeerRequest::Limit(cell, request) => limit_exchange::answer(node, cell, &request).await,
        PeerRequest::NewerConfiguration(version) => {
            PeerResponse::NewerConfiguration(operator_records::newer_than(node, version))
        }
        request => answer_from_memory(node, &request),
    };
    match rmp_serde::to_vec(&answer) {
        Ok(body) => Response::new(Full::new(Bytes::from(body))),
        Err(error) => {
            log::error!("cannot encode the response to a peer: {error}");
            status(500)
        }
    }
}
