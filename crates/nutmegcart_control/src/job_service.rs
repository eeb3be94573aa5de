//! Handles callers' requests about jobs: submit, show, cancel and count.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_jobs::AcceptedJob;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::Queue;
use nutmegcart_jobs::layout::cell_for_long_running;
use nutmegcart_jobs::worker::millis;
use nutmegcart_model::Code;
use nutmegcart_model::Event;
use nutmegcart_model::log_event;

use crate::acceptor::Acceptance;
use crate::acceptor::Acceptor;
use crate::acceptor::JobInsert;
use crate::acceptor::encode_accepted;
use crate::access::Access;
use crate::access::Caller;
use crate::caller_request::CallerRequest;
use crate::caller_request::CallerResponse;
use crate::caller_request::HELPER_TIMEOUT;
use crate::caller_request::RETRY_AFTER;
use crate::caller_request::RETRY_DELAY;
use crate::clock::now;
use crate::clock::unix_ms;
use crate::job_lookup;
use crate::keys;
use crate::node::CellView;
use crate::node::Cells;
use crate::node::Node;
use crate::peer;
use crate::peer::PeerError;
use crate::peer::PeerRequest;
use crate::peer::PeerResponse;

/// Margin before the caller's deadline, so that the response arrives in time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(60);
/// Number of peers tried in turn to store a job. If any peer reaches the store, a few tries find
/// one.
const MAX_HELPERS: usize = 4;

/// Attempts to get the count from the owner of a cell.
const COUNT_ATTEMPTS: usize = 3;

/// Handles callers' requests. Clones share the queue of jobs to store.
#[derive(Clone, Default)]
pub struct JobService {
    acceptor: Rc<Acceptor>,
}

impl JobService {
    /// Handles a request of a caller with access to all jobs, and responds within `limit`.
    pub async fn handle(
        &self,
        node: &Rc<Node>,
        request: CallerRequest,
        limit: Duration,
    ) -> CallerResponse {
        self.handle_for(node, &Caller::default(), request, limit)
            .await
    }

