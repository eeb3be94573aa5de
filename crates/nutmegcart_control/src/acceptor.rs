//! Stores accepted jobs. A job is accepted once the store holds it, and it is stored exactly once.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use nutmegcart_jobs::AcceptedJob;
use nutmegcart_jobs::FinalState;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::JobRecord;
use nutmegcart_jobs::record::decode_job;
use nutmegcart_jobs::record::encode_job;
use nutmegcart_model::Event;
use nutmegcart_model::OrganisationName;
use nutmegcart_model::log_event;
use nutmegcart_platform::KeyValue;
use nutmegcart_platform::Revision;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::Txn;
use nutmegcart_platform::TxnReply;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::oneshot;

use crate::access::Access;
use crate::clock::now;
use crate::keys;
use crate::node::Node;
use crate::port::StoreResult;
use crate::store_probe::SUSPICION_DELAY;

/// Time for which a write without an answer may be carried out late: six seconds, and a margin.
const MAX_WRITE_DELAY: Duration = Duration::from_secs(8);
/// Concurrent transactions; further ones would only queue in the store.
const MAX_IN_FLIGHT: usize = 3;
/// Entries in one transaction. The store allows 32 and a job needs two to five; a smaller batch
/// delays the next caller less.
const MAX_TXN_ENTRIES: usize = 24;
/// Bytes of the values in one transaction. A larger value is stored alone.
const MAX_TXN_BYTES: usize = 512 << 10;

/// Result of an attempt to store a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Acceptance {
    /// The store holds the job, from this attempt or an earlier one.
    Stored,
    /// The store refused the job; this attempt wrote nothing and has no call in progress.
    NotStored,
    /// The store did not answer in time; the job may have been stored or may be stored later.
    #[serde(rename = "Unsettled")]
    Unknown,
    /// The store holds a job with this identifier that the caller has no access to.
    OtherOrganisation,
}

/// What a transaction shows about a job.
#[derive(Clone, Debug)]
enum Stored {
    /// The store holds a job of the organisation, if any.
    Held(Option<OrganisationName>),
    /// The store holds a job, and its record cannot be read.
    Unreadable,
    /// The store refused the job.
    Refused,
    /// The store did not answer.
    Unknown,
}

impl Stored {
    fn acceptance(&self, access: &Access) -> Acceptance {
        match self {
            Self::Held(holder) if access.permits(holder.as_ref()) => Acceptance::Stored,
            Self::Held(_) => Acceptance::OtherOrganisation,
            // Callers without organisations need not know whose job it is.
            Self::Unreadable if *access == Access::All => Acceptance::Stored,
            Self::Unreadable | Self::Unknown => Acceptance::Unknown,
            Self::Refused => Acceptance::NotStored,
        }
    }
}

/// Returns what the items under keys that must not exist tell about the job. The note of a job's cell
/// names its organisation too.
fn holder(found: &[KeyValue], insert: &JobInsert) -> Option<Stored> {
    let items = found.iter().filter(|item| insert.may_conflict(&item.key));
    let stored = items.map(|item| {
        let holder = if keys::is_job_location(&item.key) {
            keys::location_holder(&item.value)
        } else {
            decode_job(&item.value).map(|record| record.organisation().cloned())
        };
        holder.map_or_else(
            |error| {
                log_event!(Event::JobRecordInvalid, key = item.key, reason = error);
                Stored::Unreadable
            },
            Stored::Held,
        )
    });
    stored.reduce(|one, other| match (&one, &other) {
        (Stored::Held(Some(_)), _) | (_, Stored::Unreadable) => one,
        _ => other,
    })
}

/// Returns the tombstone among the items under keys that must not exist, if the caller of the job may
/// have cancelled it, as an insert that replaces the tombstone with the job's final state.
///
/// The job is then shown as cancelled, as one that was cancelled after its acceptance.
fn replaced_tombstone(found: &[KeyValue], insert: &JobInsert) -> Option<JobInsert> {
    let mut items = found.iter();
    let item = items.find(|item| insert.absent.contains(&item.key))?;
    let Ok(JobRecord::Tombstone { at, organisation }) = decode_job(&item.value) else {
        return None;
    };
    if organisation.is_some() && organisation != insert.organisation {
        return None;
    }
    let ended = JobRecord::Ended {
        how: FinalState::Cancelled,
        at,
        organisation: insert.organisation.clone(),
    };
    Some(JobInsert {
        absent: Vec::new(),
        replaced: Some((item.key.clone(), item.modified)),
        puts: vec![(item.key.clone(), encode_job(&ended))],
        organisation: insert.organisation.clone(),
    })
}

