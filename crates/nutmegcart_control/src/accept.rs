//! Accepting jobs: a job is accepted when the store holds it, and then exactly once.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use nutmegcart_jobs::Accepted;
use nutmegcart_jobs::JobRecord;
use nutmegcart_jobs::record::encode;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::Txn;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::oneshot;

use crate::clock::now;
use crate::node::Node;

/// Transactions under way at once; more only wait for each other in the store.
const MOST_FLIGHTS: usize = 3;
/// Jobs in one transaction, so that one large batch doesn't delay the next caller.
const MOST_JOBS: usize = 12;

/// Whether a job was accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Acceptance {
    /// The store holds it, from this attempt or an earlier one.
    Stored,
    /// The store refused it; this attempt wrote nothing and nothing of it is under way.
    NotStored,
    /// The store did not settle it in time; it may be stored, now or later.
    Unsettled,
}

struct Submission {
    key: String,
    value: Vec<u8>,
    waiters: Vec<oneshot::Sender<Acceptance>>,
}

/// Jobs that wait to be stored.
#[derive(Default)]
pub struct Acceptor {
    queue: RefCell<VecDeque<Submission>>,
    present: RefCell<HashMap<String, Vec<oneshot::Sender<Acceptance>>>>,
    flights: Cell<usize>,
}

impl Acceptor {
    /// Makes one attempt at storing a job under its key, which ends at the deadline at the latest.
    pub async fn accept(
        self: &Rc<Self>,
        node: &Rc<Node>,
        key: String,
        accepted: &Accepted,
        deadline: Duration,
    ) -> Acceptance {
        let (answer, answered) = oneshot::channel();
        if let Some(waiters) = self.present.borrow_mut().get_mut(&key) {
            // The same job is being stored for an earlier request of its caller.
            waiters.push(answer);
        } else {
            self.present.borrow_mut().insert(key.clone(), Vec::new());
            self.queue.borrow_mut().push_back(Submission {
                key,
                value: encode(&JobRecord::Accepted(Box::new(accepted.clone()))),
                waiters: vec![answer],
            });
            self.pump(node);
        }
        let left = deadline.saturating_sub(now());
        match tokio::time::timeout(left, answered).await {
            Ok(Ok(acceptance)) => acceptance,
            Ok(Err(_)) | Err(_) => Acceptance::Unsettled,
        }
    }

    fn pump(self: &Rc<Self>, node: &Rc<Node>) {
        while self.flights.get() < MOST_FLIGHTS && !self.queue.borrow().is_empty() {
            let mut batch = Vec::new();
            let mut queue = self.queue.borrow_mut();
            while batch.len() < MOST_JOBS {
                let Some(submission) = queue.pop_front() else {
                    break;
                };
                batch.push(submission);
            }
            drop(queue);
            self.flights.set(self.flights.get() + 1);
            let this = self.clone();
            let node = node.clone();
            tokio::task::spawn_local(async move {
                this.store(&node, batch).await;
                this.flights.set(this.flights.get() - 1);
                this.pump(&node);
            });
        }
    }

    /// Stores a batch: all at once, and where a key exists already, the rest once more.
    async fn store(&self, node: &Rc<Node>, mut batch: Vec<Submission>) {
        while !batch.is_empty() {
            let mut txn = Txn::default();
            for submission in &batch {
                let key = submission.key.clone();
                txn = txn
                    .absent(key.clone())
                    .put(key.clone(), submission.value.clone())
                    .or_read(key);
            }
            match (node.platform.store.txn)(txn).await {
                Ok(reply) if reply.committed => {
                    node.note_store(true);
                    for submission in batch.drain(..) {
                        self.answer(submission, Acceptance::Stored);
                    }
                }
                Ok(reply) => {
                    let mut rest = Vec::new();
                    for submission in batch.drain(..) {
                        if reply.found.iter().any(|found| found.key == submission.key) {
                            self.answer(submission, Acceptance::Stored);
                        } else {
                            rest.push(submission);
                        }
                    }
                    batch = rest;
                }
                Err(StoreError::AnswerLost { .. }) => {
                    node.note_store(false);
                    node.metrics
                        .retries
                        .with_label_values(&["store_answer_lost"])
                        .inc();
                    for submission in batch.drain(..) {
                        self.answer(submission, Acceptance::Unsettled);
                    }
                }
                Err(_) => {
                    node.note_store(false);
                    for submission in batch.drain(..) {
                        self.answer(submission, Acceptance::NotStored);
                    }
                }
            }
        }
    }

    fn answer(&self, submission: Submission, acceptance: Acceptance) {
        let joined = self
            .present
            .borrow_mut()
            .remove(&submission.key)
            .unwrap_or_default();
        for waiter in submission.waiters.into_iter().chain(joined) {
            // A caller that has left needs no answer; the job stays accepted.
            let _ = waiter.send(acceptance);
        }
    }
}
