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

use crate::acceptor::Acceptance;
use crate::acceptor::Acceptor;
use crate::acceptor::JobInsert;
use crate::clock::now;
use crate::clock::unix_ms;
use crate::keys;
use crate::node::CellView;
use crate::node::Cells;
use crate::node::Node;
use crate::peer;
use crate::peer::Cancellation;
use crate::peer::PeerError;
use crate::peer::PeerRequest;
use crate::peer::PeerResponse;

/// Time kept back from a deadline so that the answer still arrives.
const RESPONSE_MARGIN: Duration = Duration::from_millis(60);
/// Pause before a call to the store whose answer was lost is made again.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Peers asked in turn to store a job; one that reaches the store is soon among them.
const MAX_HELPERS: usize = 4;
/// Longest wait for a peer that stores for this instance.
const HELPER_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after which a caller should come back when the store does not take jobs. Outages last
/// seconds, and a second is the least that the header can say.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Times that the owner of a cell is asked for its count.
const COUNT_ATTEMPTS: usize = 3;

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerRequest {
    /// Hands a job in to a queue.
    Submit(Arc<Queue>, JobId, Box<Job>),
    /// Asks for a job's state.
    Show(JobId),
    /// Cancels a job.
    Cancel(JobId),
    /// Asks how many jobs of a queue have started no task.
    Count(Arc<Queue>),
}

impl CallerRequest {
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
pub enum CallerResponse {
    /// The job is accepted and stored.
    Accepted,
    /// The state of the job.
    State(JobState),
    /// The job is cancelled, or had ended before.
    Cancelled,
    /// The number of jobs that have started no task.
    Waiting(u64),
    /// No such job exists.
    NotFound,
    /// The request was refused or its outcome is unknown.
    Refused {
        /// Why.
        code: Code,
        /// Time after which the caller should try again.
        retry_after: Option<Duration>,
    },
}

impl CallerResponse {
    /// Refuses a request with a code.
    #[must_use]
    pub const fn refused(code: Code) -> Self {
        Self::Refused {
            code,
            retry_after: None,
        }
    }

    const fn label(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::State(_) => "shown",
            Self::Cancelled => "cancelled",
            Self::Waiting(_) => "counted",
            Self::NotFound => "gone",
            Self::Refused { code, .. } => code.label(),
        }
    }
}

/// Answers callers.
#[derive(Clone, Default)]
pub struct JobService {
    acceptor: Rc<Acceptor>,
}

impl JobService {
    /// Answers a request, `limit` after now at the latest.
    pub async fn handle(
        &self,
        node: &Rc<Node>,
        request: CallerRequest,
        limit: Duration,
    ) -> CallerResponse {
        let start = now();
        let deadline = start + limit.saturating_sub(RESPONSE_MARGIN);
        let kind = request.kind();
        let Some(cells) = node.cells() else {
            return CallerResponse::Refused {
                code: Code::NoConfiguration,
                retry_after: Some(RETRY_AFTER),
            };
        };
        node.active_requests.set(node.active_requests.get() + 1);
        let answer = match request {
            CallerRequest::Submit(queue, id, job) => {
                self.submit(node, &cells, &queue, id, *job, deadline).await
            }
            CallerRequest::Show(id) => show(node, &cells, id, deadline).await,
            CallerRequest::Cancel(id) => cancel(node, &cells, id, deadline).await,
            CallerRequest::Count(queue) => count(node, &cells, &queue).await,
        };
        node.active_requests.set(node.active_requests.get() - 1);
        node.metrics
            .requests
            .with_label_values(&[kind, answer.label()])
            .inc();
        if let CallerResponse::Refused { code, .. } = &answer {
            node.metrics
                .refusals
                .with_label_values(&[code.label()])
                .inc();
        }
        node.metrics
            .request_latency
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
    ) -> CallerResponse {
        if let Err(error) = job.check() {
            log_event!(
                Event::JobRefused,
                job = id,
                queue = queue.key,
                reason = error
            );
            return CallerResponse::refused(Code::BadRequest);
        }
        let accepted = AcceptedJob {
            queue: (**queue).clone(),
            at: unix_ms(),
            job,
        };
        let start = now();
        let tasks: u32 = accepted.job.steps.iter().map(|step| step.count).sum();
        let acceptance = self.store_job(node, cells, &id, &accepted, deadline).await;
        let took = now().saturating_sub(start);
        node.metrics.acceptance_latency.observe(took.as_secs_f64());
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
                CallerResponse::Accepted
            }
            Acceptance::NotStored => {
                log_event!(
                    Event::JobRefused,
                    job = id,
                    queue = queue.key,
                    reason = "store",
                    took_ms = took
                );
                CallerResponse::Refused {
                    code: Code::StoreUnavailable,
                    retry_after: Some(RETRY_AFTER),
                }
            }
            Acceptance::Unknown => {
                log_event!(
                    Event::JobAcceptanceUnknown,
                    job = id,
                    queue = queue.key,
                    took_ms = took
                );
                CallerResponse::refused(Code::AnswerTimeout)
            }
        }
    }
}