    /// Handles a request of a caller, and responds within `limit`.
    pub async fn handle_for(
        &self,
        node: &Rc<Node>,
        caller: &Caller,
        request: CallerRequest,
        limit: Duration,
    ) -> CallerResponse {
        let start = now();
        let deadline = start + limit.saturating_sub(RESPONSE_MARGIN);
        let kind = request.kind();
        let access = &caller.access;
        let Some(cells) = node.cells() else {
            return CallerResponse::unavailable(Code::NoConfiguration);
        };
        node.active_requests.set(node.active_requests.get() + 1);
        let answer = match request {
            CallerRequest::Submit(queue, id, job) => {
                let accepted = AcceptedJob {
                    waited_ms: 0,
                    progress: Vec::new(),
                    organisation: caller.organisation.clone(),
                    queue: (*queue).clone(),
                    at: unix_ms(),
                    job: *job,
                };
                self.submit(node, &cells, id, accepted, access, deadline)
                    .await
            }
            CallerRequest::Show(id) => job_lookup::show(node, &cells, id, access, deadline).await,
            CallerRequest::Cancel(id) => {
                job_lookup::cancel(node, &cells, id, access, deadline).await
            }
            CallerRequest::Count(queue) => count(node, &cells, &queue).await,
        };
        node.active_requests.set(node.active_requests.get() - 1);
        node.metrics
            .requests
            .with_label_values(&[kind, answer.label()])
            .inc();
        let refusal = match &answer {
            CallerResponse::Refused { code, .. } => Some(*code),
            CallerResponse::Invalid(_) => Some(Code::BadRequest),
            _ => None,
        };
        if let Some(code) = refusal {
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
        id: JobId,
        accepted: AcceptedJob,
        access: &Access,
        deadline: Duration,
    ) -> CallerResponse {
        let queue = &accepted.queue;
        if let Err(error) = accepted.job.check() {
            log_event!(
                Event::JobRefused,
                job = id,
                queue = queue.key,
                reason = error
            );
            return CallerResponse::Invalid(error);
        }
        let record = encode_accepted(&accepted);
        if record.len() > node.reloadable.get().jobs.max_value {
            log_event!(
                Event::JobRefused,
                job = id,
                queue = queue.key,
                reason = format_args!("its record has {} bytes", record.len())
            );
            return CallerResponse::refused(Code::BodyTooLarge);
        }
        let start = now();
        let tasks: u32 = accepted.job.steps.iter().map(|step| step.count).sum();
        let acceptance = self
            .store_job(node, cells, &id, (&accepted, &record, access), deadline)
            .await;
        let took = now().saturating_sub(start);
        node.metrics.acceptance_latency.observe(took.as_secs_f64());
        let took = took.as_millis();
        match acceptance {
            Acceptance::Stored => {
                log_accepted(&id, &accepted, tasks, took);
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
                CallerResponse::unavailable(Code::StoreUnavailable)
            }
            Acceptance::OtherOrganisation => {
                log_event!(
                    Event::JobRefused,
                    job = id,
                    queue = queue.key,
                    reason = "its identifier is that of another organisation's job"
                );
                CallerResponse::refused(Code::OtherOrganisation)
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
    /// Stores a job directly or, while the store fails for this instance, through a peer.
    ///
    /// The transaction requires that the job does not exist yet. Any number of attempts may
    /// therefore be in progress, here and at peers, and the first definite answer holds for all of
    /// them. The job is refused as not run only if no attempt has an unknown outcome.
    async fn store_job(
        &self,
        node: &Rc<Node>,
        cells: &Cells,
        id: &JobId,
        (accepted, record, access): (&AcceptedJob, &[u8], &Access),
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
                store_through_peer(node, helper, id, (accepted, access), deadline).await
            } else {
                if tried_store {
                    tokio::time::sleep(RETRY_DELAY).await;
                    helpers = node.helpers(cell).into_iter().take(MAX_HELPERS);
                }
                tried_store = true;
                let insert = plan_insert(node, cells, id, accepted, record.to_vec()).await;
                self.acceptor
                    .accept(node, id.clone(), insert, access, deadline)
                    .await
            };
            through_peer = true;
            match acceptance {
                Acceptance::Stored | Acceptance::OtherOrganisation => return acceptance,
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

    /// Makes one attempt to store a job on behalf of a peer.
    pub async fn store_for_peer(
        &self,
        node: &Rc<Node>,
        id: JobId,
        accepted: AcceptedJob,
        access: &Access,
        limit: Duration,
    ) -> Acceptance {
        let Some(cells) = node.cells().filter(|_| node.failing_since.get().is_none()) else {
            return Acceptance::NotStored;
        };
        if let Err(error) = accepted.job.check() {
            log_event!(Event::JobRefused, job = id, reason = error);
            return Acceptance::NotStored;
        }
        let record = encode_accepted(&accepted);
        let insert = plan_insert(node, &cells, &id, &accepted, record).await;
        let deadline = now() + limit;
        self.acceptor
            .accept(node, id, insert, access, deadline)
            .await
    }
}

fn log_accepted(id: &JobId, accepted: &AcceptedJob, tasks: u32, took_ms: u128) {
    let queue = &accepted.queue.key;
    if let Some(organisation) = &accepted.organisation {
        log_event!(
            Event::JobAccepted,
            job = id,
            queue = queue,
            organisation = organisation,
            tasks = tasks,
            took_ms = took_ms
        );
    } else {
        log_event!(
            Event::JobAccepted,
            job = id,
            queue = queue,
            tasks = tasks,
            took_ms = took_ms
        );
    }
}

async fn store_through_peer(
    node: &Rc<Node>,
    helper: SocketAddr,
    id: &JobId,
    (accepted, access): (&AcceptedJob, &Access),
    deadline: Duration,
) -> Acceptance {
    let limit = deadline.saturating_sub(now()).min(HELPER_TIMEOUT);
    let request = peer::submission(id, accepted, access, millis(limit));
    match peer::send(node, helper, &request, limit).await {
        Ok(PeerResponse::Accepted(acceptance)) => acceptance,
        Ok(_) | Err(PeerError::NoOwner | PeerError::Unreachable { .. }) => Acceptance::NotStored,
        Err(error) => {
            log::debug!("peer {helper} did not confirm that job {id} is stored: {error}");
            Acceptance::Unknown
        }
    }
}

/// Chooses the cell of a job and returns the writes that store its encoded record there.
///
/// The identifier determines the cell. A job with long-running tasks goes to the least loaded cell
/// instead. Attempts of several instances may then choose different cells. Each attempt requires
/// that neither the identifier's own cell nor an earlier choice holds the job, so only one of them
/// takes effect.
async fn plan_insert(
    node: &Rc<Node>,
    cells: &Cells,
    id: &JobId,
    accepted: &AcceptedJob,
    record: Vec<u8>,
) -> JobInsert {
    let own = cells.of_job(id);
    let mut insert = JobInsert::new(own.keys.job(id), record);
    insert.organisation.clone_from(&accepted.organisation);
    if cells.views.len() == 1 {
        return insert;
    }
    // A job that has passed to another cell must not be stored again by a late repeat.
    insert.absent.push(keys::job_location(id));
    if !accepted.job.is_long_running() {
        return insert;
    }
    let view = least_loaded(node, cells, accepted).await;
    if view.number != own.number {
        let elsewhere = view.keys.job(id);
        insert.absent.push(elsewhere.clone());
        for (key, _) in &mut insert.puts {
            key.clone_from(&elsewhere);
        }
        let location = keys::location_value(view.number, accepted.organisation.as_ref());
        insert.puts.push((keys::job_location(id), location));
    }
    insert
}

/// Returns the cell whose owner reports the fewest workers that long-running tasks occupy or
/// wait for.
async fn least_loaded(node: &Rc<Node>, cells: &Cells, accepted: &AcceptedJob) -> Rc<CellView> {
    let ask = |view: &Rc<CellView>| {
        let (node, request) = (node.clone(), PeerRequest::LongRunning(view.number));
        tokio::task::spawn_local(async move { peer::ask_owner(&node, &request).await })
    };
    let replies: Vec<_> = cells.views.iter().map(ask).collect();
    let mut loads = Vec::new();
    for task in replies {
        loads.push(match task.await {
            Ok(Ok(PeerResponse::LongRunning(workers))) => Some(workers),
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

/// Sums the counts of waiting jobs over the owners of all cells.
async fn count(node: &Rc<Node>, cells: &Cells, queue: &Arc<Queue>) -> CallerResponse {
    let ask = |view: &Rc<CellView>| {
        tokio::task::spawn_local(count_in_cell(node.clone(), view.number, queue.clone()))
    };
    let replies: Vec<_> = cells.views.iter().map(ask).collect();
    let mut sum = 0;
    for task in replies {
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
