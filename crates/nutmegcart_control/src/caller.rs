//! Callers' requests about jobs: submit, show, cancel and count.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_jobs::AcceptedJob;
use nutmegcart_jobs::FinalState;
use nutmegcart_jobs::Job;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::JobRecord;
use nutmegcart_jobs::JobState;
use nutmegcart_jobs::Queue;
use nutmegcart_jobs::layout::cell_for_long_running;
use nutmegcart_jobs::record::decode;
use nutmegcart_jobs::record::encode;
use nutmegcart_jobs::worker::millis;
use nutmegcart_model::Code;
use nutmegcart_model::Event;
use nutmegcart_model::log_event;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::Txn;

use crate::accept::Acceptance;
use crate::accept::Acceptor;
use crate::accept::Placement;
use crate::clock::now;
use crate::clock::unix_ms;
use crate::keys;
use crate::node::CellView;
use crate::node::Cells;
use crate::node::Node;
use crate::peer;
use crate::peer::Answer as PeerAnswer;
use crate::peer::Cancellation;
use crate::peer::PeerError;
use crate::peer::Question;

/// Time kept back from a deadline so that the answer still arrives.
const ANSWER_MARGIN: Duration = Duration::from_millis(60);
/// Pause before a call to the store whose answer was lost is made again.
const REPEAT_PAUSE: Duration = Duration::from_millis(50);
/// Peers asked in turn to store a job; one that reaches the store is soon among them.
const MOST_HELPERS: usize = 4;
/// Longest wait for a peer that stores for this instance.
const HELP_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after which a caller should come back when the store does not take jobs. Outages last
/// seconds, and a second is the least that the header can say.
const STORE_RETRY: Duration = Duration::from_secs(1);

/// Times that the owner of a cell is asked for its count.
const COUNT_TRIES: usize = 3;

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Hands a job in to a queue.
    Submit(Arc<Queue>, JobId, Box<Job>),
    /// Asks for a job's state.
    Show(JobId),
    /// Cancels a job.
    Cancel(JobId),
    /// Asks how many jobs of a queue have started no task.
    Count(Arc<Queue>),
}

impl Request {
    const fn kind(&self) -> &'static str {
        match self {
            Self::Submit(..) => "submit",
            Self::Show(_) => "show",
            Self::Cancel(_) => "cancel",
            Self::Count(_) => "count",
        }
    }
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The job is accepted and stored.
    Accepted,
    /// The state of the job.
    State(JobState),
    /// The job is cancelled, or had ended before.
    Cancelled,
    /// The number of jobs that have started no task.
    Waiting(u64),
    /// No such job exists.
    Gone,
    /// The request was refused or its outcome is unknown.
    Refused {
        /// Why.
        code: Code,
        /// Time after which the caller should try again.
        retry: Option<Duration>,
    },
}

impl Answer {
    /// Refuses a request with a code.
    #[must_use]
    pub const fn refused(code: Code) -> Self {
        Self::Refused { code, retry: None }
    }

    const fn label(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::State(_) => "shown",
            Self::Cancelled => "cancelled",
            Self::Waiting(_) => "counted",
            Self::Gone => "gone",
            Self::Refused { code, .. } => code.label(),
        }
    }
}

/// Answers callers.
#[derive(Clone, Default)]
pub struct Desk {
    acceptor: Rc<Acceptor>,
}

impl Desk {
    /// Answers a request, `limit` after now at the latest.
    pub async fn handle(&self, node: &Rc<Node>, request: Request, limit: Duration) -> Answer {
        let start = now();
        let deadline = start + limit.saturating_sub(ANSWER_MARGIN);
        let kind = request.kind();
        let Some(cells) = node.cells() else {
            return Answer::Refused {
                code: Code::NoConfiguration,
                retry: Some(STORE_RETRY),
            };
        };
        node.active.set(node.active.get() + 1);
        let answer = match request {
            Request::Submit(queue, id, job) => {
                self.submit(node, &cells, &queue, id, *job, deadline).await
            }
            Request::Show(id) => show(node, &cells, id, deadline).await,
            Request::Cancel(id) => cancel(node, &cells, id, deadline).await,
            Request::Count(queue) => count(node, &cells, &queue).await,
        };
        node.active.set(node.active.get() - 1);
        node.metrics
            .requests
            .with_label_values(&[kind, answer.label()])
            .inc();
        if let Answer::Refused { code, .. } = &answer {
            node.metrics
                .refusals
                .with_label_values(&[code.label()])
                .inc();
        }
        node.metrics
            .latency
            .observe(now().saturating_sub(start).as_secs_f64());
        answer
    }

