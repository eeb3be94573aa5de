//! Predicts task durations from those of finished tasks.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::job::QueueKey;
use crate::job::Step;

/// Number of finished tasks at which the regression and the declared duration have equal weight.
const PRIOR_WEIGHT: f64 = 8.0;
/// Factor by which each new observation reduces the weight of the older ones.
const DECAY: f64 = 0.995;
/// Lower bound on durations before the logarithm is taken, in seconds.
const MIN_SECONDS: f64 = 0.005;

/// Linear regression from declared to actual durations of one queue and image.
///
/// Both are logarithms, since declared durations are wrong by a factor.
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
            *sum *= DECAY;
        }
        self.weight += 1.0;
        self.declared += declared;
        self.actual += actual;
        self.square += declared * declared;
        self.product += declared * actual;
    }

    /// Predicts the logarithm of the actual duration.
    ///
    /// With few observations the slope is shrunk towards 1, which trusts the declared duration.
    fn predict(&self, declared: f64) -> f64 {
        if self.weight < 1.0 {
            return declared;
        }
        let mean_declared = self.declared / self.weight;
        let mean_actual = self.actual / self.weight;
        let variance = (self.square / self.weight - mean_declared * mean_declared).max(0.0);
        let covariance = self.product / self.weight - mean_declared * mean_actual;
        let prior = PRIOR_WEIGHT / self.weight * 0.1;
        let slope = ((covariance + prior) / (variance + prior)).clamp(0.0, 1.0);
        let fitted = mean_actual + slope * (declared - mean_declared);
        let trust = self.weight / (self.weight + PRIOR_WEIGHT);
        trust * fitted + (1.0 - trust) * declared
    }
}

/// Predicted task durations by queue and image.
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
/// let fitted = estimates.duration(&queue, &step).as_millis();
/// assert!((495..=525).contains(&fitted), "{fitted}");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    regressions: HashMap<(QueueKey, Option<Arc<str>>), Regression>,
}

impl Estimates {
    /// Adds the duration of a finished task.
    pub fn learn(&mut self, queue: &QueueKey, step: &Step, actual: Duration) {
        let key = (queue.clone(), step.image.clone());
        let declared = logarithm(step.declared());
        let regression = self.regressions.entry(key).or_default();
        regression.learn(declared, logarithm(actual));
    }

    /// Predicts the duration of a task.
    #[must_use]
    pub fn duration(&self, queue: &QueueKey, step: &Step) -> Duration {
        let key = (queue.clone(), step.image.clone());
        let Some(regression) = self.regressions.get(&key) else {
            return step.declared();
        };
        let seconds = regression.predict(logarithm(step.declared())).exp();
        Duration::from_secs_f64(seconds.min(step.declared().as_secs_f64() * 10.0 + 1.0))
    }
}

fn logarithm(duration: Duration) -> f64 {
    duration.as_secs_f64().max(MIN_SECONDS).ln()
}
