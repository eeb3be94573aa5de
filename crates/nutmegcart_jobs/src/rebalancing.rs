//! Moving machines to the pools that need them, and back to the spare pool.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_model::PoolName;

use crate::burst_forecast::BurstForecast;
use crate::machines::MachineOrder;
use crate::machines::MachineState;
use crate::scheduler::Scheduler;

/// Time in which waiting work should be done; a machine that moves is away for most of it.
const HORIZON: f64 = 1.5;
/// Time for which a machine has to be idle before another pool may have it.
const IDLE_LEND: Duration = Duration::from_millis(300);
/// Time for which a machine has to be idle before it is switched off.
const IDLE_OFF: Duration = Duration::from_millis(1_200);
/// Machines beyond those with lasting tasks that a pool keeps for the start of its next burst.
const KEPT: usize = 2;
/// Moves begun in one pass.
const MOST_MOVES: usize = 12;

/// Time over which the work that arrives is averaged. It is short against a turn of demand, and
/// long enough that one large job does not look like one.
const ARRIVAL_SPAN: f64 = 0.7;

/// Demand in machines below which nothing counts as a burst.
const LEAST_BURST: f64 = 4.0;
/// Time from the end of a move until the machine's worker may take tasks.
const MOVE_MARGIN: Duration = Duration::from_millis(250);

/// What is remembered between passes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rebalancer {
    idle_since: HashMap<Arc<str>, Duration>,
    arrivals: HashMap<PoolName, Arrivals>,
    forecast: BurstForecast,
}

/// Work that arrives for a pool, in cores, averaged with exponential weights.
#[derive(Clone, Copy, Debug, Default)]
struct Arrivals {
    cores: f64,
    at: Duration,
}

impl Arrivals {
    fn now(self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.cores * (-age / ARRIVAL_SPAN).exp()
    }
}

impl Rebalancer {
    /// Notes the work in core-seconds that a new job brings.
    pub(crate) fn note_arrival(&mut self, pool: &PoolName, work: f64, now: Duration) {
        let arrivals = self.arrivals.entry(pool.clone()).or_default();
        *arrivals = Arrivals {
            cores: arrivals.now(now) + work / ARRIVAL_SPAN,
            at: now,
        };
    }

    /// Returns the work that arrives for a pool, in cores.
    fn arriving(&self, pool: &PoolName, now: Duration) -> f64 {
        self.arrivals
            .get(pool)
            .map_or(0.0, |arrivals| arrivals.now(now))
    }
}

/// Need and room of a pool.
#[derive(Clone, Debug, Default)]
struct Balance {
    /// Machines wanted.
    wanted: usize,
    /// Machines that serve the pool, or will once they have arrived.
    held: usize,
    /// Idle machines with the time since when they are.
    idle: Vec<(Duration, Arc<str>)>,
    /// Machines wanted and had, by label that waiting work requires.
    labelled: BTreeMap<Arc<str>, (usize, usize)>,
}

impl Balance {
    /// Returns by how many machines with a label, or of any kind, the pool is short.
    fn shortage(&self, label: Option<&Arc<str>>) -> usize {
        match label {
            None => self.wanted.saturating_sub(self.held),
            Some(label) => self
                .labelled
                .get(label)
                .map_or(0, |(want, have)| want.saturating_sub(*have)),
        }
    }

    /// Returns the largest shortage, with the label that is missing.
    fn largest_shortage(&self) -> (usize, Option<Arc<str>>) {
        let labels = self.labelled.keys().cloned().map(Some);
        let all = labels.chain([None]);
        let shortages = all.map(|label| (self.shortage(label.as_ref()), label));
        shortages
            .max_by_key(|(count, _)| *count)
            .unwrap_or_default()
    }

    /// Notes that a machine joins or leaves.
    fn count(&mut self, labels: &[Arc<str>], joins: bool) {
        let change = |have: usize| {
            if joins {
                have + 1
            } else {
                have.saturating_sub(1)
            }
        };
        self.held = change(self.held);
        for label in labels {
            if let Some((_, have)) = self.labelled.get_mut(label) {
                *have = change(*have);
            }
        }
    }