    async fn submit(
        &self,
        node: &Rc<Node>,
        cells: &Cells,
        queue: &Arc<Queue>,
        id: JobId,
        job: Job,
        deadline: Duration,
    ) -> Answer {
        if let Err(error) = job.check() {
            log_event!(
                Event::JobRefused,
                job = id,
                queue = queue.key,
                reason = error
            );
            return Answer::refused(Code::BadRequest);
        }
        let accepted = AcceptedJob {
            queue: (**queue).clone(),
            at: unix_ms(),
            job,
        };
        let start = now();
        let tasks: u32 = accepted.job.steps.iter().map(|step| step.count).sum();
        let acceptance = self.settle(node, cells, &id, &accepted, deadline).await;
        let took = now().saturating_sub(start);
        node.metrics.acceptance.observe(took.as_secs_f64());
        let took = took.as_millis();
        match acceptance {
            Acceptance::Stored => {
                log_event!(
                    Event::JobAccepted,
                    job = id,
                    queue = queue.key,
                    tasks = tasks,
                    took_ms = took
                );
                Answer::Accepted
            }
            Acceptance::NotStored => {
                log_event!(
                    Event::JobRefused,
                    job = id,
                    queue = queue.key,
                    reason = "store",
                    took_ms = took
                );
                Answer::Refused {
                    code: Code::StoreUnavailable,
                    retry: Some(STORE_RETRY),
                }
            }
            Acceptance::Unsettled => {
                log_event!(
                    Event::JobUnsettled,
                    job = id,
                    queue = queue.key,
                    took_ms = took
                );
                Answer::refused(Code::AnswerTimeout)
            }
        }
    }
}

impl Desk {
    /// Stores a job through the store or, while that fails here, through a peer that reaches it.
    ///
    /// The transaction demands that the job does not exist yet. So any number of attempts may be
    /// under way, here and at peers, and the first definite answer holds for all of them. Only if
    /// no attempt is left whose effect is open may the job be refused as not run.
    async fn settle(
        &self,
        node: &Rc<Node>,
        cells: &Cells,
        id: &JobId,
        accepted: &AcceptedJob,
        deadline: Duration,
    ) -> Acceptance {
        let cell = cells.of_job(id).number;
        let mut uncertain = false;
        let mut through_peer = node.trouble.get().is_some();
        let mut helpers = node.helpers(cell).into_iter().take(MOST_HELPERS);
        let mut tried = false;
        loop {
            let helper = if through_peer { helpers.next() } else { None };
            let exhausted = helper.is_none() && through_peer;
            let acceptance = if let Some(helper) = helper {
                node.metrics
                    .retries
                    .with_label_values(&["store_through_peer"])
                    .inc();
                submit_at(node, helper, id, accepted, deadline).await
            } else {
                if tried {
                    tokio::time::sleep(REPEAT_PAUSE).await;
                    helpers = node.helpers(cell).into_iter().take(MOST_HELPERS);
                }
                tried = true;
                let placement = place(node, cells, id, accepted).await;
                self.acceptor
                    .accept(node, id.clone(), placement, deadline)
                    .await
            };
            through_peer = true;
            match acceptance {
                Acceptance::Stored => return Acceptance::Stored,
                Acceptance::NotStored
                    if !uncertain && tried && (exhausted || helpers.len() == 0) =>
                {
                    return Acceptance::NotStored;
                }
                Acceptance::NotStored => {}
                Acceptance::Unsettled => uncertain = true,
            }
            if now() + REPEAT_PAUSE >= deadline {
                return if uncertain {
                    Acceptance::Unsettled
                } else {
                    Acceptance::NotStored
                };
            }
        }
    }

    /// Makes one attempt at storing a job for a peer.
    pub async fn store_for_peer(
        &self,
        node: &Rc<Node>,
        id: JobId,
        accepted: AcceptedJob,
        limit: Duration,
    ) -> Acceptance {
        let Some(cells) = node.cells().filter(|_| node.trouble.get().is_none()) else {
            return Acceptance::NotStored;
        };
        let placement = place(node, &cells, &id, &accepted).await;
        self.acceptor
            .accept(node, id, placement, now() + limit)
            .await
    }
}

async fn submit_at(
    node: &Rc<Node>,
    helper: SocketAddr,
    id: &JobId,
    accepted: &AcceptedJob,
    deadline: Duration,
) -> Acceptance {
    let limit = deadline.saturating_sub(now()).min(HELP_TIMEOUT);
    let question = Question::Submit(id.clone(), Box::new(accepted.clone()), millis(limit));
    match peer::ask_at(node, helper, &question, limit).await {
        Ok(PeerAnswer::Accepted(acceptance)) => acceptance,
        Ok(_) | Err(PeerError::NoOwner | PeerError::Unreachable { .. }) => Acceptance::NotStored,
        Err(error) => {
            log::debug!("peer {helper} did not answer on {id}: {error}");
            Acceptance::Unsettled
        }
    }
}

