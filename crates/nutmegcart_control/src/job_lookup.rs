//! Finds jobs in the store, to show or cancel them, wherever the cell is that holds them.

use std::rc::Rc;
use std::time::Duration;

use nutmegcart_jobs::FinalState;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::JobRecord;
use nutmegcart_jobs::JobState;
use nutmegcart_jobs::record::decode;
use nutmegcart_jobs::record::decode_job;
use nutmegcart_jobs::record::encode_job;
use nutmegcart_jobs::worker::millis;
use nutmegcart_model::Code;
use nutmegcart_model::Event;
use nutmegcart_model::log_event;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::Txn;

use crate::access::Access;
use crate::caller_request::CallerResponse;
use crate::caller_request::HELPER_TIMEOUT;
use crate::caller_request::RETRY_DELAY;
use crate::clock::now;
use crate::clock::unix_ms;
use crate::keys;
use crate::node::CellView;
use crate::node::Cells;
use crate::node::Node;
use crate::peer;
use crate::peer::Cancellation;
use crate::peer::PeerResponse;

/// Where the store holds a job that the cell of its identifier does not hold.
enum Location {
    /// Nowhere: there is no such job.
    Missing,
    /// In another cell.
    Relocated(Rc<CellView>),
    /// In a cell that this instance cannot tell.
    Unreadable,
}

/// Returns the location of a job that is not in the cell that its identifier determines.
async fn location(node: &Rc<Node>, cells: &Cells, id: &JobId) -> Result<Location, StoreError> {
    if cells.views.len() == 1 {
        return Ok(Location::Missing);
    }
    let Some(item) = (node.platform.store.get)(keys::job_location(id)).await? else {
        return Ok(Location::Missing);
    };
    let cell = decode::<u32>(&item.value).map_err(|error| error.to_string());
    let view = cell.and_then(|cell| {
        let view = cells.views.get(cell as usize).cloned();
        view.ok_or_else(|| format!("there is no cell {cell}"))
    });
    Ok(match view {
        Ok(view) => Location::Relocated(view),
        Err(reason) => {
            log_event!(Event::JobRecordInvalid, key = item.key, reason = reason);
            Location::Unreadable
        }
    })
}

/// Returns the state of a job from the owner's memory, or from the store if the owner does not
/// answer or does not know the job. While the store fails for this instance, the owners of the other
/// cells are asked too, since only the store tells where the job is.
pub(crate) async fn show(
    node: &Rc<Node>,
    cells: &Cells,
    id: JobId,
    access: &Access,
    deadline: Duration,
) -> CallerResponse {
    let mut view = cells.of_job(&id).clone();
    let mut moved = false;
    let mut asked_others = false;
    loop {
        let request = peer::state_request(view.number, &id, access);
        match peer::ask_owner(node, &request).await {
            Ok(PeerResponse::State(Some(state))) => return CallerResponse::State(state),
            Ok(PeerResponse::OtherOrganisation) => {
                return CallerResponse::refused(Code::OtherOrganisation);
            }
            Ok(_) => {}
            Err(error) => {
                node.metrics
                    .retries
                    .with_label_values(&["owner_silent"])
                    .inc();
                log::debug!("owner did not return the state of job {id}: {error}");
            }
        }
        let mut store_error = None;
        match read_from_store(node, &view, &id, access).await {
            Ok(Some(answer)) => return answer,
            Ok(None) if moved => return CallerResponse::NotFound,
            Ok(None) => match location(node, cells, &id).await {
                Ok(Location::Relocated(other)) => {
                    moved = true;
                    view = other;
                }
                Ok(Location::Missing) => return CallerResponse::NotFound,
                Ok(Location::Unreadable) => return CallerResponse::refused(Code::JobUnreadable),
                Err(error) => store_error = Some(error),
            },
            Err(error) => store_error = Some(error),
        }
        let Some(error) = store_error else {
            continue;
        };
        log::debug!("cannot read from the store where job {id} is: {error}");
        if !std::mem::replace(&mut asked_others, true)
            && let Some(answer) = state_in_any_cell(node, cells, &id, access).await
        {
            return answer;
        }
        if now() + RETRY_DELAY >= deadline {
            return CallerResponse::unavailable(Code::StoreUnavailable);
        }
        tokio::time::sleep(RETRY_DELAY * 2).await;
    }
}

/// Returns the answer about the state of a job if the owner of any cell knows it.
async fn state_in_any_cell(
    node: &Rc<Node>,
    cells: &Cells,
    id: &JobId,
    access: &Access,
) -> Option<CallerResponse> {
    let ask = |view: &Rc<CellView>| {
        let (node, request) = (node.clone(), peer::state_request(view.number, id, access));
        tokio::task::spawn_local(async move { peer::ask_owner(&node, &request).await })
    };
    let replies: Vec<_> = cells.views.iter().map(ask).collect();
    let mut known = None;
    for task in replies {
        match task.await {
            Ok(Ok(PeerResponse::State(Some(state)))) => known = Some(CallerResponse::State(state)),
            Ok(Ok(PeerResponse::OtherOrganisation)) => {
                known = Some(CallerResponse::refused(Code::OtherOrganisation));
            }
            _ => {}
        }
    }
    known
}