    /// Returns whether the pool can do without a machine.
    fn can_spare(&self, labels: &[Arc<str>]) -> bool {
        let scarce = labels
            .iter()
            .filter_map(|label| self.labelled.get(label))
            .any(|(want, have)| want >= have);
        self.held > self.wanted && !scarce
    }
}

impl Scheduler {
    /// Begins the moves that the present demand asks for.
    ///
    /// Answers the load pattern of queues that take turns: each asks in its turn for several
    /// times its pool, while the others stand nearly idle. Idle machines follow the demand, since
    /// a moved machine earns its price within a second of a burst.
    pub(crate) fn rebalance(&mut self, now: Duration) {
        self.release_reserved();
        if !self.may_order_machines(now) {
            return;
        }
        let mut balances = self.balances(now);
        let spare = self
            .pools
            .iter()
            .find(|(_, config)| config.spare)
            .map(|(name, _)| name.clone());
        let mut moves: Vec<(Arc<str>, PoolName)> = Vec::new();
        let mut unmet: BTreeSet<(PoolName, Option<Arc<str>>)> = BTreeSet::new();
        while moves.len() < MOST_MOVES {
            let short = balances
                .iter()
                .filter(|(pool, _)| Some(*pool) != spare.as_ref())
                .map(|(pool, balance)| (balance.largest_shortage(), pool))
                .filter(|((count, label), pool)| {
                    *count > 0 && !unmet.contains(&((*pool).clone(), label.clone()))
                })
                .max_by_key(|((count, _), _)| *count)
                .map(|((_, label), pool)| (pool.clone(), label));
            let Some((short, label)) = short else {
                break;
            };
            let wish = (&short, label.as_ref());
            let Some((donor, machine)) = self.donor(&balances, wish, spare.as_ref(), now) else {
                unmet.insert((short, label));
                continue;
            };
            let labels = self.machines.known[&machine].labels.clone();
            if let Some(balance) = balances.get_mut(&donor) {
                balance.count(&labels, false);
                balance.idle.retain(|(_, name)| *name != machine);
            }
            if let Some(balance) = balances.get_mut(&short) {
                balance.count(&labels, true);
            }
            moves.push((machine, short));
        }
        if let Some(spare) = spare {
            for (pool, balance) in &mut balances {
                if *pool == spare {
                    continue;
                }
                while moves.len() < MOST_MOVES {
                    let long = balance.idle.iter().position(|(since, name)| {
                        let labels = &self.machines.known[name].labels;
                        now >= *since + IDLE_OFF && balance.can_spare(labels)
                    });
                    let Some(index) = long else {
                        break;
                    };
                    let (_, machine) = balance.idle.remove(index);
                    balance.count(&self.machines.known[&machine].labels, false);
                    moves.push((machine, spare.clone()));
                }
            }
        }
        for (machine, pool) in moves {
            self.rebalancer.idle_since.remove(&machine);
            self.order_machine(&machine, &MachineOrder::Move(pool));
        }
    }

    /// Finds an idle machine, with the label if one is given: a switched-off one, else from the
    /// pool with the most to spare.
    fn donor(
        &self,
        balances: &BTreeMap<PoolName, Balance>,
        (short, label): (&PoolName, Option<&Arc<str>>),
        spare: Option<&PoolName>,
        now: Duration,
    ) -> Option<(PoolName, Arc<str>)> {
        let fits = |name: &Arc<str>| {
            label.is_none_or(|label| self.machines.known[name].labels.contains(label))
        };
        let off = spare.and_then(|spare| balances.get(spare).map(|balance| (spare, balance)));
        if let Some((pool, balance)) = off
            && let Some((_, machine)) = balance.idle.iter().find(|(_, name)| fits(name))
        {
            return Some((pool.clone(), machine.clone()));
        }
        let ripe = |balance: &Balance| {
            let idle = balance.idle.iter().find(|(since, name)| {
                let labels = &self.machines.known[name].labels;
                now >= *since + IDLE_LEND && fits(name) && balance.can_spare(labels)
            });
            idle.map(|(_, name)| name.clone())
        };
        let able = balances.iter().filter(|(pool, _)| *pool != short);
        let able = able.filter_map(|(pool, balance)| {
            let over = balance.held.saturating_sub(balance.wanted);
            ripe(balance).map(|machine| (over, pool, machine))
        });
        let (_, pool, machine) = able.max_by_key(|(over, ..)| *over)?;
        Some((pool.clone(), machine))
    }

