//! Waves and lending in virtual time: the planner against a plain baseline.
//!
//! Both run on the same machines, failures and demand of a seed. The measures are instances held
//! back, roll-out time and moves.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegcart_fleet::Demand;
use nutmegcart_model::DataCentre;
use nutmegcart_model::InstanceId;
use nutmegcart_model::PoolName;
use nutmegcart_model::Rack;
use nutmegcart_model::record::Allowance;
use nutmegcart_model::record::Pool;
use nutmegcart_model::record::Wave;
use nutmegcart_model::record::Weights;
use nutmegcart_platform::Instance;
use nutmegcart_platform::InstanceState;
use nutmegcart_platform::Role;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::measure::Measure;
use crate::waves_baseline::Baseline;
use crate::waves_planner::Planner;

/// Virtual time of one tick.
pub const TICK: Duration = Duration::from_secs(5);

/// Ticks before the wave starts, in which estimates settle.
const SETTLE: u32 = 240;

/// Ticks after which a wave that does not finish is given up: twelve hours.
const LIMIT: u32 = 12 * 720;

/// Ticks over which demand is observed in any case: four hours.
const OBSERVED: u32 = 4 * 720;

/// Seeds run for each deployment, from the given one on.
const SEEDS: u64 = 5;

/// Mean demand of a pool over its phases, as a share of its declared size.
const MEAN_DEMAND: f64 = 0.4;

/// Swing of the mean between the busy and the quiet services.
const SWING: f64 = 0.5;

/// Time after which busy and quiet services change places.
const PHASE: Duration = Duration::from_mins(40);

/// Factor of the mean at the peak, and between peaks.
const PEAK: f64 = 5.0;
const BETWEEN: f64 = 0.05;

/// A deployment's size and weights.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name in the output.
    pub name: &'static str,
    /// Runners of each pool; the last pool is the spare pool.
    pub sizes: [u32; 5],
    /// Weights.
    pub weights: Weights,
}

/// Deployment A gives most weight to buffer cost, deployment B to roll-out time.
pub const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "A",
        sizes: [12, 8, 10, 10, 10],
        weights: Weights {
            buffer: 3.0,
            rollout: 1.0,
            moves: 1.0,
        },
    },
    Deployment {
        name: "B",
        sizes: [12, 8, 10, 10, 10],
        weights: Weights {
            buffer: 1.0,
            rollout: 3.0,
            moves: 1.0,
        },
    },
];

/// Share of a pool that may be unavailable, in percent.
pub const BUDGET: Allowance = Allowance::Percent(25);

/// An instance and what it is doing.
pub struct Machine {
    /// Line of the instance list.
    pub line: Instance,
    ends: Duration,
    breaks: bool,
}

/// Demand of a pool.
struct Queue {
    mean: f64,
    peak: bool,
    ends: Duration,
    now: f64,
}

/// Machines, failures and demand of a seed.
pub struct Site {
    /// Virtual time.
    pub now: Duration,
    /// Instances.
    pub machines: BTreeMap<InstanceId, Machine>,
    /// Records.
    pub pools: Vec<Pool>,
    /// The wave over all pools.
    pub wave: Wave,
    queues: Vec<Queue>,
    rng: SmallRng,
    /// Time and place of a rack failure.
    rack_failure: (Duration, Rack),
    repairs: BTreeMap<InstanceId, Duration>,
}

impl Site {
    fn new(deployment: &Deployment, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut machines = BTreeMap::new();
        let mut pools = Vec::new();
        for (index, &size) in deployment.sizes.iter().enumerate() {
            for serial in 0..size {
                // Four instances of a pool share a rack, as in both deployments.
                let centre = serial / 4 + u32::try_from(index).unwrap_or(0);
                let centre = centre % 4;
                let id = InstanceId::from(format!("{centre}-{index}-{serial:02}"));
                let line = Instance {
                    id: id.clone(),
                    role: Role::Runner,
                    address: ([127, 0, 0, 1], 80).into(),
                    centre: DataCentre::from(format!("c{centre}")),
                    rack: Rack::from(format!("c{centre}-r{}", index / 2)),
                    state: InstanceState::Live,
                    age_ms: 0,
                    boots: 0,
                };
                let machine = Machine {
                    line,
                    ends: Duration::ZERO,
                    breaks: false,
                };
                machines.insert(id, machine);
            }
            let name = format!("pool-{index}");
            pools.push(Pool {
                name: name.as_str().into(),
                service: name.as_str().into(),
                size,
                spare: index == 4,
                minimum: 2,
                workers: 0,
            });
        }
        let queues = pools.iter().map(|pool| Queue {
            mean: f64::from(pool.size) * MEAN_DEMAND,
            peak: false,
            ends: Duration::ZERO,
            now: 0.0,
        });
        let queues = queues.collect();
        let wave = Wave {
            name: "kernel".into(),
            pools: pools.iter().map(|pool| pool.name.clone()).collect(),
            deadline: None,
            weights: deployment.weights,
            width: None,
        };
        let at = TICK * SETTLE + Duration::from_secs(rng.random_range(60..900));
        let rack = format!("c{}-r{}", rng.random_range(0..4), rng.random_range(0..2));
        Self {
            now: Duration::ZERO,
            machines,
            pools,
            wave,
            queues,
            rng,
            rack_failure: (at, rack.as_str().into()),
            repairs: BTreeMap::new(),
        }
    }

