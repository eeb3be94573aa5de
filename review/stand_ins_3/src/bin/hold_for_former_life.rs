//! A runner leaves one call to `/api/hold` unanswered, crashes, and is listed as `down`. It is back under
//! its id, gets a work unit, and carries the call out that was meant for its former life. Then it is cut
//! off and runs on.

use std::time::{Duration, Instant};

use review_stand_ins_3::entry::{job, Case, Deployment};

const JOB: &str = "5c0e7a21d94b36f8";
const TASK: &str = "5c0e7a21d94b36f8.0.0.0";
/// Time for which the runner is down.
const DOWN: Duration = Duration::from_millis(4_000);
/// Time for which the runner is cut off; `for_s` of the site file.
const CUT: Duration = Duration::from_millis(5_500);

fn main() {
    let case = Case::from_args();
    let deployment = Deployment::start(&case, 3, 8);
    let record = deployment.record.clone();
    // The clocks of the runners are some seconds ahead of those of lives to come.
    std::thread::sleep(Duration::from_secs(15));
    let runner = deployment.runners[0].clone();
    if case.trouble {
        runner.keep_next_hold();
        let end = Instant::now() + Duration::from_secs(3);
        while !runner.has_kept_hold() {
            if Instant::now() > end {
                deployment.give_up(&case, "no call to /api/hold arrives");
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
    if case.trouble {
        runner.crash();
        std::thread::sleep(DOWN);
        runner.restart();
        runner.announce_now();
    }
    std::thread::sleep(Duration::from_millis(1_500));
    // One work unit of 20 s.
    let (status, _) = deployment.submit(0, JOB, &job("run 20000", &[1]), 3.0);
    if status != 200 {
        deployment.give_up(&case, &format!("the job got {status}"));
    }
    let end = Instant::now() + Duration::from_secs(4);
    let runs_on = loop {
        let log = deployment.log.lock().unwrap();
        let run = log.iter().find(|seen| seen.task == TASK).map(|seen| seen.runner.clone());
        drop(log);
        if let Some(run) = run {
            break run;
        }
        if Instant::now() > end {
            deployment.give_up(&case, "the work unit does not start");
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    if runs_on != runner.id {
        deployment.give_up(&case, &format!("the work unit runs on {runs_on}"));
    }
    if case.trouble {
        std::thread::sleep(Duration::from_millis(500));
        runner.carry_out_kept_hold();
        // The cut begins between two answers to `/api/hold`, of which there is one a second.
        std::thread::sleep(Duration::from_millis(300));
        let end = Instant::now() + Duration::from_secs(5);
        while runner.since_hold() < Duration::from_millis(800) && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(5));
        }
        runner.cut_off();
        std::thread::sleep(CUT);
        runner.join();
    }
    deployment.wait_for_end(1, JOB, 30.0);
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
    record.line(&format!("runs of the work unit: {}", runs.len()));
    deployment.finish(&case, &broken);
}
