//! Report of the demo, computed from the records of callers, runners and platform.
//!
//! The metrics of the entry instances are not used: the report checks the product from outside.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use nutmegcart_fakes::Oracle;
use serde::Serialize;

use crate::demo::jobs::JobsReport;
use crate::demo::load::CallerOutcome;
use crate::demo::load::RequestRecord;
use crate::demo::observer::Observations;

/// Results of the demo; the field names are the keys of the JSON output.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Requests sent by callers.
    pub requests: u64,
    /// Repeats of requests whose outcome was reported as unknown.
    pub repeated: u64,
    /// Requests that got their complete answer.
    pub whole: u64,
    /// Requests reported as not run, refused by the backend server or invalid.
    pub refused: u64,
    /// Requests whose outcome was still reported as unknown after all attempts.
    pub unknown: u64,
    /// Requests without an answer of a runner, by result code.
    pub codes: BTreeMap<String, u64>,
    /// Requests answered as successful that no runner finished.
    pub lost: u64,
    /// Answers with a success status whose body was not the answer to the request.
    pub wrong_answers: u64,
    /// Non-idempotent requests that ran more than once.
    pub run_twice: u64,
    /// Requests reported as not run that a runner had started.
    pub wrong_not_run: u64,
    /// Samples in which a pool exceeded its availability budget.
    pub budget_breaches: u64,
    /// Samples in which an instance was in two pools.
    pub double_pools: u64,
    /// Requests interrupted by the shutdown of a runner or an entry instance.
    pub cut: u64,
    /// Largest number of unavailable instances of one pool.
    pub most_out: u32,
    /// Reboots of instances.
    pub reboots: u64,
    /// Duration of the wave in seconds.
    pub wave_seconds: f64,
    /// Changes of an instance's pool.
    pub moves: u64,
    /// Mean share of runner slots not in use, 0 to 1.
    pub buffer: f64,
    /// Longest time until an accepted configuration was in force everywhere, in milliseconds.
    pub spread_ms: u64,
    /// Median time to an answer in milliseconds.
    pub median_ms: f64,
    /// 99th percentile of the time to an answer in milliseconds.
    pub p99_ms: f64,
    /// Outcome of the jobs in the simulated cell.
    #[serde(flatten)]
    pub cell: JobsReport,
}

impl Report {
    /// Compares the outcomes reported to callers with the runs that the oracle recorded.
    pub fn build(
        requests: &[RequestRecord],
        oracle: &Oracle,
        observed: &Observations,
        wave: Duration,
        spread: Duration,
    ) -> Self {
        let count = |matches: &dyn Fn(&RequestRecord) -> bool| {
            requests.iter().filter(|request| matches(request)).count() as u64
        };
        let runs = |request: &RequestRecord| oracle.runs(&request.token);
        let mut latencies =
            Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds are valid");
        for request in requests {
            latencies
                .saturating_record(u64::try_from(request.latency.as_micros()).unwrap_or(u64::MAX));
        }
        let mut codes = BTreeMap::new();
        for code in requests.iter().filter_map(|request| request.code.clone()) {
            *codes.entry(code).or_default() += 1;
        }
        let quantile = |share: f64| latencies.value_at_quantile(share) as f64 / 1_000.0;
        Self {
            requests: requests.len() as u64,
            repeated: requests.iter().map(|request| request.attempts - 1).sum(),
            whole: count(&|request| request.outcome == CallerOutcome::Answered),
            refused: count(&|request| request.outcome == CallerOutcome::Refused),
            unknown: count(&|request| request.outcome == CallerOutcome::Unknown),
            codes,
            lost: count(&|request| {
                request.outcome == CallerOutcome::Answered && runs(request).finished == 0
            }),
            wrong_answers: count(&|request| request.outcome == CallerOutcome::WrongAnswer),
            run_twice: count(&|request| !request.idempotent && runs(request).started > 1),
            wrong_not_run: count(&|request| {
                request.outcome == CallerOutcome::Refused && runs(request).started > 0
            }),
            budget_breaches: observed.budget_breaches,
            double_pools: observed.double_pools,
            cut: oracle.interrupted()
                + count(&|request| request.outcome == CallerOutcome::ConnectionLost),
            most_out: observed.max_unavailable,
            reboots: observed.reboots,
            wave_seconds: wave.as_secs_f64(),
            moves: observed.moves,
            buffer: observed.idle_share,
            spread_ms: u64::try_from(spread.as_millis()).unwrap_or(u64::MAX),
            median_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            cell: JobsReport::default(),
        }
    }

    /// Returns whether all invariants held and every job of the cell completed.
    pub fn is_clean(&self) -> bool {
        let violations = self.lost
            + self.wrong_answers
            + self.run_twice
            + self.wrong_not_run
            + self.budget_breaches
            + self.double_pools
            + self.cut
            + self.cell.job_violations as u64;
        violations == 0 && self.cell.jobs_completed == self.cell.jobs
    }

    /// Prints the report as one JSON object if `json` is set, and as text otherwise.
    pub fn print(&self, json: bool) {
        let value = serde_json::to_value(self).expect("report is serialisable");
        if json {
            println!("{value}");
            return;
        }
        for (name, value) in value.as_object().into_iter().flatten() {
            println!("{:<18} {value}", name.replace('_', " "));
        }
        let verdict = if self.is_clean() {
            "all invariants held"
        } else {
            "AN INVARIANT WAS VIOLATED"
        };
        println!("{verdict}");
    }
}