/// Conditional writes that store a job.
#[derive(Clone, Debug, Default)]
pub struct JobInsert {
    /// Keys that must not exist. If one exists, the job is already stored.
    pub absent: Vec<String>,
    /// Tombstone that it replaces, which must not have changed.
    pub replaced: Option<(String, Revision)>,
    /// Keys and values to write.
    pub puts: Vec<(String, Vec<u8>)>,
    /// Organisation of the job, if any.
    pub organisation: Option<OrganisationName>,
}

impl JobInsert {
    /// Stores the encoded record of a job under one key.
    #[must_use]
    pub fn new(key: String, record: Vec<u8>) -> Self {
        Self {
            absent: vec![key.clone()],
            replaced: None,
            puts: vec![(key, record)],
            organisation: None,
        }
    }

    fn entries(&self) -> usize {
        self.absent.len() + usize::from(self.replaced.is_some()) + self.puts.len()
    }

    /// Returns whether the content of the key decides whether the job is stored already.
    fn may_conflict(&self, key: &String) -> bool {
        let replaced = self.replaced.as_ref().map(|(key, _)| key);
        self.absent.contains(key) || replaced == Some(key)
    }

    fn bytes(&self) -> usize {
        self.puts.iter().map(|(_, value)| value.len()).sum()
    }
}

/// Encodes the record of a job that is to be stored.
pub(crate) fn encode_accepted(accepted: &AcceptedJob) -> Vec<u8> {
    encode_job(&JobRecord::Accepted(Box::new(accepted.clone())))
}

struct PendingInsert {
    id: JobId,
    insert: JobInsert,
    waiters: Vec<oneshot::Sender<Stored>>,
}

/// Queue of jobs that are to be stored in batches.
#[derive(Default)]
pub struct Acceptor {
    queue: RefCell<VecDeque<PendingInsert>>,
    /// Waiters of repeated requests, by job that is queued or in a transaction.
    joined: RefCell<HashMap<JobId, Vec<oneshot::Sender<Stored>>>>,
    in_flight: Cell<usize>,
    /// Jobs whose latest write has no answer, with the time until when it may be carried out.
    unknown: RefCell<HashMap<JobId, Duration>>,
}

impl Acceptor {
    /// Makes one attempt to store a job for a caller with the access, and waits for its result, at most
    /// until the deadline.
    pub async fn accept(
        self: &Rc<Self>,
        node: &Rc<Node>,
        id: JobId,
        insert: JobInsert,
        access: &Access,
        deadline: Duration,
    ) -> Acceptance {
        let remaining = deadline.saturating_sub(now());
        // A request that joins an earlier one sends no write of its own.
        if !self.is_joinable(&id)
            && !node.store_health.may_write(remaining).await
            && !self.is_joinable(&id)
        {
            return self.refusal(&id);
        }
        let (sender, receiver) = oneshot::channel();
        if let Some(waiters) = self.joined.borrow_mut().get_mut(&id) {
            // An earlier request is already storing a job with this identifier.
            waiters.push(sender);
        } else {
            self.joined.borrow_mut().insert(id.clone(), Vec::new());
            self.queue.borrow_mut().push_back(PendingInsert {
                id: id.clone(),
                insert,
                waiters: vec![sender],
            });
            self.start_transactions(node);
        }
        let remaining = deadline.saturating_sub(now());
        match tokio::time::timeout(remaining, receiver).await {
            Ok(Ok(stored)) => stored.acceptance(access),
            Ok(Err(_)) | Err(_) if self.withdraw(&id) => Acceptance::NotStored,
            Ok(Err(_)) | Err(_) => Acceptance::Unknown,
        }
    }

    fn is_joinable(&self, id: &JobId) -> bool {
        self.joined.borrow().contains_key(id)
    }

    /// Returns the result for a job of which no write is sent: an earlier one may still take effect.
    fn refusal(&self, id: &JobId) -> Acceptance {
        let until = self.unknown.borrow().get(id).copied();
        if until.is_some_and(|until| now() < until) {
            Acceptance::Unknown
        } else {
            Acceptance::NotStored
        }
    }

    /// Remembers that a write of the job has no answer.
    fn record_unknown(&self, id: &JobId) {
        let mut unknown = self.unknown.borrow_mut();
        let at = now();
        unknown.retain(|_, until| at < *until);
        unknown.insert(id.clone(), at + MAX_WRITE_DELAY);
    }

    /// Removes a job that is in no transaction yet; returns false if it may be in one.
    fn withdraw(&self, id: &JobId) -> bool {
        let mut queue = self.queue.borrow_mut();
        let Some(index) = queue.iter().position(|pending| pending.id == *id) else {
            return false;
        };
        let pending = queue.remove(index);
        drop(queue);
        if let Some(pending) = pending {
            self.complete(pending, &Stored::Refused);
        }
        true
    }

