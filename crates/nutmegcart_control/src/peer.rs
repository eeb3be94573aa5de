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

use crate::accept::Acceptance;
use crate::caller;
use crate::caller::Desk;
use crate::cell;
use crate::http;
use crate::http::CallError;
use crate::interface;
use crate::node::CellView;
use crate::node::Node;

/// Result of a question.
pub type Result<T> = std::result::Result<T, PeerError>;

/// Longest wait for an answer; the store is asked instead afterwards.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(350);
/// Bytes of a question.
const QUESTION_LIMIT: usize = 64 << 10;
/// Path of questions.
const PATH: &str = "/v1/cell/ask";

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
    Silent {
        /// What failed.
        reason: String,
    },
}

/// A question to an owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Question {
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
pub enum Answer {
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
    Done,
    /// No such job exists.
    Gone,
    /// It was not settled.
    Unsettled,
}

/// Answers a question from memory.
#[must_use]
pub fn answer(node: &Node, question: &Question) -> Answer {
    let owned = cell_of(node, question).and_then(|view| node.owned(&view));
    let Some(owned) = owned else {
        return Answer::NotOwner;
    };
    let scheduler = owned.scheduler.borrow();
    match question {
        Question::State(_, id) => Answer::State(scheduler.job_state(id)),
        Question::Lasting(_) => {
            let workers = scheduler.long_running_workers();
            Answer::Lasting(u64::try_from(workers).unwrap_or(u64::MAX))
        }
        Question::Waiting(_, queue) => {
            let count = scheduler.waiting_in(queue);
            Answer::Waiting(u64::try_from(count).unwrap_or(u64::MAX))
        }
        Question::Submit(..) | Question::Cancel(..) | Question::TakeOver(..) => Answer::NotOwner,
    }
}

/// Returns the cell that a question is about.
fn cell_of(node: &Node, question: &Question) -> Option<Rc<CellView>> {
    let cells = node.cells()?;
    match question {
        Question::State(cell, _)
        | Question::Lasting(cell)
        | Question::Waiting(cell, _)
        | Question::TakeOver(cell, _) => cells.views.get(*cell as usize).cloned(),
        Question::Submit(..) | Question::Cancel(..) => None,
    }
}

/// Asks the owner of the cell that a question is about, which may be this instance.
///
/// # Errors
///
/// Fails if no owner is known or it does not answer in time.
pub async fn ask(node: &Rc<Node>, question: &Question) -> Result<Answer> {
    let view = cell_of(node, question).ok_or(PeerError::NoOwner)?;
    if node.owned(&view).is_some() {
        return Ok(answer(node, question));
    }
    let owner = node.owner(view.number).ok_or(PeerError::NoOwner)?;
    if owner.life == node.life {
        return Err(PeerError::NoOwner);
    }
    match ask_at(node, owner.peer, question, ANSWER_TIMEOUT).await? {
        Answer::NotOwner => Err(PeerError::NoOwner),
        answer => Ok(answer),
    }
}

/// Asks one instance.
///
/// # Errors
///
/// Fails if it does not answer in time.
pub async fn ask_at(
    node: &Rc<Node>,
    peer: SocketAddr,
    question: &Question,
    limit: Duration,
) -> Result<Answer> {
    let silent = |reason: String| PeerError::Silent { reason };
    let body = rmp_serde::to_vec(question).map_err(|error| silent(error.to_string()))?;
    let host = peer.to_string();
    let request = http::request("POST", PATH, &[("host", &host)], Bytes::from(body));
    let response = node.client.call(peer, request, limit).await;
    let response = response.map_err(|error| match error {
        CallError::NotSent { reason } => PeerError::Unreachable { reason },
        CallError::Lost { reason } => silent(reason),
    })?;
    rmp_serde::from_slice(response.body()).map_err(|error| silent(error.to_string()))
}

/// Serves questions of other instances, and nutmegcart's own interface for jobs.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve(node: Rc<Node>, desk: Desk, address: SocketAddr) -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::bind(address).await?;
    let stop = node.stopping.subscribe();
    let handler = move |request: Request<Incoming>| {
        let (node, desk) = (node.clone(), desk.clone());
        async move { respond(&node, &desk, request).await }
    };
    http::serve(listener, http::ServerLimits::default(), stop, handler).await;
    Ok(())
}

async fn respond(
    node: &Rc<Node>,
    desk: &Desk,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let status = |code: u16| {
        let mut response = Response::new(Full::default());
        *response.status_mut() = hyper::StatusCode::from_u16(code).unwrap_or_default();
        response
    };
    if interface::serves(request.uri().path()) {
        return interface::respond(node, desk, request).await;
    }
    if request.uri().path() != PATH {
        return status(404);
    }
    let body = Limited::new(request.into_body(), QUESTION_LIMIT)
        .collect()
        .await;
    let Ok(body) = body else {
        return status(413);
    };
    let Ok(question) = rmp_serde::from_slice::<Question>(&body.to_bytes()) else {
        return status(400);
    };
    let answer = match question {
        Question::Submit(id, accepted, limit) => {
            let limit = Duration::from_millis(limit);
            Answer::Accepted(desk.store_for_peer(node, id, *accepted, limit).await)
        }
        Question::Cancel(id, limit) => {
            let limit = Duration::from_millis(limit);
            Answer::Cancelled(caller::cancel_for_peer(node, &id, limit).await)
        }
        Question::TakeOver(cell, fence) => Answer::Taken(cell::take_from(node, cell, fence).await),
        question => answer(node, &question),
    };
    match rmp_serde::to_vec(&answer) {
        Ok(body) => Response::new(Full::new(Bytes::from(body))),
        Err(error) => {
            log::error!("answer to a peer cannot be encoded: {error}");
            status(500)
        }
    }
}