/// Places a job in the cell that its identifier tells, or in the least loaded one if it lasts.
///
/// Attempts of several instances may choose different cells. Each demands that neither the
/// identifier's own cell nor an earlier choice holds the job, so one of them takes effect.
async fn place(node: &Rc<Node>, cells: &Cells, id: &JobId, accepted: &AcceptedJob) -> Placement {
    let own = cells.of_job(id);
    let mut placement = Placement::new(own.keys.job(id), accepted);
    if cells.views.len() == 1 || !accepted.job.is_long_running() {
        return placement;
    }
    let view = least_loaded(node, cells, accepted).await;
    placement.absent.push(keys::placed(id));
    if view.number != own.number {
        let elsewhere = Placement::new(view.keys.job(id), accepted);
        placement.absent.extend(elsewhere.absent);
        placement.puts = elsewhere.puts;
        let cell = encode(&view.number);
        placement.puts.push((keys::placed(id), cell));
    }
    placement
}

/// Asks all owners how many workers their lasting tasks hold.
async fn least_loaded(node: &Rc<Node>, cells: &Cells, accepted: &AcceptedJob) -> Rc<CellView> {
    let load = |view: &Rc<CellView>| {
        let (node, question) = (node.clone(), Question::Lasting(view.number));
        tokio::task::spawn_local(async move { peer::ask(&node, &question).await })
    };
    let asked: Vec<_> = cells.views.iter().map(load).collect();
    let mut loads = Vec::new();
    for task in asked {
        loads.push(match task.await {
            Ok(Ok(PeerAnswer::Lasting(workers))) => Some(workers),
            _ => None,
        });
    }
    let configuration = node.configuration.borrow().clone();
    let pools = configuration.iter().flat_map(|each| &each.pools);
    let mut served: Vec<_> = pools
        .filter(|(_, config)| !config.spare)
        .map(|(pool, _)| pool.clone())
        .collect();
    served.sort();
    let rank = served.iter().position(|pool| *pool == accepted.queue.pool);
    let cell = cell_for_long_running(&loads, rank.unwrap_or_default());
    cells.views[cell as usize].clone()
}

/// Returns the cell in which a job was placed although its identifier tells another one.
async fn placed(
    node: &Rc<Node>,
    cells: &Cells,
    id: &JobId,
) -> Result<Option<Rc<CellView>>, StoreError> {
    if cells.views.len() == 1 {
        return Ok(None);
    }
    let Some(item) = (node.platform.store.get)(keys::placed(id)).await? else {
        return Ok(None);
    };
    match decode::<u32>(&item.value) {
        Ok(cell) => Ok(cells.views.get(cell as usize).cloned()),
        Err(error) => {
            log_event!(Event::JobRecordInvalid, key = item.key, reason = error);
            Ok(None)
        }
    }
}

/// Shows a job by the owner's memory, or by the store if the owner does not know it.
async fn show(node: &Rc<Node>, cells: &Cells, id: JobId, deadline: Duration) -> Answer {
    let mut view = cells.of_job(&id).clone();
    let mut moved = false;
    loop {
        match peer::ask(node, &Question::State(view.number, id.clone())).await {
            Ok(PeerAnswer::State(Some(state))) => return Answer::State(state),
            Ok(_) => {}
            Err(error) => {
                node.metrics
                    .retries
                    .with_label_values(&["owner_silent"])
                    .inc();
                log::debug!("owner not asked about {id}: {error}");
            }
        }
        match look_up(node, &view, &id).await {
            Ok(Some(answer)) => return answer,
            Ok(None) if moved => return Answer::Gone,
            Ok(None) => match placed(node, cells, &id).await {
                Ok(Some(other)) => {
                    moved = true;
                    view = other;
                }
                Ok(None) => return Answer::Gone,
                Err(_) if now() + REPEAT_PAUSE < deadline => {}
                Err(_) => return store_unavailable(),
            },
            Err(_) if now() + REPEAT_PAUSE < deadline => {
                tokio::time::sleep(REPEAT_PAUSE * 2).await;
            }
            Err(_) => return store_unavailable(),
        }
    }
}

const fn store_unavailable() -> Answer {
    Answer::Refused {
        code: Code::StoreUnavailable,
        retry: Some(STORE_RETRY),
    }
}

/// Returns what the store says about a job of a cell, if it holds the job.
async fn look_up(
    node: &Rc<Node>,
    view: &CellView,
    id: &JobId,
) -> Result<Option<Answer>, StoreError> {
    let Some(item) = (node.platform.store.get)(view.keys.job(id)).await? else {
        return Ok(None);
    };
    Ok(Some(match decode(&item.value) {
        Ok(JobRecord::Ended { how, .. }) => Answer::State(JobState::Ended(how)),
        Ok(JobRecord::Accepted(_)) => Answer::State(JobState::Pending),
        Err(error) => {
            log_event!(Event::JobRecordInvalid, job = id, reason = error);
            Answer::refused(Code::JobUnreadable)
        }
    }))
}