/// Returns the stored state of a job in a cell, or `None` if the cell does not hold the job.
async fn read_from_store(
    node: &Rc<Node>,
    view: &CellView,
    id: &JobId,
    access: &Access,
) -> Result<Option<CallerResponse>, StoreError> {
    let Some(item) = (node.platform.store.get)(view.keys.job(id)).await? else {
        return Ok(None);
    };
    Ok(Some(match decode_job(&item.value) {
        Ok(record) if !access.permits(record.organisation()) => {
            CallerResponse::refused(Code::OtherOrganisation)
        }
        Ok(JobRecord::Ended { how, .. }) => CallerResponse::State(JobState::Ended(how)),
        Ok(JobRecord::Tombstone { .. }) => CallerResponse::NotFound,
        Ok(JobRecord::Accepted(_)) => CallerResponse::State(JobState::Pending),
        Err(error) => {
            log_event!(Event::JobRecordInvalid, job = id, reason = error);
            CallerResponse::refused(Code::JobUnreadable)
        }
    }))
}

/// Cancels a job by a write to the store, which its owner watches. While the store fails for this
/// instance, a peer makes the write.
pub(crate) async fn cancel(
    node: &Rc<Node>,
    cells: &Cells,
    id: JobId,
    access: &Access,
    deadline: Duration,
) -> CallerResponse {
    let cell = cells.of_job(&id).number;
    let mut helpers = node.helpers(cell).into_iter();
    let mut through_peer = node.failing_since.get().is_some();
    loop {
        let helper = if through_peer { helpers.next() } else { None };
        if let Some(helper) = helper {
            let limit = deadline.saturating_sub(now()).min(HELPER_TIMEOUT);
            let request = peer::cancellation(&id, access, millis(limit));
            match peer::send(node, helper, &request, limit).await {
                Ok(PeerResponse::Cancelled(Cancellation::Cancelled)) => {
                    return CallerResponse::Cancelled;
                }
                Ok(PeerResponse::Cancelled(Cancellation::NotFound)) => {
                    return CallerResponse::NotFound;
                }
                Ok(PeerResponse::Cancelled(Cancellation::OtherOrganisation)) => {
                    return CallerResponse::refused(Code::OtherOrganisation);
                }
                Ok(_) | Err(_) => {}
            }
        } else {
            helpers = node.helpers(cell).into_iter();
            match try_cancel(node, cells, &id, access).await {
                Ok(Some(answer)) => return answer,
                Ok(None) => {}
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

/// Cancels a job on behalf of a peer that does not reach the store.
pub(crate) async fn cancel_for_peer(
    node: &Rc<Node>,
    id: &JobId,
    access: &Access,
    limit: Duration,
) -> Cancellation {
    let Some(cells) = node.cells() else {
        return Cancellation::Unknown;
    };
    let deadline = now() + limit;
    while now() < deadline && node.failing_since.get().is_none() {
        match try_cancel(node, &cells, id, access).await {
            Ok(Some(CallerResponse::Cancelled)) => return Cancellation::Cancelled,
            Ok(Some(CallerResponse::NotFound)) => return Cancellation::NotFound,
            Ok(Some(CallerResponse::Refused {
                code: Code::OtherOrganisation,
                ..
            })) => return Cancellation::OtherOrganisation,
            Ok(None) => {}
            Ok(Some(_)) | Err(_) => break,
        }
    }
    Cancellation::Unknown
}

/// Makes one attempt to cancel a job; returns `None` if the record changed in the meantime.
async fn try_cancel(
    node: &Rc<Node>,
    cells: &Cells,
    id: &JobId,
    access: &Access,
) -> Result<Option<CallerResponse>, StoreError> {
    let mut key = cells.of_job(id).keys.job(id);
    let mut item = (node.platform.store.get)(key.clone()).await?;
    if item.is_none() {
        match location(node, cells, id).await? {
            Location::Missing => {}
            Location::Relocated(view) => {
                key = view.keys.job(id);
                item = (node.platform.store.get)(key.clone()).await?;
            }
            Location::Unreadable => {
                return Ok(Some(CallerResponse::refused(Code::JobUnreadable)));
            }
        }
    }
    let Some(item) = item else {
        return store_tombstone(node, cells, id, access).await;
    };
    let organisation = match decode_job(&item.value) {
        Ok(record) if !access.permits(record.organisation()) => {
            return Ok(Some(CallerResponse::refused(Code::OtherOrganisation)));
        }
        Ok(JobRecord::Ended { .. }) => return Ok(Some(CallerResponse::Cancelled)),
        Ok(JobRecord::Tombstone { .. }) => return Ok(Some(CallerResponse::NotFound)),
        Ok(JobRecord::Accepted(accepted)) => accepted.organisation,
        Err(error) => {
            log_event!(Event::JobRecordInvalid, job = id, reason = error);
            return Ok(Some(CallerResponse::refused(Code::JobUnreadable)));
        }
    };
    let ended = JobRecord::Ended {
        how: FinalState::Cancelled,
        at: unix_ms(),
        organisation,
    };
    let txn = Txn::default()
        .unchanged(key.clone(), item.modified)
        .put(key, encode_job(&ended));
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

/// Stores a tombstone of a job that the store does not hold, since a write of the job may yet be carried
/// out. Returns `None` if the job has been stored in the meantime.
async fn store_tombstone(
    node: &Rc<Node>,
    cells: &Cells,
    id: &JobId,
    access: &Access,
) -> Result<Option<CallerResponse>, StoreError> {
    let tombstone = JobRecord::Tombstone {
        at: unix_ms(),
        organisation: access.organisation().cloned(),
    };
    // Every insert of the job requires that this key is absent, whichever cell it stores the job in.
    let key = cells.of_job(id).keys.job(id);
    let mut txn = Txn::default()
        .absent(key.clone())
        .put(key, encode_job(&tombstone));
    if cells.views.len() > 1 {
        txn = txn.absent(keys::job_location(id));
    }
    let reply = (node.platform.store.txn)(txn).await?;
    if !reply.committed {
        return Ok(None);
    }
    log_event!(Event::TombstoneStored, job = id, revision = reply.revision);
    Ok(Some(CallerResponse::NotFound))
}
