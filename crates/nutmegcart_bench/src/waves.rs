//! Maintenance waves and moves of instances between pools in virtual time: the planner against a
//! simple baseline.
//!
//! Both run with the same instances, failures and demand, generated from a seed.

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

use crate::comparison::Comparison;
use crate::waves_baseline::FixedBatchPolicy;
use crate::waves_planner::PlannerPolicy;

/// Virtual time of one tick.
pub const TICK: Duration = Duration::from_secs(5);

/// Ticks before the wave starts, so that the demand estimates converge.
const SETTLE_TICKS: u32 = 240;

/// Ticks after which an unfinished wave is abandoned: twelve hours.
const MAX_WAVE_TICKS: u32 = 12 * 720;

/// Minimum number of ticks that are evaluated, also if the wave finishes earlier: four hours.
const MIN_OBSERVED_TICKS: u32 = 4 * 720;

/// Consecutive seeds run for each deployment, starting with the given one.
const SEED_COUNT: u64 = 5;

/// Mean demand of a pool over all phases, as a share of its declared size.
const MEAN_DEMAND_SHARE: f64 = 0.4;

/// Deviation of the mean demand of busy and quiet services from [`MEAN_DEMAND_SHARE`], as a share.
const PHASE_SWING: f64 = 0.5;

/// Time after which busy services become quiet and quiet ones busy.
const PHASE_TIME: Duration = Duration::from_mins(40);

/// Demand in a peak and between peaks, as a multiple of the mean.
const PEAK_FACTOR: f64 = 5.0;
const OFF_PEAK_FACTOR: f64 = 0.05;

/// Size and planning weights of a simulated deployment.
#[derive(Clone, Copy, Debug)]
pub struct WaveDeployment {
    /// Name in the output.
    pub name: &'static str,
    /// Runners of each pool; the last pool is the spare pool.
    pub sizes: [u32; 5],
    /// Weights of the planner's costs.
    pub weights: Weights,
}

/// Simulated deployments: A gives most weight to buffer cost, B to roll-out time.
pub const DEPLOYMENTS: [WaveDeployment; 2] = [
    WaveDeployment {
        name: "A",
        sizes: [12, 8, 10, 10, 10],
        weights: Weights {
            buffer: 3.0,
            rollout: 1.0,
            moves: 1.0,
        },
    },
    WaveDeployment {
        name: "B",
        sizes: [12, 8, 10, 10, 10],
        weights: Weights {
            buffer: 1.0,
            rollout: 3.0,
            moves: 1.0,
        },
    },
];

/// Availability budget: share of a pool that may be unavailable.
pub const BUDGET: Allowance = Allowance::Percent(25);

/// A simulated instance.
pub struct SimulatedInstance {
    /// Its entry in the instance list.
    pub entry: Instance,
    /// Time at which the current drain or reboot ends.
    state_end: Duration,
    /// Whether the instance fails instead of returning from its reboot.
    reboot_fails: bool,
}

/// Demand of a pool, in instances. It alternates between peaks and pauses of random length.
struct PoolDemand {
    /// Mean over all phases.
    mean: f64,
    peak: bool,
    /// Time at which the current peak or pause ends.
    switch_at: Duration,
    current: f64,
}

/// Instances, failures and demand, generated from a seed.
pub struct WaveSimulation {
    /// Virtual time.
    pub now: Duration,
    /// Instances by identifier.
    pub instances: BTreeMap<InstanceId, SimulatedInstance>,
    /// Configuration records of the pools.
    pub pools: Vec<Pool>,
    /// The wave over all pools.
    pub wave: Wave,
    pool_demands: Vec<PoolDemand>,
    rng: SmallRng,
    /// Time of the rack failure, and the rack.
    rack_failure: (Duration, Rack),
    /// Times at which failed instances are repaired.
    repairs: BTreeMap<InstanceId, Duration>,
}

