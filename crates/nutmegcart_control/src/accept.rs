//! Accepting jobs: a job is accepted when the store holds it, and then exactly once.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use nutmegcart_jobs::AcceptedJob;
use nutmegcart_jobs::JobId;
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
/// Entries in one transaction, so that one large batch doesn't delay the next caller. The store
/// takes 32, and a job needs two to five.
const MOST_ENTRIES: usize = 24;

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

/// What the store has to hold of a job.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    /// Keys that must not exist; one that does tells that the job is stored already.
    pub absent: Vec<String>,
    /// Keys and values to write.
    pub puts: Vec<(String, Vec<u8>)>,
}

impl Placement {
    /// Places a job under one key.
    #[must_use]
    pub fn new(key: String, accepted: &AcceptedJob) -> Self {
        let value = encode(&JobRecord::Accepted(Box::new(accepted.clone())));
        Self {
            absent: vec![key.clone()],
            puts: vec![(key, value)],
        }
    }

    fn entries(&self) -> usize {
        self.absent.len() + self.puts.len()
    }
}

struct Submission {
    id: JobId,
    placement: Placement,
    waiters: Vec<oneshot::Sender<Acceptance>>,
}

/// Jobs that wait to be stored.
#[derive(Default)]
pub struct Acceptor {
    queue: RefCell<VecDeque<Submission>>,
    present: RefCell<HashMap<JobId, Vec<oneshot::Sender<Acceptance>>>>,
    flights: Cell<usize>,
}

impl Acceptor {
    /// Makes one attempt at storing a job, which ends at the deadline at the latest.
    pub async fn accept(
        self: &Rc<Self>,
        node: &Rc<Node>,
        id: JobId,
        placement: Placement,
        deadline: Duration,
    ) -> Acceptance {
        let (answer, answered) = oneshot::channel();
        if let Some(waiters) = self.present.borrow_mut().get_mut(&id) {
            // The same job is being stored for an earlier request of its caller.
            waiters.push(answer);
        } else {
            self.present.borrow_mut().insert(id.clone(), Vec::new());
            self.queue.borrow_mut().push_back(Submission {
                id,
                placement,
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
            let mut entries = 0;
            while let Some(submission) = queue.pop_front() {
                entries += submission.placement.entries();
                if entries > MOST_ENTRIES {
                    queue.push_front(submission);
                    break;
                }
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
                for key in &submission.placement.absent {
                    txn = txn.absent(key.clone()).or_read(key.clone());
                }
                for (key, value) in &submission.placement.puts {
                    txn = txn.put(key.clone(), value.clone());
                }
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
                        let absent = &submission.placement.absent;
                        if reply.found.iter().any(|found| absent.contains(&found.key)) {
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
            .remove(&submission.id)
            .unwrap_or_default();
        for waiter in submission.waiters.into_iter().chain(joined) {
            // A caller that has left needs no answer; the job stays accepted.
            let _ = waiter.send(acceptance);
        }
    }
}
