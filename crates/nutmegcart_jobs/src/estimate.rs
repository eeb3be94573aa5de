//! How long tasks take, learnt from finished ones.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::job::QueueKey;
use crate::job::Step;

/// Finished tasks after which the learnt relation counts as much as the declaration alone.
const PRIOR_WEIGHT: f64 = 8.0;
/// Share of the newest observation's weight that older ones keep.
const FORGETTING: f64 = 0.995;
/// Shortest duration that is learnt from, in seconds.
const SHORTEST: f64 = 0.005;

/// Relation between declared and actual durations of one queue or image.
///
/// Both are compared as logarithms, since declared durations are off by factors.
#[derive(Clone, Copy, Debug, Default)]
struct Regression {
    weight: f64,
    declared: f64,
    actual: f64,
    square: f64,
    product: f64,
}

impl Regression {
    fn learn(&mut self, declared: f64, actual: f64) {
        for sum in [
            &mut self.weight,
            &mut self.declared,
            &mut self.actual,
            &mut self.square,
            &mut self.product,
        ] {
            *sum *= FORGETTING;
        }
        self.weight += 1.0;
        self.declared += declared;
        self.actual += actual;
        self.square += declared * declared;
        self.product += declared * actual;
    }

    /// Predicts the logarithm of the actual duration.
    ///
    /// The slope is shrunk towards 1, the declaration as it stands, while little is known.
    fn predict(&self, declared: f64) -> f64 {
        if self.weight < 1.0 {
            return declared;
        }
        let mean_declared = self.declared / self.weight;
        let mean_actual = self.actual / self.weight;
        let variance = (self.square / self.weight - mean_declared * mean_declared).max(0.0);
        let covariance = self.product / self.weight - mean_declared * mean_actual;
        let pull = PRIOR_WEIGHT / self.weight * 0.1;
        let slope = ((covariance + pull) / (variance + pull)).clamp(0.0, 1.0);
        let learnt = mean_actual + slope * (declared - mean_declared);
        let trust = self.weight / (self.weight + PRIOR_WEIGHT);
        trust * learnt + (1.0 - trust) * declared
    }
}

/// Learnt durations by queue and image.
///
/// ```
/// # use std::time::Duration;
/// # use nutmegcart_jobs::{QueueKey, Step};
/// # use nutmegcart_jobs::estimate::Estimates;
/// let mut estimates = Estimates::default();
/// let queue = QueueKey::default();
/// let step = Step { estimate_ms: 1_000, ..Step::default() };
/// assert_eq!(estimates.duration(&queue, &step), Duration::from_secs(1));
/// for _ in 0..200 {
///     estimates.learn(&queue, &step, Duration::from_millis(500));
/// }
/// let learnt = estimates.duration(&queue, &step).as_millis();
/// assert!((495..=525).contains(&learnt), "{learnt}");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    relations: HashMap<(QueueKey, Option<Arc<str>>), Regression>,
}

impl Estimates {
    /// Learns from a finished task.
    pub fn learn(&mut self, queue: &QueueKey, step: &Step, actual: Duration) {
        let key = (queue.clone(), step.image.clone());
        let declared = logarithm(step.declared());
        let relation = self.relations.entry(key).or_default();
        relation.learn(declared, logarithm(actual));
    }

    /// Predicts the duration of a task.
    #[must_use]
    pub fn duration(&self, queue: &QueueKey, step: &Step) -> Duration {
        let key = (queue.clone(), step.image.clone());
        let Some(relation) = self.relations.get(&key) else {
            return step.declared();
        };
        let seconds = relation.predict(logarithm(step.declared())).exp();
        Duration::from_secs_f64(seconds.min(step.declared().as_secs_f64() * 10.0 + 1.0))
    }
}

fn logarithm(duration: Duration) -> f64 {
    duration.as_secs_f64().max(SHORTEST).ln()
}
