//! A runner leaves one start unanswered. The owner stops that run, which the runner confirms, and starts
//! the work unit elsewhere. The runner crashes, is back under its id, and takes the start that was meant
//! for its former life.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_stand_ins_3::entry::{job, Case, Deployment};
use review_stand_ins_3::runner::StartFate;

const JOB: &str = "5c0e7a21d94b36f8";
const TASK: &str = "5c0e7a21d94b36f8.0.0.0";
/// Time for which the runner is down.
const DOWN: Duration = Duration::from_millis(4_000);
/// Time from its return until it carries out the start that was left unanswered.
const LATER: Duration = Duration::from_millis(2_500);

fn main() {
    let case = Case::from_args();
    let deployment = Deployment::start(&case, 3, 8);
    let record = deployment.record.clone();
    // The runner that gets the first start of the work unit.
    let first: Arc<Mutex<Option<String>>> = Arc::default();
    if case.trouble {
        for runner in &deployment.runners {
            let (first, id) = (first.clone(), runner.id.clone());
            runner.set_start_hook(Arc::new(move |task| {
                let mut first = first.lock().unwrap();
                if task == TASK && first.is_none() {
                    *first = Some(id.clone());
                    return StartFate::Kept;
                }
                StartFate::Answered
            }));
        }
    }
    // One work unit of 14 s.
    let (status, _) = deployment.submit(0, JOB, &job("run 14000", &[1]), 3.0);
    if status != 200 {
        deployment.give_up(&case, &format!("the job got {status}"));
    }
    // Waits until the work unit runs.
    let end = Instant::now() + Duration::from_secs(8);
    let runs_on = loop {
        let log = deployment.log.lock().unwrap();
        let run = log.iter().find(|seen| seen.task == TASK && seen.ended.is_none());
        let runner = run.map(|seen| seen.runner.clone());
        drop(log);
        if let Some(runner) = runner {
            break runner;
        }
        if Instant::now() > end {
            deployment.give_up(&case, "the work unit does not start");
        }
        std::thread::sleep(Duration::from_millis(20));
    };
    std::thread::sleep(Duration::from_millis(1_500));
    // Another runner than the one with the work unit crashes: the one that got its first start.
    let left = first.lock().unwrap().clone();
    let other = |id: &str| deployment.runners.iter().find(|runner| runner.id != id);
    let crashing = match &left {
        Some(id) if *id == runs_on => deployment.give_up(&case, "the work unit runs where it was left"),
        Some(id) => deployment.runners.iter().find(|runner| runner.id == *id),
        None => other(&runs_on),
    };
    let crashing = crashing.expect("a runner").clone();
    crashing.crash();
    std::thread::sleep(DOWN);
    crashing.restart();
    crashing.announce_now();
    std::thread::sleep(LATER);
    crashing.carry_out_kept();
    if !deployment.wait_for_end(1, JOB, 25.0) {
        record.line("the job has not ended in time");
    }
    std::thread::sleep(Duration::from_secs(1));
    let mut broken = Vec::new();
    let log = deployment.log.lock().unwrap().clone();
    let runs: Vec<_> = log.iter().filter(|seen| seen.task == TASK).collect();
    for (index, one) in runs.iter().enumerate() {
        for other in &runs[index + 1..] {
            let until = one.ended.unwrap_or(Duration::MAX).min(other.ended.unwrap_or(Duration::MAX));
            if one.started < until && other.started < until {
                let overlap = until - one.started.max(other.started);
                broken.push(format!(
                    "TWICE: {TASK} runs on {} (run {}) and on {} (run {}) at the same time, for {} ms",
                    one.runner,
                    one.run,
                    other.runner,
                    other.run,
                    overlap.as_millis()
                ));
            }
        }
    }
    deployment.finish(&case, &broken);
}
