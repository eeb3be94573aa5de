//! Whether a runner is leaving, from its refusals, the instance list and peers.
//!
//! The instance list lags, so a runner's own refusal counts first. A full runner refuses in the
//! same way as a leaving one; a few single attempts in the first two seconds tell them apart and
//! end before the limit of 3 s for a leaving runner.

use std::time::Duration;

/// Times after the first refusal at which one attempt may test the runner.
const PROBES: [Duration; 4] = [
    Duration::from_millis(100),
    Duration::from_millis(300),
    Duration::from_millis(700),
    Duration::from_millis(1500),
];

/// Time after the first refusal from which the runner counts as leaving; a leaving runner must
/// receive nothing after 3 s.
const DECISION: Duration = Duration::from_secs(2);

/// Assumed bound on the lag of the instance list.
const LIST_LAG: Duration = Duration::from_secs(10);

/// Time after which a runner that counts as leaving is tested although the list says nothing.
const HOLD: Duration = Duration::from_secs(30);

/// Time for which a peer's report closes a runner; a peer that is still refused reports every
/// second, so a lost report does not reopen the runner.
const HEARSAY: Duration = Duration::from_millis(2500);

/// How much new work a runner may receive.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DispatchMode {
    /// Up to the share of this entry instance.
    Normal,
    /// One attempt at a time.
    Probe,
    /// None.
    Blocked,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum State {
    #[default]
    Serving,
    Refused {
        first: Duration,
        next: usize,
    },
    Leaving {
        since: Duration,
        until: Duration,
        hearsay: bool,
    },
    /// The hold is over; one attempt decides.
    Testing,
}

/// The departure of one runner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DrainDetector {
    state: State,
    listed: bool,
}

impl DrainDetector {
    /// Notes that the runner refused before it started.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use nutmegcart_request::drain_detector::{DrainDetector, DispatchMode};
    /// let mut departure = DrainDetector::default();
    /// departure.record_refusal(Duration::ZERO);
    /// assert_eq!(departure.dispatch_mode(Duration::ZERO), DispatchMode::Blocked);
    /// assert_eq!(departure.dispatch_mode(Duration::from_millis(100)), DispatchMode::Probe);
    /// assert_eq!(departure.dispatch_mode(Duration::from_secs(3)), DispatchMode::Blocked);
    /// ```
    pub fn record_refusal(&mut self, now: Duration) {
        self.advance(now);
        self.state = match self.state {
            State::Serving => State::Refused {
                first: now,
                next: 0,
            },
            State::Refused { first, next } => State::Refused {
                first,
                next: PROBES
                    .iter()
                    .position(|&probe| first + probe > now)
                    .unwrap_or(PROBES.len())
                    .max(next),
            },
            State::Leaving { since, until, .. } => State::Leaving {
                since,
                until: until.max(now + HOLD),
                hearsay: false,
            },
            State::Testing => State::Leaving {
                since: now,
                until: now + HOLD,
                hearsay: false,
            },
        };
    }

    /// Notes a whole answer to an attempt that started at the given time.
    pub fn record_answer(&mut self, started: Duration, now: Duration) {
        self.advance(now);
        match self.state {
            // Attempts from before the refusal finish on a leaving runner too.
            State::Refused { first, .. } if started <= first => {}
            State::Refused { .. } | State::Testing => self.state = State::Serving,
            State::Serving | State::Leaving { .. } => {}
        }
    }

    /// Notes what the instance list said, with the time at which it was observed.
    pub fn update_listing(&mut self, live: bool, observed: Duration, now: Duration) {
        self.advance(now);
        let returned = live && self.listed;
        self.listed = !live;
        let since = match self.state {
            State::Refused { first, .. } => first,
            State::Leaving { since, .. } => since,
            State::Serving | State::Testing => return,
        };
        if returned || live && observed >= since + LIST_LAG {
            self.state = State::Serving;
        }
    }

    /// Notes that a peer was refused by the runner.
    pub fn record_peer_report(&mut self, now: Duration) {
        self.advance(now);
        let until = now + HEARSAY;
        self.state = match self.state {
            // Two entry instances were refused, so the runner is hardly just full; further tests
            // could reach it after the limit.
            State::Refused { first, .. } => State::Leaving {
                since: first,
                until: first + HOLD,
                hearsay: false,
            },
            State::Leaving {
                since,
                until: earlier,
                hearsay,
            } => State::Leaving {
                since,
                until: earlier.max(until),
                hearsay,
            },
            State::Serving | State::Testing => State::Leaving {
                since: now,
                until,
                hearsay: true,
            },
        };
    }

    /// Returns how much new work the runner may receive.
    #[must_use]
    pub fn dispatch_mode(&self, now: Duration) -> DispatchMode {
        let mut later = *self;
        later.advance(now);
        match later.state {
            _ if later.listed => DispatchMode::Blocked,
            State::Serving => DispatchMode::Normal,
            State::Testing => DispatchMode::Probe,
            State::Refused { first, next } => match PROBES.get(next) {
                Some(&probe) if now >= first + probe => DispatchMode::Probe,
                _ => DispatchMode::Blocked,
            },
            State::Leaving { .. } => DispatchMode::Blocked,
        }
    }

    /// Returns when the intake may next change by time alone.
    #[must_use]
    pub fn next_change(&self, now: Duration) -> Option<Duration> {
        match self.state {
            State::Serving | State::Testing => None,
            State::Leaving { until, .. } => Some(until),
            State::Refused { first, next } => PROBES[next..]
                .iter()
                .map(|&probe| first + probe)
                .find(|&probe| probe > now)
                .or(Some(first + DECISION)),
        }
    }

    /// Returns whether peers should be told that the runner refused.
    #[must_use]
    pub fn should_report(&self, now: Duration) -> bool {
        let mut later = *self;
        later.advance(now);
        match later.state {
            State::Refused { .. } => true,
            State::Leaving { hearsay, .. } => !hearsay,
            State::Serving | State::Testing => false,
        }
    }

    fn advance(&mut self, now: Duration) {
        if let State::Refused { first, .. } = self.state
            && now >= first + DECISION
        {
            self.state = State::Leaving {
                since: first,
                until: first + HOLD,
                hearsay: false,
            };
        }
        if let State::Leaving { until, .. } = self.state
            && now >= until
        {
            self.state = State::Testing;
        }
    }
}