impl WaveSimulation {
    fn new(deployment: &WaveDeployment, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut instances = BTreeMap::new();
        let mut pools = Vec::new();
        for (index, &size) in deployment.sizes.iter().enumerate() {
            for serial in 0..size {
                // Each rack holds four instances of a pool, as in both real deployments.
                let centre = serial / 4 + u32::try_from(index).unwrap_or(0);
                let centre = centre % 4;
                let id = InstanceId::from(format!("{centre}-{index}-{serial:02}"));
                let entry = Instance {
                    id: id.clone(),
                    role: Role::Runner,
                    address: ([127, 0, 0, 1], 80).into(),
                    centre: DataCentre::from(format!("c{centre}")),
                    rack: Rack::from(format!("c{centre}-r{}", index / 2)),
                    state: InstanceState::Live,
                    age_ms: 0,
                    boots: 0,
                };
                let instance = SimulatedInstance {
                    entry,
                    state_end: Duration::ZERO,
                    reboot_fails: false,
                };
                instances.insert(id, instance);
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
        let pool_demands = pools.iter().map(|pool| PoolDemand {
            mean: f64::from(pool.size) * MEAN_DEMAND_SHARE,
            peak: false,
            switch_at: Duration::ZERO,
            current: 0.0,
        });
        let pool_demands = pool_demands.collect();
        let wave = Wave {
            name: "kernel".into(),
            pools: pools.iter().map(|pool| pool.name.clone()).collect(),
            deadline: None,
            weights: deployment.weights,
            width: None,
        };
        let at = TICK * SETTLE_TICKS + Duration::from_secs(rng.random_range(60..900));
        let rack = format!("c{}-r{}", rng.random_range(0..4), rng.random_range(0..2));
        Self {
            now: Duration::ZERO,
            instances,
            pools,
            wave,
            pool_demands,
            rng,
            rack_failure: (at, rack.as_str().into()),
            repairs: BTreeMap::new(),
        }
    }

    /// Returns the instance list.
    pub fn instance_list(&self) -> Vec<Instance> {
        let entries = self
            .instances
            .values()
            .map(|instance| instance.entry.clone());
        entries.collect()
    }

    /// Returns the current demand by pool.
    pub fn demand(&self) -> BTreeMap<PoolName, Demand> {
        let pairs = self.pools.iter().zip(&self.pool_demands);
        let demand = pairs.map(|(pool, demand)| {
            let demand = Demand {
                runners: demand.current,
                workers: 0.0,
            };
            (pool.name.clone(), demand)
        });
        demand.collect()
    }

    /// Returns the mean demand of a pool in the current phase, averaged over its peaks and pauses.
    fn mean_demand(&self, index: usize) -> f64 {
        let phase = self.now.as_secs() / PHASE_TIME.as_secs();
        let busy = (phase + index as u64).is_multiple_of(2);
        let swing = if busy {
            1.0 + PHASE_SWING
        } else {
            1.0 - PHASE_SWING
        };
        // The demand of the spare pool itself is small and constant.
        let factor = if self.pools[index].spare { 0.25 } else { swing };
        self.pool_demands[index].mean * factor
    }

    /// Starts draining an instance.
    pub fn drain(&mut self, id: &str) {
        let duration = Duration::from_secs(self.rng.random_range(20..120));
        self.transition(id, InstanceState::Live, InstanceState::Leaving, duration);
    }

    /// Reboots a drained instance.
    pub fn reboot(&mut self, id: &str) {
        let duration = Duration::from_secs(self.rng.random_range(60..240));
        let reboot_fails = self.rng.random_bool(0.005);
        self.transition(
            id,
            InstanceState::Drained,
            InstanceState::Rebooting,
            duration,
        );
        if let Some(instance) = self.instances.get_mut(id) {
            instance.reboot_fails = reboot_fails;
        }
    }

    /// Returns a draining or drained instance to service.
    pub fn restore(&mut self, id: &str) {
        for state in [InstanceState::Leaving, InstanceState::Drained] {
            self.transition(id, state, InstanceState::Live, Duration::ZERO);
        }
    }

    fn transition(&mut self, id: &str, from: InstanceState, to: InstanceState, duration: Duration) {
        if let Some(instance) = self.instances.get_mut(id)
            && instance.entry.state == from
        {
            instance.entry.state = to;
            instance.state_end = self.now + duration;
        }
    }

    fn advance(&mut self) {
        self.now += TICK;
        let now = self.now;
        for (id, instance) in &mut self.instances {
            let entry = &mut instance.entry;
            if now >= self.rack_failure.0
                && now < self.rack_failure.0 + TICK
                && entry.rack == self.rack_failure.1
            {
                entry.state = InstanceState::Failed;
                self.repairs
                    .insert(id.clone(), now + Duration::from_mins(15));
            }
            let ended = instance.state_end <= now;
            match entry.state {
                InstanceState::Leaving if ended => entry.state = InstanceState::Drained,
                InstanceState::Rebooting if ended && instance.reboot_fails => {
                    entry.state = InstanceState::Failed;
                    self.repairs
                        .insert(id.clone(), now + Duration::from_mins(10));
                }
                InstanceState::Rebooting if ended => {
                    entry.state = InstanceState::Live;
                    entry.boots += 1;
                }
                InstanceState::Failed if self.repairs.get(id).is_some_and(|at| *at <= now) => {
                    entry.state = InstanceState::Live;
                    entry.boots += 1;
                }
                _ => {}
            }
        }
        for index in 0..self.pool_demands.len() {
            let mean = self.mean_demand(index);
            let spare = self.pools[index].spare;
            let demand = &mut self.pool_demands[index];
            if now >= demand.switch_at {
                demand.peak = !demand.peak;
                let seconds = if demand.peak { 5..15 } else { 20..65 };
                demand.switch_at = now + Duration::from_secs(self.rng.random_range(seconds));
            }
            let factor = if demand.peak {
                PEAK_FACTOR
            } else {
                OFF_PEAK_FACTOR
            };
            demand.current = mean * if spare { 1.0 } else { factor };
        }
    }
}

/// A policy for waves and for moves between pools.
pub trait FleetPolicy {
    /// Acts on the simulation. The wave starts at the first call with `wave` set.
    fn tick(&mut self, simulation: &mut WaveSimulation, wave: bool);
    /// Returns the pool of an instance.
    fn pool(&self, id: &str) -> Option<&PoolName>;
    /// Returns the number of moves between pools so far.
    fn moves(&self) -> u32;
}

/// Results of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct WaveResults {
    /// Mean number of live instances above the mean demand, without the spare pool.
    pub buffer: f64,
    /// Mean number of instances by which the live ones fall short of the mean demand, without the
    /// spare pool.
    pub shortage: f64,
    /// Seconds from the start of the wave until every instance was rebooted.
    pub rollout_seconds: f64,
    /// Moves between pools.
    pub moves: f64,
    /// Number of cases, one per tick and pool, in which a drain exceeded the availability budget.
    pub breaches: f64,
}

/// Returns the number of instances in a pool, and how many of them are live.
fn count_members(
    simulation: &WaveSimulation,
    policy: &impl FleetPolicy,
    pool: &Pool,
) -> (u32, u32) {
    let mut members = 0;
    let mut live = 0;
    for (id, instance) in &simulation.instances {
        if policy.pool(id) == Some(&pool.name) {
            members += 1;
            live += u32::from(instance.entry.state == InstanceState::Live);
        }
    }
    (members, live)
}

fn draining_instances(simulation: &WaveSimulation) -> Vec<InstanceId> {
    let draining = |instance: &&SimulatedInstance| instance.entry.state == InstanceState::Leaving;
    let found = simulation.instances.values().filter(draining);
    found.map(|instance| instance.entry.id.clone()).collect()
}

/// Runs a policy through the settling time, the wave and the rest of the evaluated time.
fn run(deployment: &WaveDeployment, seed: u64, policy: &mut impl FleetPolicy) -> WaveResults {
    let mut simulation = WaveSimulation::new(deployment, seed);
    let mut results = WaveResults::default();
    let mut observed = 0.0;
    let mut finished = false;
    for tick in 0..SETTLE_TICKS + MAX_WAVE_TICKS {
        simulation.advance();
        let wave = tick >= SETTLE_TICKS;
        let draining_before = draining_instances(&simulation);
        policy.tick(&mut simulation, wave);
        for pool in &simulation.pools {
            let (members, live) = count_members(&simulation, policy, pool);
            let drained = draining_instances(&simulation)
                .into_iter()
                .any(|id| !draining_before.contains(&id) && policy.pool(&id) == Some(&pool.name));
            if drained && members - live > BUDGET.max_unavailable(members) {
                results.breaches += 1.0;
            }
        }
        if !wave {
            continue;
        }
        observed += 1.0;
        for (index, pool) in simulation
            .pools
            .iter()
            .enumerate()
            .filter(|(_, pool)| !pool.spare)
        {
            let (_, live) = count_members(&simulation, policy, pool);
            let surplus = f64::from(live) - simulation.mean_demand(index);
            results.buffer += surplus.max(0.0);
            results.shortage += (-surplus).max(0.0);
        }
        if !finished
            && simulation
                .instances
                .values()
                .all(|instance| instance.entry.boots > 0)
        {
            finished = true;
            results.rollout_seconds = (TICK * (tick - SETTLE_TICKS + 1)).as_secs_f64();
        }
        if finished && tick >= SETTLE_TICKS + MIN_OBSERVED_TICKS {
            break;
        }
    }
    if !finished {
        results.rollout_seconds = (TICK * MAX_WAVE_TICKS).as_secs_f64();
    }
    results.buffer /= observed;
    results.shortage /= observed;
    results.moves = f64::from(policy.moves());
    results
}

/// Compares the policies for both deployments; each value is a mean over the seeds.
pub fn comparisons(seed: u64) -> Vec<Comparison> {
    let mut comparisons = Vec::new();
    for deployment in &DEPLOYMENTS {
        let mut runs = Vec::new();
        for seed in seed..seed + SEED_COUNT {
            let baseline = run(deployment, seed, &mut FixedBatchPolicy::new(deployment));
            let current = run(deployment, seed, &mut PlannerPolicy::new(deployment));
            runs.push((baseline, current));
        }
        let mut compare = |name: &str, unit: &str, field: fn(&WaveResults) -> f64| {
            let mean =
                |values: &mut dyn Iterator<Item = f64>| values.sum::<f64>() / SEED_COUNT as f64;
            comparisons.push(Comparison::new(
                format!("{name}, deployment {}", deployment.name),
                unit,
                mean(&mut runs.iter().map(|(baseline, _)| field(baseline))),
                mean(&mut runs.iter().map(|(_, current)| field(current))),
            ));
        };
        compare("buffer held back", "instances", |results| results.buffer);
        compare("roll-out time", "s", |results| results.rollout_seconds);
        compare("moves of instances", "moves", |results| results.moves);
        compare("budget breaches", "breaches", |results| results.breaches);
        compare("capacity lacking", "instances", |results| results.shortage);
    }
    comparisons
}
