//! The duty of a data centre, which one entry instance at a time holds by a store lease, and the
//! rate limit of store calls.

use std::time::Duration;

use nutmegcart_model::DataCentre;
use nutmegcart_model::Incarnation;
use nutmegcart_platform::KeyValue;
use nutmegcart_platform::LeaseId;
use nutmegcart_platform::Txn;
use nutmegcart_platform::store::Revision;

/// Store key prefix of the duties.
pub const DUTY_PREFIX: &str = "/nutmegcart/duty/";

/// Default length of the lease.
pub const DEFAULT_LEASE: Duration = Duration::from_secs(10);

/// Renewals within the length of a lease; three in a row may be lost before it ends.
const RENEWALS_PER_LEASE: u32 = 4;

/// Part of the lease in percent after which an unconfirmed holder makes no more platform calls,
/// since the store's clock may run faster and a call takes time to arrive.
const SAFE_PERCENT: u32 = 70;

/// Next store call for a duty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DutyStep {
    /// Grant a lease of this length and report it with [`DutyLease::granted`].
    Grant(Duration),
    /// Commit the transaction, then read the duty key and report it with [`DutyLease::claim_read`].
    Claim(Txn),
    /// Renew the lease and report the answer with [`DutyLease::renewed`].
    Renew(LeaseId),
    /// Make no call before this time.
    Wait(Duration),
}

/// State machine by which an entry instance claims and renews the duty of a data centre.
///
/// ```
/// # use nutmegcart_fleet::{DutyLease, duty::DutyStep};
/// # use nutmegcart_model::Incarnation;
/// # use std::time::Duration;
/// let mut duty = DutyLease::new(&"suva".into(), Incarnation(7));
/// assert!(matches!(duty.next_step(Duration::ZERO), DutyStep::Grant(_)));
/// duty.granted(1, Duration::ZERO);
/// assert!(matches!(duty.next_step(Duration::ZERO), DutyStep::Claim(_)));
/// assert_eq!(duty.held(Duration::ZERO), None);
/// ```
#[derive(Clone, Debug)]
pub struct DutyLease {
    /// Store key of the duty.
    pub key: String,
    /// Length of the lease.
    pub length: Duration,
    /// Value of the duty key while this instance holds the duty.
    holder: Vec<u8>,
    lease: Option<LeaseId>,
    /// Creation revision of the duty key while the duty is held.
    created: Option<Revision>,
    /// Time at which the last successful grant or renewal was sent.
    confirmed: Duration,
    /// Time before which the duty is not claimed again.
    retry_at: Duration,
}

impl DutyLease {
    /// Creates the state of an entry instance that holds no lease.
    #[must_use]
    pub fn new(centre: &DataCentre, incarnation: Incarnation) -> Self {
        Self {
            key: format!("{DUTY_PREFIX}{centre}"),
            length: DEFAULT_LEASE,
            holder: incarnation.to_string().into_bytes(),
            lease: None,
            created: None,
            confirmed: Duration::ZERO,
            retry_at: Duration::ZERO,
        }
    }

    /// Sets the length of the lease.
    #[must_use]
    pub const fn with_length(mut self, length: Duration) -> Self {
        self.length = length;
        self
    }

    /// Returns the current lease, for example to revoke it.
    #[must_use]
    pub const fn lease(&self) -> Option<LeaseId> {
        self.lease
    }

    /// Returns for how long a confirmed lease permits platform calls.
    fn safe_duration(&self) -> Duration {
        self.length * SAFE_PERCENT / 100
    }

    /// Returns the next store call.
    #[must_use]
    pub fn next_step(&self, now: Duration) -> DutyStep {
        let renewal = self.confirmed + self.length / RENEWALS_PER_LEASE;
        match (self.lease, self.created) {
            (Some(lease), _) if now >= renewal => DutyStep::Renew(lease),
            (Some(_), Some(_)) => DutyStep::Wait(renewal),
            _ if now < self.retry_at => DutyStep::Wait(self.retry_at),
            (None, _) => DutyStep::Grant(self.length),
            (Some(lease), None) => DutyStep::Claim(Txn::default().absent(&self.key).put_leased(
                &self.key,
                self.holder.clone(),
                lease,
            )),
        }
    }

    /// Records a lease whose grant was sent at the given time.
    pub const fn granted(&mut self, lease: LeaseId, sent: Duration) {
        self.lease = Some(lease);
        self.created = None;
        self.confirmed = sent;
    }

    /// Records the duty key as read after a claim and returns whether the duty is held.
    ///
    /// The holder and the lease in the key decide, so a claim whose answer was lost still counts.
    pub fn claim_read(&mut self, entry: Option<&KeyValue>, now: Duration) -> bool {
        let own =
            entry.filter(|entry| entry.value == self.holder && Some(entry.lease) == self.lease);
        self.created = own.map(|entry| entry.created);
        if own.is_none() {
            // The other holder renews at this interval, so earlier claims would only cost store
            // calls.
            self.retry_at = now + self.length / RENEWALS_PER_LEASE;
        }
        own.is_some()
    }

    /// Records the answer to a renewal that was sent at the given time.
    pub const fn renewed(&mut self, alive: bool, sent: Duration) {
        if alive {
            self.confirmed = sent;
        } else {
            self.lease = None;
            self.created = None;
        }
    }

    /// Returns the creation revision of the duty key, as long as the lease is certainly alive.
    #[must_use]
    pub fn held(&self, now: Duration) -> Option<Revision> {
        self.created
            .filter(|_| now.saturating_sub(self.confirmed) < self.safe_duration())
    }
}

/// Store calls per second of all entry instances of a deployment together.
pub const STORE_CALLS_PER_SECOND: f64 = 1500.0;

/// Token bucket for the store calls of one entry instance.
///
/// ```
/// # use nutmegcart_fleet::duty::RateLimiter;
/// # use std::time::Duration;
/// let mut limiter = RateLimiter::share(1500.0, 9);
/// let granted = (0..1000).filter(|_| limiter.try_acquire(Duration::ZERO)).count();
/// assert_eq!(granted, 166);
/// ```
#[derive(Clone, Debug)]
pub struct RateLimiter {
    rate: f64,
    tokens: f64,
    last_refill: Duration,
}

impl RateLimiter {
    /// Creates a full bucket with one entry instance's share of a rate in calls per second.
    #[must_use]
    pub fn share(total: f64, instances: u32) -> Self {
        let rate = total / f64::from(instances.max(1));
        Self {
            rate,
            tokens: rate,
            last_refill: Duration::ZERO,
        }
    }

    /// Adapts the share to a changed number of entry instances.
    pub fn set_share(&mut self, total: f64, instances: u32) {
        self.rate = total / f64::from(instances.max(1));
    }

    /// Takes a token; returns false if the call must wait.
    pub fn try_acquire(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.last_refill).as_secs_f64();
        self.last_refill = now;
        self.tokens = (self.tokens + elapsed * self.rate).min(self.rate);
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}