/// Cancels a job in the store, where its owner sees it, through a peer if the store fails here.
async fn cancel(node: &Rc<Node>, cells: &Cells, id: JobId, deadline: Duration) -> Answer {
    let cell = cells.of_job(&id).number;
    let mut helpers = node.helpers(cell).into_iter();
    let mut through_peer = node.trouble.get().is_some();
    loop {
        let helper = if through_peer { helpers.next() } else { None };
        if let Some(helper) = helper {
            let limit = deadline.saturating_sub(now()).min(HELP_TIMEOUT);
            let question = Question::Cancel(id.clone(), millis(limit));
            match peer::ask_at(node, helper, &question, limit).await {
                Ok(PeerAnswer::Cancelled(Cancellation::Done)) => return Answer::Cancelled,
                Ok(PeerAnswer::Cancelled(Cancellation::Gone)) => return Answer::Gone,
                Ok(_) | Err(_) => {}
            }
        } else {
            helpers = node.helpers(cell).into_iter();
            match try_cancel(node, cells, &id).await {
                Ok(Some(answer)) => return answer,
                Ok(None) => continue,
                Err(_) => through_peer = true,
            }
        }
        if now() + REPEAT_PAUSE >= deadline {
            return Answer::refused(Code::AnswerTimeout);
        }
        node.metrics
            .retries
            .with_label_values(&["store_cancel"])
            .inc();
        tokio::time::sleep(REPEAT_PAUSE).await;
    }
}

/// Cancels a job for a peer that does not reach the store.
pub async fn cancel_for_peer(node: &Rc<Node>, id: &JobId, limit: Duration) -> Cancellation {
    let Some(cells) = node.cells() else {
        return Cancellation::Unsettled;
    };
    let deadline = now() + limit;
    while now() < deadline && node.trouble.get().is_none() {
        match try_cancel(node, &cells, id).await {
            Ok(Some(Answer::Cancelled)) => return Cancellation::Done,
            Ok(Some(Answer::Gone)) => return Cancellation::Gone,
            Ok(None) => {}
            Ok(Some(_)) | Err(_) => break,
        }
    }
    Cancellation::Unsettled
}

/// Makes one attempt; nothing if another write came first.
async fn try_cancel(
    node: &Rc<Node>,
    cells: &Cells,
    id: &JobId,
) -> Result<Option<Answer>, StoreError> {
    let mut key = cells.of_job(id).keys.job(id);
    let mut item = (node.platform.store.get)(key.clone()).await?;
    if item.is_none()
        && let Some(view) = placed(node, cells, id).await?
    {
        key = view.keys.job(id);
        item = (node.platform.store.get)(key.clone()).await?;
    }
    let Some(item) = item else {
        return Ok(Some(Answer::Gone));
    };
    match decode::<JobRecord>(&item.value) {
        Ok(JobRecord::Ended { .. }) => return Ok(Some(Answer::Cancelled)),
        Ok(JobRecord::Accepted(_)) => {}
        Err(error) => {
            log_event!(Event::JobRecordInvalid, job = id, reason = error);
            return Ok(Some(Answer::refused(Code::JobUnreadable)));
        }
    }
    let ended = JobRecord::Ended {
        how: FinalState::Cancelled,
        at: unix_ms(),
    };
    let txn = Txn::default()
        .unchanged(key.clone(), item.modified)
        .put(key, encode(&ended));
    let reply = (node.platform.store.txn)(txn).await?;
    if !reply.committed {
        return Ok(None);
    }
    log_event!(
        Event::CallerJobCancelled,
        job = id,
        revision = reply.revision
    );
    Ok(Some(Answer::Cancelled))
}

/// Sums what the owners of all cells count.
async fn count(node: &Rc<Node>, cells: &Cells, queue: &Arc<Queue>) -> Answer {
    let ask = |view: &Rc<CellView>| {
        tokio::task::spawn_local(count_in(node.clone(), view.number, queue.clone()))
    };
    let asked: Vec<_> = cells.views.iter().map(ask).collect();
    let mut sum = 0;
    for task in asked {
        let Ok(Some(count)) = task.await else {
            return Answer::Refused {
                code: Code::DutyVacant,
                retry: Some(STORE_RETRY),
            };
        };
        sum += count;
    }
    Answer::Waiting(sum)
}

async fn count_in(node: Rc<Node>, cell: u32, queue: Arc<Queue>) -> Option<u64> {
    let question = Question::Waiting(cell, queue.key.clone());
    for _ in 0..COUNT_TRIES {
        if let Ok(PeerAnswer::Waiting(count)) = peer::ask(&node, &question).await {
            return Some(count);
        }
        tokio::time::sleep(REPEAT_PAUSE).await;
    }
    None
}
