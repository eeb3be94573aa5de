//! Forecasts bursts of demand from the onsets of earlier ones.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegcart_model::PoolName;

/// Multiple of a pool's long-term mean demand above which a burst has begun.
const ONSET_FACTOR: f64 = 2.0;
/// Share of its peak demand below which a burst has ended.
const END_FACTOR: f64 = 0.4;
/// Time constant of the long-term mean demand, in seconds.
const MEAN_SECONDS: f64 = 12.0;
/// Time for which demand has to stay high; that of a single large job falls sooner.
const MIN_HIGH_TIME: Duration = Duration::from_millis(600);
/// Shortest period; bursts closer together count as one.
const MIN_PERIOD: Duration = Duration::from_secs(5);
/// Largest relative deviation of gaps between bursts that count as equal.
const GAP_TOLERANCE: f64 = 0.2;
/// Time after the predicted onset of a burst for which its machines are kept.
const MAX_DELAY: Duration = Duration::from_millis(500);

/// Demand of one pool, and its latest bursts.
#[derive(Clone, Debug, Default)]
struct DemandHistory {
    /// Long-term mean demand in cores.
    mean: f64,
    /// When the demand was last observed.
    updated_at: Duration,
    /// Since when the demand has been high, if it is.
    high_since: Option<Duration>,
    /// Whether a burst is in progress.
    bursting: bool,
    /// When the current or latest burst was detected, at least `MIN_HIGH_TIME` after its onset.
    detected_at: Duration,
    /// When the latest burst began.
    last_onset: Option<Duration>,
    /// When the burst before it began.
    previous_onset: Option<Duration>,
    /// Peak demand of the current or latest burst in cores.
    peak: f64,
    /// Mean demand of the current or latest burst in cores.
    burst_mean: f64,
}

/// Predicts the next burst of each pool.
///
/// Queues that burst one after another in a fixed order make the next burst predictable. Moving a
/// machine takes half of the latency objective of a small job, so the first jobs of a burst are
/// late unless the machines arrive before it begins.
#[derive(Clone, Debug, Default)]
pub struct BurstForecast {
    pools: BTreeMap<PoolName, DemandHistory>,
    period: Option<Duration>,
}

impl BurstForecast {
    /// Records the demand of a pool in cores; demand up to `min_burst` is no burst.
    pub fn observe(&mut self, pool: &PoolName, demand: f64, min_burst: f64, now: Duration) {
        let state = self.pools.entry(pool.clone()).or_default();
        let age = now.saturating_sub(state.updated_at).as_secs_f64();
        let weight = 1.0 - (-age / MEAN_SECONDS).exp();
        state.mean += (demand - state.mean) * weight;
        state.updated_at = now;
        if state.bursting {
            state.peak = state.peak.max(demand);
            let length = now.saturating_sub(state.detected_at).as_secs_f64().max(age);
            state.burst_mean += (demand - state.burst_mean) * (age / length).min(1.0);
            if demand < state.peak * END_FACTOR {
                state.bursting = false;
                state.high_since = None;
            }
            return;
        }
        if demand <= (state.mean * ONSET_FACTOR).max(min_burst) {
            state.high_since = None;
            return;
        }
        let since = *state.high_since.get_or_insert(now);
        if now < since + MIN_HIGH_TIME {
            return;
        }
        state.bursting = true;
        state.detected_at = now;
        state.peak = demand;
        state.burst_mean = demand;
        if state
            .last_onset
            .is_none_or(|onset| since >= onset + MIN_PERIOD)
        {
            state.previous_onset = state.last_onset;
            state.last_onset = Some(since);
            if let Some(before) = state.previous_onset {
                self.period = Some(since.saturating_sub(before));
            }
        }
    }

    /// Returns the expected demand in cores of a burst that should begin within `lead`, or should
    /// have begun at most `MAX_DELAY` ago.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use nutmegcart_jobs::burst_forecast::BurstForecast;
    /// let mut forecast = BurstForecast::default();
    /// let gates = "gates".into();
    /// // Bursts of 4 s, 16 s apart.
    /// for tick in 0..300_u64 {
    ///     let demand = if tick % 160 < 40 { 800.0 } else { 10.0 };
    ///     forecast.observe(&gates, demand, 100.0, Duration::from_millis(tick * 100));
    /// }
    /// let lead = Duration::from_secs(2);
    /// assert_eq!(forecast.expected_demand(&gates, lead, Duration::from_secs(29)), None);
    /// let expected = forecast.expected_demand(&gates, lead, Duration::from_secs(31)).unwrap();
    /// assert!((700.0..=800.0).contains(&expected));
    /// ```
    #[must_use]
    pub fn expected_demand(&self, pool: &PoolName, lead: Duration, now: Duration) -> Option<f64> {
        let state = self.pools.get(pool)?;
        if state.bursting {
            return None;
        }
        let next = match (state.last_onset, self.period) {
            (Some(onset), Some(period)) => onset + period,
            _ => self.second_onset(pool)?,
        };
        let soon = now + lead >= next && now <= next + MAX_DELAY;
        soon.then_some(state.burst_mean)
    }

    /// Predicts a pool's second burst from the order of the pools' first bursts and the gaps
    /// between them.
    fn second_onset(&self, pool: &PoolName) -> Option<Duration> {
        let mut onsets: Vec<(Duration, &PoolName)> = Vec::new();
        for (name, state) in &self.pools {
            onsets.push((state.last_onset?, name));
        }
        onsets.sort();
        let gaps: Vec<f64> = onsets
            .windows(2)
            .map(|pair| pair[1].0.saturating_sub(pair[0].0).as_secs_f64())
            .collect();
        let mean = gaps.iter().sum::<f64>() / gaps.len() as f64;
        let regular = gaps
            .iter()
            .all(|gap| (gap - mean).abs() <= mean * GAP_TOLERANCE);
        let first = onsets.first().is_some_and(|(_, name)| *name == pool);
        let last = onsets.last()?.0;
        (gaps.len() > 1 && regular && first).then(|| last + Duration::from_secs_f64(mean))
    }
}