    /// Returns the instance list.
    pub fn list(&self) -> Vec<Instance> {
        let lines = self.machines.values().map(|machine| machine.line.clone());
        lines.collect()
    }

    /// Returns the present demand by pool.
    pub fn demand(&self) -> BTreeMap<PoolName, Demand> {
        let pairs = self.pools.iter().zip(&self.queues);
        let demand = pairs.map(|(pool, queue)| {
            let demand = Demand {
                runners: queue.now,
                workers: 0.0,
            };
            (pool.name.clone(), demand)
        });
        demand.collect()
    }

    /// Returns the mean demand of a pool, which excludes bursts of seconds.
    fn mean(&self, index: usize) -> f64 {
        let phase = self.now.as_secs() / PHASE.as_secs();
        let busy = (phase + index as u64).is_multiple_of(2);
        let swing = if busy { 1.0 + SWING } else { 1.0 - SWING };
        // The spare pool's own work is small and steady.
        let factor = if self.pools[index].spare { 0.25 } else { swing };
        self.queues[index].mean * factor
    }

    /// Starts draining an instance.
    pub fn drain(&mut self, id: &str) {
        let takes = Duration::from_secs(self.rng.random_range(20..120));
        self.change(id, InstanceState::Live, InstanceState::Leaving, takes);
    }

    /// Reboots a drained instance.
    pub fn reboot(&mut self, id: &str) {
        let takes = Duration::from_secs(self.rng.random_range(60..240));
        let breaks = self.rng.random_bool(0.005);
        self.change(id, InstanceState::Drained, InstanceState::Rebooting, takes);
        if let Some(machine) = self.machines.get_mut(id) {
            machine.breaks = breaks;
        }
    }

    /// Returns an instance to service.
    pub fn restore(&mut self, id: &str) {
        for state in [InstanceState::Leaving, InstanceState::Drained] {
            self.change(id, state, InstanceState::Live, Duration::ZERO);
        }
    }

    fn change(&mut self, id: &str, from: InstanceState, to: InstanceState, takes: Duration) {
        if let Some(machine) = self.machines.get_mut(id)
            && machine.line.state == from
        {
            machine.line.state = to;
            machine.ends = self.now + takes;
        }
    }

    fn pass(&mut self) {
        self.now += TICK;
        let now = self.now;
        for (id, machine) in &mut self.machines {
            let line = &mut machine.line;
            if now >= self.rack_failure.0
                && now < self.rack_failure.0 + TICK
                && line.rack == self.rack_failure.1
            {
                line.state = InstanceState::Failed;
                self.repairs
                    .insert(id.clone(), now + Duration::from_mins(15));
            }
            let ended = machine.ends <= now;
            match line.state {
                InstanceState::Leaving if ended => line.state = InstanceState::Drained,
                InstanceState::Rebooting if ended && machine.breaks => {
                    line.state = InstanceState::Failed;
                    self.repairs
                        .insert(id.clone(), now + Duration::from_mins(10));
                }
                InstanceState::Rebooting if ended => {
                    line.state = InstanceState::Live;
                    line.boots += 1;
                }
                InstanceState::Failed if self.repairs.get(id).is_some_and(|at| *at <= now) => {
                    line.state = InstanceState::Live;
                    line.boots += 1;
                }
                _ => {}
            }
        }
        for index in 0..self.queues.len() {
            let mean = self.mean(index);
            let steady = self.pools[index].spare;
            let queue = &mut self.queues[index];
            if now >= queue.ends {
                queue.peak = !queue.peak;
                let seconds = if queue.peak { 5..15 } else { 20..65 };
                queue.ends = now + Duration::from_secs(self.rng.random_range(seconds));
            }
            let factor = if queue.peak { PEAK } else { BETWEEN };
            queue.now = mean * if steady { 1.0 } else { factor };
        }
    }
}

