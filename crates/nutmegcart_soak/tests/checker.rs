//! Tests of the checker with histories that keep or break one promise.

use std::sync::Arc;
use std::time::Duration;

use nutmegcart_jobs::RunEnd;
use nutmegcart_jobs::TaskKey;
use nutmegcart_soak::checker::Checker;
use nutmegcart_soak::history::Entry;
use nutmegcart_soak::history::Fact;
use nutmegcart_soak::history::Nature;
use nutmegcart_soak::schedule::Fault;
use nutmegcart_soak::schedule::Kind;
use nutmegcart_stand_in::runner::Occurrence;

const JOB: &str = "00000000000000a1";

fn task() -> TaskKey {
    TaskKey::parse(&format!("{JOB}.0.0.0")).expect("a task")
}

fn worker(worker: usize, what: Occurrence) -> Fact {
    Fact::Worker { worker, what }
}

fn start(number: usize, run: u32) -> Fact {
    let (task, late) = (task(), false);
    worker(number, Occurrence::Started { task, run, late })
}

fn end(number: usize, run: u32, how: RunEnd) -> Fact {
    let task = task();
    worker(number, Occurrence::Ended { task, run, how })
}

fn acknowledge(number: usize, run: u32, how: RunEnd, lapsed: bool) -> Fact {
    acknowledge_after(1, number, run, how, lapsed)
}

fn acknowledge_after(after_s: u64, number: usize, run: u32, how: RunEnd, lapsed: bool) -> Fact {
    let task = task();
    let after = Duration::from_secs(after_s);
    let what = Occurrence::Acknowledged {
        task,
        run,
        how,
        after,
        lapsed,
    };
    worker(number, what)
}

fn submitted(answer: Option<u16>) -> Fact {
    let job = JOB.into();
    Fact::Submitted { job, answer }
}

fn cancelled() -> Fact {
    cancel_answered(200, 0)
}

fn cancel_answered(status: u16, sent_s: u64) -> Fact {
    Fact::Cancelled {
        job: JOB.into(),
        answer: Some(status),
        sent: Duration::from_secs(sent_s),
    }
}

fn shown(answer: u16, state: &str, sent_s: u64) -> Fact {
    Fact::Shown {
        job: JOB.into(),
        answer,
        state: state.into(),
        sent: Duration::from_secs(sent_s),
    }
}

fn fault(kind: Kind) -> Fault {
    Fault {
        from_ms: 0,
        until_ms: 1,
        kind,
    }
}

fn pause() -> Fault {
    fault(Kind::Pause(0))
}

fn dropped(waited_ms: u64, partial: bool) -> Fact {
    Fact::Dropped {
        instance: 0,
        waited: Duration::from_millis(waited_ms),
        partial,
    }
}

fn submitting() -> Fact {
    Fact::Submitting { job: JOB.into() }
}

/// Returns the promises that a history breaks; each fact is one second after the one before.
fn broken(facts: Vec<Fact>) -> Vec<&'static str> {
    let mut checker = Checker::new(true);
    let job: Arc<str> = JOB.into();
    let planned = Fact::Planned {
        job,
        nature: Nature::Ordinary,
        tasks: 1,
    };
    for (second, fact) in std::iter::once(planned).chain(facts).enumerate() {
        let at = Duration::from_secs(second as u64);
        checker.observe(&Entry { at, fact });
    }
    checker.broken.iter().map(|each| each.promise).collect()
}

fn breaks(facts: Vec<Fact>, promises: &[&str]) {
    assert_eq!(broken(facts), promises);
}