    fn start_transactions(self: &Rc<Self>, node: &Rc<Node>) {
        while self.in_flight.get() < MAX_IN_FLIGHT && !self.queue.borrow().is_empty() {
            let mut batch = Vec::new();
            let mut queue = self.queue.borrow_mut();
            let (mut entries, mut bytes) = (0, 0);
            while let Some(pending) = queue.pop_front() {
                entries += pending.insert.entries();
                bytes += pending.insert.bytes();
                let full = entries > MAX_TXN_ENTRIES || bytes > MAX_TXN_BYTES;
                if full && !batch.is_empty() {
                    queue.push_front(pending);
                    break;
                }
                batch.push(pending);
            }
            drop(queue);
            self.in_flight.set(self.in_flight.get() + 1);
            let this = self.clone();
            let node = node.clone();
            tokio::task::spawn_local(async move {
                this.store(&node, batch).await;
                this.in_flight.set(this.in_flight.get() - 1);
                this.start_transactions(&node);
            });
        }
    }

    /// Stores a batch in one transaction. If the store does not accept its content, each job is tried
    /// alone.
    async fn store(&self, node: &Rc<Node>, batch: Vec<PendingInsert>) {
        let mut rejected = self.store_together(node, batch).await;
        if rejected.len() > 1 {
            for pending in std::mem::take(&mut rejected) {
                rejected.extend(self.store_together(node, vec![pending]).await);
            }
        }
        for pending in rejected {
            self.complete(pending, &Stored::Refused);
        }
    }

    /// Stores a batch in one transaction. If some of the jobs exist already, the others are tried
    /// again without them. Returns the jobs of a transaction whose content the store does not accept.
    async fn store_together(
        &self,
        node: &Rc<Node>,
        mut batch: Vec<PendingInsert>,
    ) -> Vec<PendingInsert> {
        while !batch.is_empty() {
            let mut txn = Txn::default();
            for pending in &batch {
                for key in &pending.insert.absent {
                    txn = txn.absent(key.clone()).or_read(key.clone());
                }
                if let Some((key, revision)) = &pending.insert.replaced {
                    txn = txn.unchanged(key.clone(), *revision).or_read(key.clone());
                }
                for (key, value) in &pending.insert.puts {
                    txn = txn.put(key.clone(), value.clone());
                }
            }
            match send(node, txn).await {
                Ok(reply) if reply.committed => {
                    node.record_store_call(true);
                    for pending in batch.drain(..) {
                        let stored = Stored::Held(pending.insert.organisation.clone());
                        self.complete(pending, &stored);
                    }
                }
                Ok(reply) => {
                    let mut remaining = Vec::new();
                    for mut pending in batch.drain(..) {
                        if let Some(insert) = replaced_tombstone(&reply.found, &pending.insert) {
                            pending.insert = insert;
                            remaining.push(pending);
                            continue;
                        }
                        match holder(&reply.found, &pending.insert) {
                            Some(stored) => self.complete(pending, &stored),
                            // The tombstone has expired since it was read.
                            None if pending.insert.replaced.is_some() => {
                                self.complete(pending, &Stored::Refused);
                            }
                            None => remaining.push(pending),
                        }
                    }
                    batch = remaining;
                }
                Err(StoreError::AnswerLost { .. }) => {
                    node.record_store_call(false);
                    node.metrics
                        .retries
                        .with_label_values(&["store_answer_lost"])
                        .inc();
                    for pending in batch.drain(..) {
                        self.record_unknown(&pending.id);
                        self.complete(pending, &Stored::Unknown);
                    }
                }
                Err(StoreError::Rejected { reason }) => {
                    node.record_store_call(true);
                    let jobs = batch.len();
                    log::warn!("the store does not accept a transaction of {jobs} jobs: {reason}");
                    return batch;
                }
                Err(_) => {
                    node.record_store_call(false);
                    for pending in batch.drain(..) {
                        self.complete(pending, &Stored::Refused);
                    }
                }
            }
        }
        Vec::new()
    }

    fn complete(&self, pending: PendingInsert, stored: &Stored) {
        let joined = self
            .joined
            .borrow_mut()
            .remove(&pending.id)
            .unwrap_or_default();
        for waiter in pending.waiters.into_iter().chain(joined) {
            // If the caller has disconnected, the job stays accepted.
            let _ = waiter.send(stored.clone());
        }
    }
}

/// Sends a transaction. If there is no answer for some time, it is found out whether the store is away.
async fn send(node: &Node, txn: Txn) -> StoreResult<TxnReply> {
    let mut answer = (node.platform.store.txn)(txn);
    if let Ok(answer) = tokio::time::timeout(SUSPICION_DELAY, &mut answer).await {
        return answer;
    }
    let answered = node.last_answer.get();
    if answered.is_none_or(|at| now() >= at + SUSPICION_DELAY) {
        node.store_health.suspect();
    }
    answer.await
}
