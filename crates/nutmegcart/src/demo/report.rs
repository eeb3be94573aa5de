//! The demo's report, read from the oracle and not from the product's counters.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use nutmegcart_fakes::Oracle;
use serde::Serialize;

use crate::demo::jobs::JobsReport;
use crate::demo::load::Request;
use crate::demo::load::Told;
use crate::demo::observer::Observed;

/// What happened, as callers, runners and the platform saw it.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Requests sent by callers.
    pub requests: u64,
    /// Repetitions by callers that were told that the outcome is unknown.
    pub repeated: u64,
    /// Whole answers to the right request.
    pub whole: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests whose outcome the caller was told to be unknown.
    pub unknown: u64,
    /// Requests without an answer of a runner, by result code.
    pub codes: BTreeMap<String, u64>,
    /// Requests answered as successful that no runner finished.
    pub lost: u64,
    /// Successful answers that were not the whole answer to the request.
    pub wrong_answers: u64,
    /// Non-idempotent requests that ran more than once.
    pub run_twice: u64,
    /// Requests reported as not run that a runner had started.
    pub wrong_not_run: u64,
    /// Samples in which a pool exceeded its availability budget.
    pub budget_breaches: u64,
    /// Samples in which an instance was in two pools.
    pub double_pools: u64,
    /// Requests cut by a shutdown of a runner or an entry instance.
    pub cut: u64,
    /// Largest number of unavailable instances of one pool.
    pub most_out: u32,
    /// Instances rebooted.
    pub reboots: u64,
    /// Duration of the wave in seconds.
    pub wave_seconds: f64,
    /// Changes of an instance's pool.
    pub moves: u64,
    /// Mean share of slots not in use, 0 to 1.
    pub buffer: f64,
    /// Longest time until an accepted configuration was in force everywhere, in milliseconds.
    pub spread_ms: u64,
    /// Median time to an answer in milliseconds.
    pub median_ms: f64,
    /// 99th percentile of the time to an answer in milliseconds.
    pub p99_ms: f64,
    /// What became of jobs in a cell.
    #[serde(flatten)]
    pub cell: JobsReport,
}

impl Report {
    /// Compares what callers were told with what really ran.
    pub fn build(
        requests: &[Request],
        oracle: &Oracle,
        observed: &Observed,
        wave: Duration,
        spread: Duration,
    ) -> Self {
        let count = |wanted: &dyn Fn(&Request) -> bool| {
            requests.iter().filter(|request| wanted(request)).count() as u64
        };
        let runs = |request: &Request| oracle.runs(&request.token);
        let mut times =
            Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds are valid");
        for request in requests {
            times.saturating_record(u64::try_from(request.time.as_micros()).unwrap_or(u64::MAX));
        }
        let mut codes = BTreeMap::new();
        for code in requests.iter().filter_map(|request| request.code.clone()) {
            *codes.entry(code).or_default() += 1;
        }
        let quantile = |share: f64| times.value_at_quantile(share) as f64 / 1_000.0;
        Self {
            requests: requests.len() as u64,
            repeated: requests.iter().map(|request| request.tries - 1).sum(),
            whole: count(&|request| request.told == Told::Whole),
            refused: count(&|request| request.told == Told::Refused),
            unknown: count(&|request| request.told == Told::Unknown),
            codes,
            lost: count(&|request| request.told == Told::Whole && runs(request).finished == 0),
            wrong_answers: count(&|request| request.told == Told::Wrong),
            run_twice: count(&|request| !request.idempotent && runs(request).started > 1),
            wrong_not_run: count(&|request| {
                request.told == Told::Refused && runs(request).started > 0
            }),
            budget_breaches: observed.breaches,
            double_pools: observed.double_pools,
            cut: oracle.interrupted() + count(&|request| request.told == Told::Cut),
            most_out: observed.most_out,
            reboots: observed.reboots,
            wave_seconds: wave.as_secs_f64(),
            moves: observed.moves,
            buffer: observed.buffer,
            spread_ms: u64::try_from(spread.as_millis()).unwrap_or(u64::MAX),
            median_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            cell: JobsReport::default(),
        }
    }

    /// Returns whether every invariant held.
    pub fn is_clean(&self) -> bool {
        let broken = self.lost
            + self.wrong_answers
            + self.run_twice
            + self.wrong_not_run
            + self.budget_breaches
            + self.double_pools
            + self.cut
            + self.cell.job_violations as u64;
        broken == 0 && self.cell.jobs_completed == self.cell.jobs
    }

    /// Prints the report for people, or as one JSON object.
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
            "every invariant held"
        } else {
            "AN INVARIANT BROKE"
        };
        println!("{verdict}");
    }
}