    fn balances(&mut self, now: Duration) -> BTreeMap<PoolName, Balance> {
        let mut balances: BTreeMap<PoolName, Balance> = BTreeMap::new();
        for pool in self.pools.keys() {
            balances.insert(pool.clone(), Balance::default());
        }
        let mut sizes: Vec<u64> = self
            .machines
            .known
            .values()
            .map(|machine| machine.capacity.cpu)
            .collect();
        sizes.sort_unstable();
        let size = sizes.get(sizes.len() / 2).copied().unwrap_or(1).max(1) as f64 / 1_000.0;
        let mut cores: HashMap<PoolName, f64> = HashMap::new();
        let mut labelled: HashMap<(PoolName, Arc<str>), f64> = HashMap::new();
        for job in self
            .jobs
            .values()
            .filter(|job| job.ended.is_none() && !job.accepted.job.is_long_running())
        {
            for (label, work) in job.work_by_label() {
                *cores.entry(job.pool.clone()).or_default() += work / HORIZON;
                if let Some(label) = label {
                    let key = (job.pool.clone(), label.clone());
                    *labelled.entry(key).or_default() += work / HORIZON;
                }
            }
        }
        for job in self.jobs.values().filter(|job| job.ended.is_none()) {
            let waiting = job.missing_workers();
            if waiting > 0 {
                balances.entry(job.pool.clone()).or_default().wanted += waiting;
            }
        }
        for ((pool, label), cores) in labelled {
            let balance = balances.entry(pool).or_default();
            balance.labelled.insert(label, (round_up(cores / size), 0));
        }
        let names: Vec<Arc<str>> = self.machines.known.keys().cloned().collect();
        let mut seen: HashMap<Arc<str>, Duration> = HashMap::new();
        for name in names {
            let machine = &self.machines.known[&name];
            let target = match self
                .machines
                .pending
                .get(&name)
                .map(|pending| &pending.order)
            {
                Some(MachineOrder::Move(pool)) => pool.clone(),
                _ => machine.pool.clone(),
            };
            let (lasting, _) = self.load_of(machine);
            let empty = self.is_empty(machine);
            let balance = balances.entry(target).or_default();
            if machine.state != MachineState::Down {
                balance.count(&machine.labels, true);
            }
            if lasting > 0 {
                balance.wanted += 1;
            }
            let free =
                machine.state == MachineState::Up && !self.machines.pending.contains_key(&name);
            let held = self.may_have_inherited_order(&name, now);
            if free && empty && !held && !self.maintenance.wants(&name) {
                let since = self
                    .rebalancer
                    .idle_since
                    .get(&name)
                    .copied()
                    .unwrap_or(now);
                seen.insert(name.clone(), since);
                balance.idle.push((since, name));
            }
        }
        self.rebalancer.idle_since = seen;
        for (pool, balance) in &mut balances {
            let backlog = cores.get(pool).copied().unwrap_or_default();
            let arriving = self.rebalancer.arriving(pool, now);
            if arriving > 0.0 {
                let least = LEAST_BURST * size;
                self.rebalancer.forecast.observe(pool, arriving, least, now);
            }
            let lead = self.settings.move_time + MOVE_MARGIN;
            let expected = self.rebalancer.forecast.forecast(pool, lead, now);
            let busy = backlog.max(arriving).max(expected.unwrap_or_default()) / size;
            balance.wanted += KEPT.max(round_up(busy));
            balance.idle.sort();
        }
        balances
    }
}

/// Rounds a number of machines up.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "fleets are far smaller than the range"
)]
fn round_up(machines: f64) -> usize {
    machines.max(0.0).ceil() as usize
}
