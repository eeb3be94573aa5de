//! Oracle that counts runs and checks the replies against them.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegcart_model::Verdict;
use nutmegcart_request::Answer;
use nutmegcart_request::OperationId;
use nutmegcart_request::Resolution;
use nutmegcart_request::roster::OPERATION_RETENTION;

/// Observed runs and "not run" verdicts by operation.
#[derive(Default)]
pub struct Oracle {
    runs: BTreeMap<OperationId, Vec<Duration>>,
    refused: BTreeMap<OperationId, Duration>,
    /// Number of replies by code.
    pub replies: BTreeMap<u16, usize>,
    /// Number of dispatches.
    pub dispatches: usize,
}

impl Oracle {
    /// Records a dispatch; panics if the operation has run or was reported as not run.
    pub fn dispatch(&mut self, id: &OperationId, now: Duration) {
        self.dispatches += 1;
        // A ticketed operation stays identified without limit, a plain key for the retention time.
        let plain = matches!(id, OperationId::Key(_));
        let counts = |time: Duration| !plain || now < time + OPERATION_RETENTION;
        if let Some(refused_at) = self.refused.get(id) {
            assert!(
                !counts(*refused_at),
                "{id:?} ran after it was reported as not run"
            );
        }
        let runs = self.runs.entry(id.clone()).or_default();
        let last = runs.last().copied();
        assert!(!last.is_some_and(counts), "{id:?} was dispatched twice");
        runs.push(now);
    }

    /// Records a reply; panics if it contradicts the runs.
    pub fn reply(&mut self, id: &OperationId, resolution: &Resolution, now: Duration) {
        let code = resolution.code();
        *self.replies.entry(code.number()).or_default() += 1;
        let runs = self.runs.get(id).map_or(&[][..], Vec::as_slice);
        if code.verdict() == Verdict::NotRun {
            let plain = matches!(id, OperationId::Key(_));
            let ran = |time: &Duration| !plain || now < *time + OPERATION_RETENTION;
            let ran = runs.last().is_some_and(ran);
            assert!(!ran, "{id:?} ran and was reported as {code}");
            self.refused.insert(id.clone(), now);
        }
        if let Resolution::Answer(answer) = resolution {
            let expected = |index| answer_of(id, index) == **answer;
            assert!(
                (1..=runs.len()).any(expected),
                "{id:?} got a foreign answer"
            );
        }
    }

    /// Returns how often the operation was dispatched.
    pub fn runs(&self, id: &OperationId) -> usize {
        self.runs.get(id).map_or(0, Vec::len)
    }
}

/// Returns the answer that a run gives; differs between operations and runs.
pub fn answer_of(id: &OperationId, run: usize) -> Answer {
    Answer {
        status: 200,
        headers: Vec::new(),
        body: format!("{id:?} {run}").into_bytes().into(),
    }
}
