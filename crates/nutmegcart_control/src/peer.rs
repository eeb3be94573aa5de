//! Questions of entry instances to the owner of the cell.

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
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::JobState;
use nutmegcart_jobs::QueueKey;
use serde::Deserialize;
use serde::Serialize;

use crate::http;
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
    /// The owner did not answer in time.
    #[display("the owner does not answer: {reason}")]
    Silent {
        /// What failed.
        reason: String,
    },
}

/// A question to the owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Question {
    /// The state of a job.
    State(JobId),
    /// How many jobs of a queue have started no task.
    Waiting(QueueKey),
}

/// The owner's answer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The state of the job, if the owner knows it.
    State(Option<JobState>),
    /// The number of jobs.
    Waiting(u64),
    /// The instance does not own the cell.
    NotOwner,
}

/// Answers a question from memory.
#[must_use]
pub fn answer(node: &Node, question: &Question) -> Answer {
    let Some(owned) = node.owned() else {
        return Answer::NotOwner;
    };
    let scheduler = owned.scheduler.borrow();
    match question {
        Question::State(id) => Answer::State(scheduler.state(id)),
        Question::Waiting(queue) => {
            let count = scheduler.waiting(queue);
            Answer::Waiting(u64::try_from(count).unwrap_or(u64::MAX))
        }
    }
}

/// Asks the owner of the cell, which may be this instance.
///
/// # Errors
///
/// Fails if no owner is known or it does not answer in time.
pub async fn ask(node: &Rc<Node>, question: &Question) -> Result<Answer> {
    if node.owned().is_some() {
        return Ok(answer(node, question));
    }
    let owner = node.owner.borrow().clone().ok_or(PeerError::NoOwner)?;
    if owner.life == node.life {
        return Err(PeerError::NoOwner);
    }
    let silent = |reason: String| PeerError::Silent { reason };
    let body = rmp_serde::to_vec(question).map_err(|error| silent(error.to_string()))?;
    let host = owner.peer.to_string();
    let request = http::request("POST", PATH, &[("host", &host)], Bytes::from(body));
    let response = node.client.call(owner.peer, request, ANSWER_TIMEOUT).await;
    let response = response.map_err(|error| silent(error.to_string()))?;
    let answer = rmp_serde::from_slice(response.body()).map_err(|error| silent(error.to_string()))?;
    match answer {
        Answer::NotOwner => Err(PeerError::NoOwner),
        answer => Ok(answer),
    }
}

/// Serves questions of other instances.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve(node: Rc<Node>, address: SocketAddr) -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::bind(address).await?;
    let stop = node.stopping.subscribe();
    let handler = move |request: Request<Incoming>| {
        let node = node.clone();
        async move { respond(&node, request).await }
    };
    http::serve(listener, http::ServerLimits::default(), stop, handler).await;
    Ok(())
}

async fn respond(node: &Rc<Node>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let status = |code: u16| {
        let mut response = Response::new(Full::default());
        *response.status_mut() = hyper::StatusCode::from_u16(code).unwrap_or_default();
        response
    };
    if request.uri().path() != PATH {
        return status(404);
    }
    let body = Limited::new(request.into_body(), QUESTION_LIMIT).collect().await;
    let Ok(body) = body else {
        return status(413);
    };
    let Ok(question) = rmp_serde::from_slice::<Question>(&body.to_bytes()) else {
        return status(400);
    };
    match rmp_serde::to_vec(&answer(node, &question)) {
        Ok(body) => Response::new(Full::new(Bytes::from(body))),
        Err(error) => {
            log::error!("answer to a peer cannot be encoded: {error}");
            status(500)
        }
    }
}