macro_rules! cases {
    ($test:ident: $($(#[$doc:meta])* $name:ident => ($facts:expr, $promises:expr);)*) => {
        $($(#[$doc])* #[test] fn $name() { $test($facts, $promises); })*
    };
}

const DONE: RunEnd = RunEnd::Done;

cases! { breaks:
    /// Guards against a checker that objects to a job that runs as it should.
    done_job_breaks_nothing => (
        vec![submitted(Some(200)), start(0, 1), end(0, 1, DONE), acknowledge(0, 1, DONE, false),
            shown(200, "completed", 5)],
        &[]
    );
    /// Guards against two runs that go unnoticed.
    second_run_beside_the_first => (
        vec![submitted(Some(200)), start(0, 1), start(1, 2)],
        &["no two runs of a task are alive"]
    );
    /// Guards against an objection to a run after a crash.
    run_after_a_crash_breaks_nothing => (
        vec![submitted(Some(200)), start(0, 1), worker(0, Occurrence::Crashed), start(1, 2)],
        &[]
    );
    /// Guards against a start after an acknowledged end that goes unnoticed.
    start_after_an_acknowledged_end => (
        vec![submitted(Some(200)), start(0, 1), end(0, 1, DONE), acknowledge(0, 1, DONE, false),
            start(1, 2)],
        &["no start after an end was acknowledged as done"]
    );
    /// Guards against an end that is acknowledged after the task has started again.
    end_acknowledged_after_a_new_start => (
        vec![submitted(Some(200)), start(0, 1), end(0, 1, DONE), start(1, 2),
            acknowledge_after(2, 0, 1, DONE, false)],
        &["no start after an end that is acknowledged"]
    );
    /// Guards against an objection to the end of a run that has the number of one that lapsed.
    later_run_with_the_same_number => (
        vec![submitted(Some(200)), start(0, 17), end(0, 17, DONE), start(1, 17), end(1, 17, DONE),
            acknowledge(1, 17, DONE, false)],
        &[]
    );
    /// Guards against an objection to a new start when the lease lapsed before the acknowledgement.
    lapsed_end_may_start_again => (
        vec![submitted(Some(200)), start(0, 1), end(0, 1, DONE), acknowledge(0, 1, DONE, true),
            start(1, 2)],
        &[]
    );
    /// Guards against a third run after two failed ones that goes unnoticed.
    start_after_all_attempts => (
        vec![submitted(Some(200)),
            start(0, 1), end(0, 1, RunEnd::Failed), acknowledge(0, 1, RunEnd::Failed, false),
            start(0, 2), end(0, 2, RunEnd::Failed), acknowledge(0, 2, RunEnd::Failed, false),
            start(0, 3)],
        &["no start after all attempts have failed"]
    );
    /// Guards against a refused job that runs unnoticed.
    refused_job_runs => (
        vec![submitted(Some(503)), start(0, 1)],
        &["a refused job does not run"]
    );
    /// Guards against an objection to a job that starts before the answer to its repeated
    /// submission arrives.
    job_starts_before_the_answer_to_a_repeat => (
        vec![submitting(), submitted(Some(503)), submitting(), start(0, 1), submitted(Some(200))],
        &[]
    );
    /// Guards against a refused job that runs unnoticed because it started before the refusal.
    job_starts_before_a_refusal => (
        vec![submitting(), submitted(Some(503)), submitting(), start(0, 1), submitted(Some(503))],
        &["a refused job does not run"]
    );
    /// Guards against a repeat that hides a refused job that had started.
    refusal_after_a_start => (
        vec![submitting(), start(0, 1), submitted(Some(503)), submitting(), submitted(Some(200))],
        &["a refused job does not run"]
    );
    /// Guards against an objection to a job whose submission got no answer once.
    job_without_an_answer_may_run => (
        vec![submitted(None), submitted(Some(503)), start(0, 1)],
        &[]
    );
    /// Guards against a cancelled job that starts unnoticed when its bound is over.
    cancelled_job_starts_late => (
        vec![submitted(Some(200)), cancelled(), shown(200, "pending", 3), shown(200, "pending", 4),
            shown(200, "pending", 5), start(0, 1)],
        &["a cancelled job does not start again"]
    );
    /// Guards against an objection to such a start soon after a fault.
    cancelled_job_starts_near_a_fault => (
        vec![submitted(Some(200)), cancelled(), Fact::Began(pause()), shown(200, "pending", 4),
            shown(200, "pending", 5), Fact::Over(pause()), start(0, 1)],
        &[]
    );
    /// Guards against a cancelled job that starts again unnoticed after a settled state.
    settled_cancelled_job_starts_near_a_fault => (
        vec![submitted(Some(200)), cancelled(), Fact::Settled, Fact::Began(pause()), start(0, 1)],
        &["a cancelled job does not start again"]
    );
    /// Guards against an accepted job that is unknown later.
    accepted_job_is_unknown => (
        vec![submitted(Some(200)), shown(410, "", 8)],
        &["an accepted job is known"]
    );
    /// Guards against an accepted job that a cancellation does not find.
    accepted_job_is_unknown_to_a_cancellation => (
        vec![submitted(Some(200)), shown(200, "pending", 1), shown(200, "pending", 2),
            shown(200, "pending", 3), shown(200, "pending", 4), cancel_answered(410, 5)],
        &["an accepted job is known"]
    );
    /// Guards against an objection to a cancellation that was sent soon after the acceptance, and
    /// answered later.
    cancellation_is_answered_late => (
        vec![submitted(Some(200)), shown(200, "pending", 1), shown(200, "pending", 2),
            shown(200, "pending", 3), cancel_answered(410, 3)],
        &[]
    );
    /// Guards against a job shown as completed before its tasks are done.
    job_completed_too_early => (
        vec![submitted(Some(200)), start(0, 1), shown(200, "completed", 3)],
        &["a completed job has done all its tasks"]
    );
    /// Guards against an answer that a shutdown cuts and that goes unnoticed.
    answer_is_cut_in_a_shutdown => (
        vec![Fact::Began(fault(Kind::Terminate(0))), dropped(10, true)],
        &["an answer that has begun is complete"]
    );
    /// Guards against an objection to an answer that ends when its process is killed.
    answer_is_cut_by_a_kill => (
        vec![Fact::Began(fault(Kind::Kill(0))), dropped(10, true)],
        &[]
    );
    /// Guards against a request that a shutdown leaves without an answer.
    request_is_dropped_in_a_shutdown => (
        vec![Fact::Began(fault(Kind::Terminate(0))), dropped(300, false)],
        &["a request is answered without unplanned faults"]
    );
    /// Guards against an objection to a connection that closes as a request is sent.
    connection_closes_before_a_request => (
        vec![Fact::Began(fault(Kind::Terminate(0))), dropped(1, false)],
        &[]
    );
    /// Guards against a request that other callers' resets or a configuration leave unanswered.
    request_is_dropped_beside_resets => (
        vec![Fact::Began(fault(Kind::Reset(0))), Fact::Began(fault(Kind::Configure)),
            dropped(300, false)],
        &["a request is answered without unplanned faults"]
    );
    /// Guards against a process that ends by itself.
    process_exits => (
        vec![Fact::Exited { instance: 0, how: "exit status: 101".into(), expected: false }],
        &["a process that was not signalled runs"]
    );
}