/// What a contestant does in a tick.
pub trait Contestant {
    /// Acts on the site; the wave runs from the moment this is first called with `true`.
    fn tick(&mut self, site: &mut Site, wave: bool);
    /// Returns the pool of an instance.
    fn pool(&self, id: &str) -> Option<&PoolName>;
    /// Returns the moves between pools so far.
    fn moves(&self) -> u32;
}

/// Sums over a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Score {
    /// Mean number of instances in service above the mean demand, outside the spare pool.
    pub held: f64,
    /// Mean number of instances that were lacking.
    pub lacking: f64,
    /// Time from the start of the wave until every instance was maintained, in seconds.
    pub rollout: f64,
    /// Moves between pools.
    pub moves: f64,
    /// Drains that took the known unavailable instances of a pool over its budget.
    pub breaches: f64,
}

fn available(site: &Site, contestant: &impl Contestant, pool: &Pool) -> (u32, u32) {
    let mut members = 0;
    let mut live = 0;
    for (id, machine) in &site.machines {
        if contestant.pool(id) == Some(&pool.name) {
            members += 1;
            live += u32::from(machine.line.state == InstanceState::Live);
        }
    }
    (members, live)
}

fn leaving(site: &Site) -> Vec<InstanceId> {
    let leaving = |machine: &&Machine| machine.line.state == InstanceState::Leaving;
    let lines = site.machines.values().filter(leaving);
    lines.map(|machine| machine.line.id.clone()).collect()
}

/// Runs one contestant through the settling time, the wave and the observed time.
fn run(deployment: &Deployment, seed: u64, contestant: &mut impl Contestant) -> Score {
    let mut site = Site::new(deployment, seed);
    let mut score = Score::default();
    let mut observed = 0.0;
    let mut finished = false;
    for tick in 0..SETTLE + LIMIT {
        site.pass();
        let wave = tick >= SETTLE;
        let before = leaving(&site);
        contestant.tick(&mut site, wave);
        for pool in &site.pools {
            let (members, live) = available(&site, contestant, pool);
            let taken = leaving(&site)
                .into_iter()
                .any(|id| !before.contains(&id) && contestant.pool(&id) == Some(&pool.name));
            if taken && members - live > BUDGET.max_unavailable(members) {
                score.breaches += 1.0;
            }
        }
        if !wave {
            continue;
        }
        observed += 1.0;
        for (index, pool) in site
            .pools
            .iter()
            .enumerate()
            .filter(|(_, pool)| !pool.spare)
        {
            let (_, live) = available(&site, contestant, pool);
            let free = f64::from(live) - site.mean(index);
            score.held += free.max(0.0);
            score.lacking += (-free).max(0.0);
        }
        if !finished && site.machines.values().all(|machine| machine.line.boots > 0) {
            finished = true;
            score.rollout = (TICK * (tick - SETTLE + 1)).as_secs_f64();
        }
        if finished && tick >= SETTLE + OBSERVED {
            break;
        }
    }
    if !finished {
        score.rollout = (TICK * LIMIT).as_secs_f64();
    }
    score.held /= observed;
    score.lacking /= observed;
    score.moves = f64::from(contestant.moves());
    score
}

/// Returns the measures for both deployments, as means over the seeds and the worst breaches.
pub fn measures(seed: u64) -> Vec<Measure> {
    let mut measures = Vec::new();
    for deployment in &DEPLOYMENTS {
        let mut scores = Vec::new();
        for seed in seed..seed + SEEDS {
            let baseline = run(deployment, seed, &mut Baseline::new(deployment));
            let current = run(deployment, seed, &mut Planner::new(deployment));
            scores.push((baseline, current));
        }
        let mut add = |what: &str, unit: &str, field: fn(&Score) -> f64| {
            let mean = |values: &mut dyn Iterator<Item = f64>| values.sum::<f64>() / SEEDS as f64;
            measures.push(Measure::new(
                format!("{what}, deployment {}", deployment.name),
                unit,
                mean(&mut scores.iter().map(|(baseline, _)| field(baseline))),
                mean(&mut scores.iter().map(|(_, current)| field(current))),
            ));
        };
        add("buffer held back", "instances", |score| score.held);
        add("roll-out time", "s", |score| score.rollout);
        add("moves of instances", "moves", |score| score.moves);
        add("budget breaches", "breaches", |score| score.breaches);
        add("capacity lacking", "instances", |score| score.lacking);
    }
    measures
}
