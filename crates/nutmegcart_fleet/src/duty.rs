//! The duty of a data centre: a store lease, and the pace of store calls.

use std::time::Duration;

use nutmegcart_model::DataCentre;
use nutmegcart_model::Incarnation;
use nutmegcart_platform::KeyValue;
use nutmegcart_platform::LeaseId;
use nutmegcart_platform::Txn;
use nutmegcart_platform::store::Revision;

/// Prefix of the duty keys in the store.
pub const DUTY_PREFIX: &str = "/nutmegcart/duty/";

/// Length of the lease unless another is set.
pub const DEFAULT_LEASE: Duration = Duration::from_secs(10);

/// Renewals within a lease; three may be lost before it ends.
const RENEWALS: u32 = 4;

/// Part of the lease in percent after which the holder makes no more effects, since the store's
/// clock may run faster and an effect takes time to arrive.
const SAFE_PERCENT: u32 = 70;

/// Next call of a duty's keeper.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DutyStep {
    /// Grant a lease and report it with [`DutyLease::granted`].
    Grant(Duration),
    /// Run the transaction, then read the key and report it with [`DutyLease::claim_read`].
    Claim(Txn),
    /// Renew the lease and report the answer with [`DutyLease::renewed`].
    Renew(LeaseId),
    /// Nothing before this time.
    Wait(Duration),
}

/// One entry instance's part in the duty of a data centre.
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
    /// Key of the duty.
    pub key: String,
    /// Length of the lease.
    pub length: Duration,
    holder: Vec<u8>,
    lease: Option<LeaseId>,
    created: Option<Revision>,
    /// Time at which the last renewal that succeeded was sent.
    confirmed: Duration,
    /// Time before which the duty is not claimed again.
    retry: Duration,
}

impl DutyLease {
    /// Creates the part of an entry instance that holds nothing.
    #[must_use]
    pub fn new(centre: &DataCentre, incarnation: Incarnation) -> Self {
        Self {
            key: format!("{DUTY_PREFIX}{centre}"),
            length: DEFAULT_LEASE,
            holder: incarnation.to_string().into_bytes(),
            lease: None,
            created: None,
            confirmed: Duration::ZERO,
            retry: Duration::ZERO,
        }
    }

    /// Sets the length of the lease.
    #[must_use]
    pub const fn with_length(mut self, length: Duration) -> Self {
        self.length = length;
        self
    }

    /// Returns the lease if one was granted, so that it can be revoked.
    #[must_use]
    pub const fn lease(&self) -> Option<LeaseId> {
        self.lease
    }

    fn safe(&self) -> Duration {
        self.length * SAFE_PERCENT / 100
    }

    /// Returns the next call.
    #[must_use]
    pub fn next_step(&self, now: Duration) -> DutyStep {
        let renewal = self.confirmed + self.length / RENEWALS;
        match (self.lease, self.created) {
            (Some(lease), _) if now >= renewal => DutyStep::Renew(lease),
            (Some(_), Some(_)) => DutyStep::Wait(renewal),
            _ if now < self.retry => DutyStep::Wait(self.retry),
            (None, _) => DutyStep::Grant(self.length),
            (Some(lease), None) => DutyStep::Claim(Txn::default().absent(&self.key).put_leased(
                &self.key,
                self.holder.clone(),
                lease,
            )),
        }
    }

    /// Records a lease whose grant was sent at the time.
    pub const fn granted(&mut self, lease: LeaseId, sent: Duration) {
        self.lease = Some(lease);
        self.created = None;
        self.confirmed = sent;
    }

    /// Records the duty key as read after a claim; returns whether the duty is held.
    ///
    /// The lease in the key decides, so a claim whose answer was lost still counts.
    pub fn claim_read(&mut self, entry: Option<&KeyValue>, now: Duration) -> bool {
        let own =
            entry.filter(|entry| entry.value == self.holder && Some(entry.lease) == self.lease);
        self.created = own.map(|entry| entry.created);
        if own.is_none() {
            // Another holder renews as often; asking more often only costs store calls.
            self.retry = now + self.length / RENEWALS;
        }
        own.is_some()
    }

    /// Records the answer to a renewal that was sent at the time.
    pub const fn renewed(&mut self, alive: bool, sent: Duration) {
        if alive {
            self.confirmed = sent;
        } else {
            self.lease = None;
            self.created = None;
        }
    }

    /// Returns the creation revision of the duty key while the lease is certainly alive.
    #[must_use]
    pub fn held(&self, now: Duration) -> Option<Revision> {
        self.created
            .filter(|_| now.saturating_sub(self.confirmed) < self.safe())
    }
}

/// Store calls that all entry instances of a deployment may make in a second.
pub const STORE_CALLS_PER_SECOND: f64 = 1500.0;

/// A token bucket for the store calls of an entry instance.
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
    filled: Duration,
}

impl RateLimiter {
    /// Creates the share of one entry instance in a rate of calls a second.
    #[must_use]
    pub fn share(total: f64, roster: u32) -> Self {
        let rate = total / f64::from(roster.max(1));
        Self {
            rate,
            tokens: rate,
            filled: Duration::ZERO,
        }
    }

    /// Adapts the share to a changed roster.
    pub fn set_share(&mut self, total: f64, roster: u32) {
        self.rate = total / f64::from(roster.max(1));
    }

    /// Takes a token; false if the call must wait.
    pub fn try_acquire(&mut self, now: Duration) -> bool {
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.filled = now;
        self.tokens = (self.tokens + passed * self.rate).min(self.rate);
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}
