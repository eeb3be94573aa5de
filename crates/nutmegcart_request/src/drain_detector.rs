//! Detects draining runners from their refusals, the instance list and reports of peers.
//!
//! The instance list lags, so a refusal by the runner itself takes effect first. An overloaded
//! runner refuses in the same way as a draining one. Single probe attempts in the first two seconds
//! distinguish the two; they end before the limit of 3 s after which a draining runner must receive
//! no requests.

use std::time::Duration;

/// Delays after the first refusal at which one probe attempt is allowed.
const PROBE_DELAYS: [Duration; 4] = [
    Duration::from_millis(100),
    Duration::from_millis(300),
    Duration::from_millis(700),
    Duration::from_millis(1500),
];

/// Time after the first refusal at which the runner is considered draining.
///
/// A draining runner must receive no requests after 3 s.
const PROBE_WINDOW: Duration = Duration::from_secs(2);

/// Assumed upper bound on the lag of the instance list.
const MAX_LIST_LAG: Duration = Duration::from_secs(10);

/// Time after which a runner considered draining is probed again if the instance list does not
/// show it as live.
const DRAIN_HOLD: Duration = Duration::from_secs(30);

/// Time for which a peer's report blocks a runner.
///
/// A peer that is still refused reports every second, so a single lost report does not unblock the
/// runner.
const PEER_REPORT_TTL: Duration = Duration::from_millis(2500);

/// How many new requests may be dispatched to a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DispatchMode {
    /// Up to the slot share of this entry instance.
    Normal,
    /// One probe attempt at a time.
    Probe,
    /// No requests.
    Blocked,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum State {
    #[default]
    Serving,
    Refused {
        first: Duration,
        next_probe: usize,
    },
    Draining {
        since: Duration,
        until: Duration,
        from_peer: bool,
    },
    /// The hold has expired; the next probe decides.
    Retesting,
}

/// Drain state of one runner as seen by this entry instance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DrainDetector {
    state: State,
    listed_not_live: bool,
}

impl DrainDetector {
    /// Records that the runner refused a request before starting it.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use nutmegcart_request::drain_detector::{DrainDetector, DispatchMode};
    /// let mut detector = DrainDetector::default();
    /// detector.record_refusal(Duration::ZERO);
    /// assert_eq!(detector.dispatch_mode(Duration::ZERO), DispatchMode::Blocked);
    /// assert_eq!(detector.dispatch_mode(Duration::from_millis(100)), DispatchMode::Probe);
    /// assert_eq!(detector.dispatch_mode(Duration::from_secs(3)), DispatchMode::Blocked);
    /// ```
    pub fn record_refusal(&mut self, now: Duration) {
        self.apply_time(now);
        self.state = match self.state {
            State::Serving => State::Refused {
                first: now,
                next_probe: 0,
            },
            State::Refused { first, next_probe } => State::Refused {
                first,
                next_probe: PROBE_DELAYS
                    .iter()
                    .position(|&probe| first + probe > now)
                    .unwrap_or(PROBE_DELAYS.len())
                    .max(next_probe),
            },
            State::Draining { since, until, .. } => State::Draining {
                since,
                until: until.max(now + DRAIN_HOLD),
                from_peer: false,
            },
            State::Retesting => State::Draining {
                since: now,
                until: now + DRAIN_HOLD,
                from_peer: false,
            },
        };
    }

    /// Records a complete answer to an attempt that started at the given time.
    pub fn record_answer(&mut self, started: Duration, now: Duration) {
        self.apply_time(now);
        match self.state {
            // A draining runner still finishes attempts from before its first refusal.
            State::Refused { first, .. } if started <= first => {}
            State::Refused { .. } | State::Retesting => self.state = State::Serving,
            State::Serving | State::Draining { .. } => {}
        }
    }

    /// Records the state in the instance list, with the time at which it was observed.
    pub fn update_listing(&mut self, live: bool, observed: Duration, now: Duration) {
        self.apply_time(now);
        let returned = live && self.listed_not_live;
        self.listed_not_live = !live;
        let since = match self.state {
            State::Refused { first, .. } => first,
            State::Draining { since, .. } => since,
            State::Serving | State::Retesting => return,
        };
        if returned || live && observed >= since + MAX_LIST_LAG {
            self.state = State::Serving;
        }
    }

    /// Records a peer's report that the runner refused a request.
    pub fn record_peer_report(&mut self, now: Duration) {
        self.apply_time(now);
        let until = now + PEER_REPORT_TTL;
        self.state = match self.state {
            // Refusals to two entry instances make a draining runner more likely than an
            // overloaded one; further probes could reach it after the 3 s limit.
            State::Refused { first, .. } => State::Draining {
                since: first,
                until: first + DRAIN_HOLD,
                from_peer: false,
            },
            State::Draining {
                since,
                until: earlier,
                from_peer,
            } => State::Draining {
                since,
                until: earlier.max(until),
                from_peer,
            },
            State::Serving | State::Retesting => State::Draining {
                since: now,
                until,
                from_peer: true,
            },
        };
    }

    /// Returns how many new requests may be dispatched to the runner.
    #[must_use]
    pub fn dispatch_mode(&self, now: Duration) -> DispatchMode {
        let mut current = *self;
        current.apply_time(now);
        match current.state {
            _ if current.listed_not_live => DispatchMode::Blocked,
            State::Serving => DispatchMode::Normal,
            State::Retesting => DispatchMode::Probe,
            State::Refused { first, next_probe } => match PROBE_DELAYS.get(next_probe) {
                Some(&probe) if now >= first + probe => DispatchMode::Probe,
                _ => DispatchMode::Blocked,
            },
            State::Draining { .. } => DispatchMode::Blocked,
        }
    }

    /// Returns the next time at which the dispatch mode may change without a new event.
    #[must_use]
    pub fn next_change(&self, now: Duration) -> Option<Duration> {
        match self.state {
            State::Serving | State::Retesting => None,
            State::Draining { until, .. } => Some(until),
            State::Refused { first, next_probe } => PROBE_DELAYS[next_probe..]
                .iter()
                .map(|&probe| first + probe)
                .find(|&probe| probe > now)
                .or(Some(first + PROBE_WINDOW)),
        }
    }

    /// Returns whether this entry instance should report the refusal to its peers.
    #[must_use]
    pub fn should_report(&self, now: Duration) -> bool {
        let mut current = *self;
        current.apply_time(now);
        match current.state {
            State::Refused { .. } => true,
            State::Draining { from_peer, .. } => !from_peer,
            State::Serving | State::Retesting => false,
        }
    }

    fn apply_time(&mut self, now: Duration) {
        if let State::Refused { first, .. } = self.state
            && now >= first + PROBE_WINDOW
        {
            self.state = State::Draining {
                since: first,
                until: first + DRAIN_HOLD,
                from_peer: false,
            };
        }
        if let State::Draining { until, .. } = self.state
            && now >= until
        {
            self.state = State::Retesting;
        }
    }
}
