//! The time of day of one runner's machine jumps ahead, and back after 6 s. The runner crashes shortly
//! before and shortly after it jumps back, and is back under its id both times.

use std::time::{Duration, Instant};

use review_stand_ins_3::entry::{labelled_job, Case, Deployment};

const FIRST: &str = "5c0e7a21d94b36f8";
const SECOND: &str = "5c0e7a21d94b36f9";
/// Jump of the clock in milliseconds, and its duration; both of the site file.
const JUMP_MS: u64 = 2_400;
const JUMP_TIME: Duration = Duration::from_millis(6_000);
/// Time for which the runner is down after each crash.
const DOWN: Duration = Duration::from_millis(500);
/// `finish_s` of the sheet, and the 3 s of the rule.
const FINISH: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(3);

fn main() {
    let case = Case::from_args();
    let deployment = Deployment::start(&case, 3, 8);
    let record = deployment.record.clone();
    // The only runner of kind b.
    let runner = deployment.runners[0].clone();
    std::thread::sleep(Duration::from_secs(3));
    let jump = Instant::now();
    if case.trouble {
        runner.set_clock_ahead(JUMP_MS);
    }
    std::thread::sleep(Duration::from_millis(4_900));
    runner.crash();
    std::thread::sleep(DOWN);
    runner.restart();
    runner.announce_now();
    std::thread::sleep(JUMP_TIME.saturating_sub(jump.elapsed()));
    if case.trouble {
        runner.set_clock_ahead(0);
    }
    // The last requests of the traffic.
    let handed_in = Instant::now();
    for id in [FIRST, SECOND] {
        let (status, _) = deployment.submit(1, id, &labelled_job("run 1500", "b"), 3.0);
        if status != 200 {
            deployment.give_up(&case, &format!("a job got {status}"));
        }
    }
    std::thread::sleep(Duration::from_millis(600).saturating_sub(handed_in.elapsed()));
    runner.crash();
    std::thread::sleep(DOWN);
    runner.restart();
    runner.announce_now();
    // Nothing is disturbed from here on.
    let mut idle_since: Option<Instant> = None;
    let mut longest = Duration::ZERO;
    let end = Instant::now() + Duration::from_secs(50);
    let mut next_show = Instant::now();
    let mut done = false;
    while Instant::now() < end && !done {
        std::thread::sleep(Duration::from_millis(50));
        if Instant::now() >= next_show {
            next_show += Duration::from_secs(2);
            done = [FIRST, SECOND].iter().all(|id| deployment.show(2, id).1 == "completed");
        }
        let idle = !runner.is_busy() && handed_in.elapsed() > FINISH;
        if idle && !done {
            longest = longest.max(idle_since.get_or_insert_with(Instant::now).elapsed());
        } else {
            idle_since = None;
        }
    }
    let mut broken = Vec::new();
    if !done && longest > IDLE {
        broken.push(format!(
            "LOST: two accepted jobs have nothing running for {:.1} s, later than {} s after the last \
             request, while the runner with their label is up, idle and answers; watched for 50 s",
            longest.as_secs_f64(),
            FINISH.as_secs()
        ));
    }
    record.line(&format!("both jobs are completed: {done}"));
    deployment.finish(&case, &broken);
}