impl JobService {
    /// Stores a job through the store or, while that fails here, through a peer that reaches it.
    ///
    /// The transaction demands that the job does not exist yet. So any number of attempts may be
    /// under way, here and at peers, and the first definite answer holds for all of them. Only if
    /// no attempt is left whose effect is open may the job be refused as not run.
    async fn store_job(
        &self,
        node: &Rc<Node>,
        cells: &Cells,
        id: &JobId,
        accepted: &AcceptedJob,
        deadline: Duration,
    ) -> Acceptance {
        let cell = cells.of_job(id).number;
        let mut outcome_unknown = false;
        let mut through_peer = node.failing_since.get().is_some();
        let mut helpers = node.helpers(cell).into_iter().take(MAX_HELPERS);
        let mut tried_store = false;
        loop {
            let helper = if through_peer { helpers.next() } else { None };
            let exhausted = helper.is_none() && through_peer;
            let acceptance = if let Some(helper) = helper {
                node.metrics
                    .retries
                    .with_label_values(&["store_through_peer"])
                    .inc();
                store_through_peer(node, helper, id, accepted, deadline).await
            } else {
                if tried_store {
                    tokio::time::sleep(RETRY_DELAY).await;
                    helpers = node.helpers(cell).into_iter().take(MAX_HELPERS);
                }
                tried_store = true;
                let insert = plan_insert(node, cells, id, accepted).await;
                self.acceptor
                    .accept(node, id.clone(), insert, deadline)
                    .await
            };
            through_peer = true;
            match acceptance {
                Acceptance::Stored => return Acceptance::Stored,
                Acceptance::NotStored
                    if !outcome_unknown && tried_store && (exhausted || helpers.len() == 0) =>
                {
                    return Acceptance::NotStored;
                }
                Acceptance::NotStored => {}
                Acceptance::Unknown => outcome_unknown = true,
            }
            if now() + RETRY_DELAY >= deadline {
                return if outcome_unknown {
                    Acceptance::Unknown
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
        let Some(cells) = node.cells().filter(|_| node.failing_since.get().is_none()) else {
            return Acceptance::NotStored;
        };
        let insert = plan_insert(node, &cells, &id, &accepted).await;
        self.acceptor.accept(node, id, insert, now() + limit).await
    }
}

async fn store_through_peer(
    node: &Rc<Node>,
    helper: SocketAddr,
    id: &JobId,
    accepted: &AcceptedJob,
    deadline: Duration,
) -> Acceptance {
    let limit = deadline.saturating_sub(now()).min(HELPER_TIMEOUT);
    let request = PeerRequest::Submit(id.clone(), Box::new(accepted.clone()), millis(limit));
    match peer::send(node, helper, &request, limit).await {
        Ok(PeerResponse::Accepted(acceptance)) => acceptance,
        Ok(_) | Err(PeerError::NoOwner | PeerError::Unreachable { .. }) => Acceptance::NotStored,
        Err(error) => {
            log::debug!("peer {helper} did not answer on {id}: {error}");
            Acceptance::Unknown
        }
    }
}

/// Places a job in the cell that its identifier tells, or in the least loaded one if it lasts.
///
/// Attempts of several instances may choose different cells. Each demands that neither the
/// identifier's own cell nor an earlier choice holds the job, so one of them takes effect.
async fn plan_insert(
    node: &Rc<Node>,
    cells: &Cells,
    id: &JobId,
    accepted: &AcceptedJob,
) -> JobInsert {
    let own = cells.of_job(id);
    let mut insert = JobInsert::new(own.keys.job(id), accepted);
    if cells.views.len() == 1 || !accepted.job.is_long_running() {
        return insert;
    }
    let view = least_loaded(node, cells, accepted).await;
    insert.absent.push(keys::job_location(id));
    if view.number != own.number {
        let elsewhere = JobInsert::new(view.keys.job(id), accepted);
        insert.absent.extend(elsewhere.absent);
        insert.puts = elsewhere.puts;
        let cell = encode(&view.number);
        insert.puts.push((keys::job_location(id), cell));
    }
    insert
}

/// Asks all owners how many workers their lasting tasks hold.
async fn least_loaded(node: &Rc<Node>, cells: &Cells, accepted: &AcceptedJob) -> Rc<CellView> {
    let load = |view: &Rc<CellView>| {
        let (node, request) = (node.clone(), PeerRequest::Lasting(view.number));
        tokio::task::spawn_local(async move { peer::ask_owner(&node, &request).await })
    };
    let asked: Vec<_> = cells.views.iter().map(load).collect();
    let mut loads = Vec::new();
    for task in asked {
        loads.push(match task.await {
            Ok(Ok(PeerResponse::Lasting(workers))) => Some(workers),
            _ => None,
        });
    }
    let configuration = node.configuration.borrow().clone();
    let pools = configuration.iter().flat_map(|each| &each.pools);
    let mut serving: Vec<_> = pools
        .filter(|(_, config)| !config.spare)
        .map(|(pool, _)| pool.clone())
        .collect();
    serving.sort();
    let rank = serving.iter().position(|pool| *pool == accepted.queue.pool);
    let cell = cell_for_long_running(&loads, rank.unwrap_or_default());
    cells.views[cell as usize].clone()
}

/// Returns the cell in which a job was placed although its identifier tells another one.
async fn relocated_cell(
    node: &Rc<Node>,
    cells: &Cells,
    id: &JobId,
) -> Result<Option<Rc<CellView>>, StoreError> {
    if cells.views.len() == 1 {
        return Ok(None);
    }
    let Some(item) = (node.platform.store.get)(keys::job_location(id)).await? else {
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
async fn show(node: &Rc<Node>, cells: &Cells, id: JobId, deadline: Duration) -> CallerResponse {
    let mut view = cells.of_job(&id).clone();
    let mut moved = false;
    loop {
        match peer::ask_owner(node, &PeerRequest::State(view.number, id.clone())).await {
            Ok(PeerResponse::State(Some(state))) => return CallerResponse::State(state),
            Ok(_) => {}
            Err(error) => {
                node.metrics
                    .retries
                    .with_label_values(&["owner_silent"])
                    .inc();
                log::debug!("owner not asked about {id}: {error}");
            }
        }
        match read_from_store(node, &view, &id).await {
            Ok(Some(answer)) => return answer,
            Ok(None) if moved => return CallerResponse::NotFound,
            Ok(None) => match relocated_cell(node, cells, &id).await {
                Ok(Some(other)) => {
                    moved = true;
                    view = other;
                }
                Ok(None) => return CallerResponse::NotFound,
                Err(_) if now() + RETRY_DELAY < deadline => {}
                Err(_) => return store_unavailable(),
            },
            Err(_) if now() + RETRY_DELAY < deadline => {
                tokio::time::sleep(RETRY_DELAY * 2).await;
            }
            Err(_) => return store_unavailable(),
        }
    }
}

const fn store_unavailable() -> CallerResponse {
    CallerResponse::Refused {
        code: Code::StoreUnavailable,
        retry_after: Some(RETRY_AFTER),
    }
}

/// Returns what the store says about a job of a cell, if it holds the job.
async fn read_from_store(
    node: &Rc<Node>,
    view: &CellView,
    id: &JobId,
) -> Result<Option<CallerResponse>, StoreError> {
    let Some(item) = (node.platform.store.get)(view.keys.job(id)).await? else {
        return Ok(None);
    };
    Ok(Some(match decode(&item.value) {
        Ok(JobRecord::Ended { how, .. }) => CallerResponse::State(JobState::Ended(how)),
        Ok(JobRecord::Accepted(_)) => CallerResponse::State(JobState::Pending),
        Err(error) => {
            log_event!(Event::JobRecordInvalid, job = id, reason = error);
            CallerResponse::refused(Code::JobUnreadable)
        }
    }))
}

/// Cancels a job in the store, where its owner sees it, through a peer if the store fails here.
async fn cancel(node: &Rc<Node>, cells: &Cells, id: JobId, deadline: Duration) -> CallerResponse {
    let cell = cells.of_job(&id).number;
    let mut helpers = node.helpers(cell).into_iter();
    let mut through_peer = node.failing_since.get().is_some();
    loop {
        let helper = if through_peer { helpers.next() } else { None };
        if let Some(helper) = helper {
            let limit = deadline.saturating_sub(now()).min(HELPER_TIMEOUT);
            let request = PeerRequest::Cancel(id.clone(), millis(limit));
            match peer::send(node, helper, &request, limit).await {
                Ok(PeerResponse::Cancelled(Cancellation::Cancelled)) => {
                    return CallerResponse::Cancelled;
                }
                Ok(PeerResponse::Cancelled(Cancellation::NotFound)) => {
                    return CallerResponse::NotFound;
                }
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
        if now() + RETRY_DELAY >= deadline {
            return CallerResponse::refused(Code::AnswerTimeout);
        }
        node.metrics
            .retries
            .with_label_values(&["store_cancel"])
            .inc();
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Cancels a job for a peer that does not reach the store.
pub async fn cancel_for_peer(node: &Rc<Node>, id: &JobId, limit: Duration) -> Cancellation {
    let Some(cells) = node.cells() else {
        return Cancellation::Unknown;
    };
    let deadline = now() + limit;
    while now() < deadline && node.failing_since.get().is_none() {
        match try_cancel(node, &cells, id).await {
            Ok(Some(CallerResponse::Cancelled)) => return Cancellation::Cancelled,
            Ok(Some(CallerResponse::NotFound)) => return Cancellation::NotFound,
            Ok(None) => {}
            Ok(Some(_)) | Err(_) => break,
        }
    }
    Cancellation::Unknown
}

/// Makes one attempt; nothing if another write came first.
async fn try_cancel(
    node: &Rc<Node>,
    cells: &Cells,
    id: &JobId,
) -> Result<Option<CallerResponse>, StoreError> {
    let mut key = cells.of_job(id).keys.job(id);
    let mut item = (node.platform.store.get)(key.clone()).await?;
    if item.is_none()
        && let Some(view) = relocated_cell(node, cells, id).await?
    {
        key = view.keys.job(id);
        item = (node.platform.store.get)(key.clone()).await?;
    }
    let Some(item) = item else {
        return Ok(Some(CallerResponse::NotFound));
    };
    match decode::<JobRecord>(&item.value) {
        Ok(JobRecord::Ended { .. }) => return Ok(Some(CallerResponse::Cancelled)),
        Ok(JobRecord::Accepted(_)) => {}
        Err(error) => {
            log_event!(Event::JobRecordInvalid, job = id, reason = error);
            return Ok(Some(CallerResponse::refused(Code::JobUnreadable)));
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
    Ok(Some(CallerResponse::Cancelled))
}

/// Sums what the owners of all cells count.
async fn count(node: &Rc<Node>, cells: &Cells, queue: &Arc<Queue>) -> CallerResponse {
    let ask = |view: &Rc<CellView>| {
        tokio::task::spawn_local(count_in_cell(node.clone(), view.number, queue.clone()))
    };
    let asked: Vec<_> = cells.views.iter().map(ask).collect();
    let mut sum = 0;
    for task in asked {
        let Ok(Some(count)) = task.await else {
            return CallerResponse::Refused {
                code: Code::DutyVacant,
                retry_after: Some(RETRY_AFTER),
            };
        };
        sum += count;
    }
    CallerResponse::Waiting(sum)
}

async fn count_in_cell(node: Rc<Node>, cell: u32, queue: Arc<Queue>) -> Option<u64> {
    let request = PeerRequest::Waiting(cell, queue.key.clone());
    for _ in 0..COUNT_ATTEMPTS {
        if let Ok(PeerResponse::Waiting(count)) = peer::ask_owner(&node, &request).await {
            return Some(count);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    None
}
