//! Log lines and gauges about the state of a cell, and why its long-running tasks wait.

use nutmegcart_jobs::Scheduler;
use nutmegcart_jobs::WaitReason;
use nutmegcart_jobs::stalled::StalledJob;
use nutmegcart_jobs::stalled::StalledKind;
use nutmegcart_jobs::worker::millis;
use nutmegcart_model::Event;
use nutmegcart_model::log_event;

use crate::clock::now;
use crate::node::Node;
use crate::node::OwnedCell;

/// Organisations that have values of their own in the metrics.
const MAX_ORGANISATIONS: usize = 32;
/// Label of all others.
const OTHER_ORGANISATIONS: &str = "other organisations";

/// Logs the state of the cell, and why long-running tasks wait, and updates the gauges of waits.
pub(crate) fn report(node: &Node, owned: &OwnedCell) {
    let scheduler = owned.scheduler.borrow();
    let (cell, now) = (owned.view.number, now());
    scheduler.log_status(cell, now);
    let pools = scheduler.waiting_long_running(now);
    scheduler.log_waiting(cell, &pools, now);
    let label = cell.to_string();
    let tasks = || pools.iter().flat_map(|pool| &pool.tasks);
    for reason in WaitReason::LABELS {
        let same = tasks().filter(|task| task.reason.to_string() == reason);
        let count = i64::try_from(same.count()).unwrap_or(i64::MAX);
        let gauge = &node.metrics.waiting_tasks;
        gauge.with_label_values(&[&label, reason]).set(count);
    }
    let longest = tasks().map(|task| now.saturating_sub(task.since)).max();
    let longest = longest.unwrap_or_default().as_secs_f64();
    let gauge = &node.metrics.longest_wait;
    gauge.with_label_values(&[&label]).set(longest);
    let blocking = i64::try_from(scheduler.blocking_workers()).unwrap_or(i64::MAX);
    let gauge = &node.metrics.blocking_workers;
    gauge.with_label_values(&[&label]).set(blocking);
    let rejected = scheduler.rejected_state().unwrap_or_default();
    let gauge = &node.metrics.rejected_state;
    let rejected = i64::try_from(rejected).unwrap_or(i64::MAX);
    gauge.with_label_values(&[&label]).set(rejected);
    report_use(node, owned, &scheduler);
    report_stalled(node, owned, &scheduler.stalled_jobs(now));
}

/// Updates the gauges of the organisations with limits: the [`MAX_ORGANISATIONS`] with the highest use
/// of their limits, and the sum of the others.
fn report_use(node: &Node, owned: &OwnedCell, scheduler: &Scheduler) {
    let gauge = &node.metrics.organisation_use;
    let cell = &*owned.view.number.to_string();
    // Organisations that are gone, or no longer among the highest, must not keep their values.
    clear_use(node, owned);
    let mut uses: Vec<_> = scheduler.allowances().collect();
    uses.sort_by(|(_, a), (_, b)| b.share().total_cmp(&a.share()));
    for (index, (name, allowance)) in uses.into_iter().enumerate() {
        let listed = index < MAX_ORGANISATIONS;
        let name: &str = if listed { name } else { OTHER_ORGANISATIONS };
        let amounts = [
            ("cpu", allowance.used.cpu),
            ("memory", allowance.used.memory),
            ("accelerators", allowance.used.accelerators.into()),
            ("allocation", allowance.allocation.into()),
        ];
        for (kind, amount) in amounts {
            let amount = i64::try_from(amount).unwrap_or(i64::MAX);
            gauge.with_label_values(&[cell, name, kind]).add(amount);
            let labels = (name.to_owned(), kind);
            owned.state.limits.reported.borrow_mut().insert(labels);
        }
    }
}

/// Removes the values of organisations in an owned cell.
pub(crate) fn clear_use(node: &Node, owned: &OwnedCell) {
    let cell = owned.view.number.to_string();
    for (name, kind) in owned.state.limits.reported.take() {
        let gauge = &node.metrics.organisation_use;
        if let Err(error) = gauge.remove_label_values(&[&*cell, &*name, kind]) {
            log::debug!("gauge of {name} not removed: {error}");
        }
    }
}

/// Logs which jobs have stalled or resumed since the latest call, and updates their gauge.
fn report_stalled(node: &Node, owned: &OwnedCell, stalled: &[StalledJob]) {
    let (cell, now) = (owned.view.number, now());
    let changes = owned.state.stall_log.borrow_mut().update(stalled);
    for each in changes.stalled {
        log_event!(
            Event::JobStalled,
            cell = cell,
            job = each.job,
            pool = each.pool,
            kind = each.kind,
            age_ms = millis(now.saturating_sub(each.since)),
            jobs = stalled.len(),
        );
    }
    for (job, since) in changes.resumed {
        log_event!(
            Event::JobResumed,
            cell = cell,
            job = job,
            age_ms = millis(now.saturating_sub(since)),
            jobs = stalled.len(),
        );
    }
    for kind in StalledKind::ALL {
        let count = stalled.iter().filter(|each| each.kind == kind).count();
        let labels = [&*cell.to_string(), &*kind.to_string()];
        let gauge = node.metrics.stalled_jobs.with_label_values(&labels);
        gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
    }
}

/// Removes the gauges of waits of a cell that this process no longer owns.
pub(crate) fn clear(node: &Node, cell: u32) {
    let label = cell.to_string();
    for reason in WaitReason::LABELS {
        // A gauge that was never set cannot be removed.
        let gauge = &node.metrics.waiting_tasks;
        let _ = gauge.remove_label_values(&[&label, reason]);
    }
    for kind in StalledKind::ALL {
        let labels = [&*label, &*kind.to_string()];
        let _ = node.metrics.stalled_jobs.remove_label_values(&labels);
    }
    let _ = node.metrics.longest_wait.remove_label_values(&[&label]);
    let _ = node.metrics.blocking_workers.remove_label_values(&[&label]);
    let _ = node.metrics.rejected_state.remove_label_values(&[&label]);
}
