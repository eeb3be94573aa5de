//! Turns of demand, learnt from when bursts begin.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegcart_model::PoolName;

/// Multiple of its own long-run demand above which a pool's burst has begun.
const ONSET: f64 = 2.0;
/// Share of its highest demand below which a burst is over.
const OVER: f64 = 0.4;
/// Time over which the long-run demand is averaged, in seconds.
const LONG_SPAN: f64 = 12.0;
/// Time for which demand has to stay high; a single large job does not.
const SUSTAINED: Duration = Duration::from_millis(600);
/// Shortest period that counts; bursts closer together belong to one turn.
const SHORTEST: Duration = Duration::from_secs(5);
/// Largest relative difference between gaps that count as equal.
const TOLERANCE: f64 = 0.2;
/// Time after an expected burst for which its machines are kept although it has not begun.
const LATE: Duration = Duration::from_millis(500);

/// Demand of one pool.
#[derive(Clone, Debug, Default)]
struct PoolDemand {
    /// Long-run demand in cores.
    mean: f64,
    /// When the demand was last noted.
    updated_at: Duration,
    /// Since when the demand has been high, while it is.
    high_since: Option<Duration>,
    /// Whether a burst is under way.
    bursting: bool,
    /// When the present or latest burst was noticed.
    noticed_at: Duration,
    /// When the latest burst began.
    last_onset: Option<Duration>,
    /// When the one before began.
    previous_onset: Option<Duration>,
    /// Highest demand of the present or latest burst in cores.
    peak: f64,
    /// Mean demand of the present or latest burst in cores.
    burst_mean: f64,
}

/// What is known about turns.
///
/// Answers the load pattern of queues that take turns in a fixed order. A machine needs as long to
/// move as half of the objective of a small job, so the jobs of a burst's first moments are late
/// unless its machines are there before it begins.
#[derive(Clone, Debug, Default)]
pub struct BurstForecast {
    pools: BTreeMap<PoolName, PoolDemand>,
    period: Option<Duration>,
}

impl BurstForecast {
    /// Notes the demand of a pool in cores; `least` is the demand that is too small for a burst.
    pub fn observe(&mut self, pool: &PoolName, demand: f64, least: f64, now: Duration) {
        let turn = self.pools.entry(pool.clone()).or_default();
        let age = now.saturating_sub(turn.updated_at).as_secs_f64();
        let weight = 1.0 - (-age / LONG_SPAN).exp();
        turn.mean += (demand - turn.mean) * weight;
        turn.updated_at = now;
        if turn.bursting {
            turn.peak = turn.peak.max(demand);
            let length = now.saturating_sub(turn.noticed_at).as_secs_f64().max(age);
            turn.burst_mean += (demand - turn.burst_mean) * (age / length).min(1.0);
            if demand < turn.peak * OVER {
                turn.bursting = false;
                turn.high_since = None;
            }
            return;
        }
        if demand <= (turn.mean * ONSET).max(least) {
            turn.high_since = None;
            return;
        }
        let since = *turn.high_since.get_or_insert(now);
        if now < since + SUSTAINED {
            return;
        }
        turn.bursting = true;
        turn.noticed_at = now;
        turn.peak = demand;
        turn.burst_mean = demand;
        if turn
            .last_onset
            .is_none_or(|onset| since >= onset + SHORTEST)
        {
            turn.previous_onset = turn.last_onset;
            turn.last_onset = Some(since);
            if let Some(before) = turn.previous_onset {
                self.period = Some(since.saturating_sub(before));
            }
        }
    }

    /// Returns the demand in cores of a burst that is expected to begin within `lead`, or that is
    /// a little late.
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
    /// assert_eq!(forecast.forecast(&gates, lead, Duration::from_secs(29)), None);
    /// let expected = forecast.forecast(&gates, lead, Duration::from_secs(31)).unwrap();
    /// assert!((700.0..=800.0).contains(&expected));
    /// ```
    #[must_use]
    pub fn forecast(&self, pool: &PoolName, lead: Duration, now: Duration) -> Option<f64> {
        let turn = self.pools.get(pool)?;
        if turn.bursting {
            return None;
        }
        let next = match (turn.last_onset, self.period) {
            (Some(onset), Some(period)) => onset + period,
            _ => self.next_in_order(pool)?,
        };
        let soon = now + lead >= next && now <= next + LATE;
        soon.then_some(turn.burst_mean)
    }

    /// Returns when a pool's second burst begins by the order and the gaps of the first ones.
    fn next_in_order(&self, pool: &PoolName) -> Option<Duration> {
        let mut onsets: Vec<(Duration, &PoolName)> = Vec::new();
        for (name, turn) in &self.pools {
            onsets.push((turn.last_onset?, name));
        }
        onsets.sort();
        let gaps: Vec<f64> = onsets
            .windows(2)
            .map(|pair| pair[1].0.saturating_sub(pair[0].0).as_secs_f64())
            .collect();
        let mean = gaps.iter().sum::<f64>() / gaps.len() as f64;
        let regular = gaps
            .iter()
            .all(|gap| (gap - mean).abs() <= mean * TOLERANCE);
        let first = onsets.first().is_some_and(|(_, name)| *name == pool);
        let last = onsets.last()?.0;
        (gaps.len() > 1 && regular && first).then(|| last + Duration::from_secs_f64(mean))
    }
}
