//! Time of one planning round and size of a pool map, over the size of the fleet.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use nutmegcart_fleet::FleetView;
use nutmegcart_fleet::MapEntry;
use nutmegcart_fleet::ObservedInstances;
use nutmegcart_fleet::PlannerMemory;
use nutmegcart_fleet::WavePhase;
use nutmegcart_fleet::WaveProgress;
use nutmegcart_fleet::map::PoolMaps;
use nutmegcart_fleet::map::Versioned;
use nutmegcart_fleet::planner;
use nutmegcart_fleet::planner::FleetConfig;
use nutmegcart_fleet::planner::ProgressByWave;
use nutmegcart_model::DataCentre;
use nutmegcart_model::record::Pool;
use nutmegcart_model::record::Wave;
use nutmegcart_model::record::Weights;
use nutmegcart_platform::Instance;
use nutmegcart_platform::InstanceState;
use nutmegcart_platform::Role;

use crate::comparison::Comparison;
use crate::waves::BUDGET;

/// Numbers of instances, pools and data centres of today's deployments and of those planned in two
/// years.
const FLEET_SIZES: [(u32, u32, u32); 3] = [(50, 5, 4), (500, 53, 4), (2600, 275, 8)];

/// Planning rounds measured for each fleet size.
const ROUNDS: u32 = 200;

/// Inputs of a planning round.
struct PlannerInputs {
    maps: PoolMaps,
    waves: ProgressByWave,
    instances: ObservedInstances,
    config: FleetConfig,
}

fn planner_inputs(instances: u32, pools: u32, centres: u32) -> PlannerInputs {
    let mut config = FleetConfig::default();
    for index in 0..pools {
        let name = format!("pool-{index}");
        let pool = Pool {
            name: name.as_str().into(),
            service: name.as_str().into(),
            size: instances / pools,
            spare: index == 0,
            minimum: 2,
            workers: 0,
        };
        config.budgets.insert(pool.name.clone(), BUDGET);
        config.pools.insert(pool.name.clone(), pool);
    }
    let wave = Wave {
        name: "kernel".into(),
        pools: config.pools.keys().cloned().collect(),
        deadline: None,
        weights: Weights::default(),
        width: None,
    };
    let progress = WaveProgress {
        phase: WavePhase::Running,
        run: 1,
        step_size: 64,
        ..WaveProgress::default()
    };
    let mut maps = PoolMaps::new();
    let mut list = Vec::new();
    for index in 0..instances {
        let centre = DataCentre::from(format!("centre-{}", index % centres));
        let instance = Instance {
            id: format!("instance-{index:05}").into(),
            role: Role::Runner,
            address: ([127, 0, 0, 1], 80).into(),
            centre: centre.clone(),
            rack: format!("rack-{}", index / 4).into(),
            state: InstanceState::Live,
            age_ms: 0,
            boots: 0,
        };
        let pool = format!("pool-{}", index / 4 % pools);
        let entry = MapEntry::new(pool.into(), instance.role, instance.rack.clone());
        let map: &mut Versioned<_> = maps.entry(centre).or_default();
        map.value.instances.insert(instance.id.clone(), entry);
        list.push(instance);
    }
    let mut instances = ObservedInstances::default();
    instances.record(&list, Duration::from_secs(1));
    let stored = Versioned {
        value: progress,
        modified: 1,
    };
    PlannerInputs {
        maps,
        waves: [(wave.name.clone(), stored)].into(),
        instances,
        config: {
            config.waves.insert(wave.name.clone(), wave);
            config
        },
    }
}

/// Returns the mean time of a planning round in microseconds, and the size of a pool map in bytes.
fn round_cost((instances, pools, centres): (u32, u32, u32)) -> (f64, f64) {
    let inputs = planner_inputs(instances, pools, centres);
    let centre = DataCentre::from("centre-0");
    let view = FleetView {
        centre: &centre,
        duty: ("/nutmegcart/duty/centre-0", 1),
        head: ("/nutmegcart/config/head", 1),
        maps: &inputs.maps,
        waves: &inputs.waves,
        instances: &inputs.instances,
        config: &inputs.config,
        store_online: true,
    };
    let start = Instant::now();
    for _ in 0..ROUNDS {
        black_box(planner::plan(
            &view,
            &mut PlannerMemory::default(),
            Duration::from_secs(2),
        ));
    }
    let time = start.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS);
    let map = &inputs.maps[&centre].value;
    let bytes = serde_json::to_vec(map)
        .expect("a map is serialisable")
        .len();
    (time, bytes as f64)
}

/// Compares the time of a round with growth in proportion to the instances, and the size of a pool
/// map with its limit.
pub fn comparisons() -> Vec<Comparison> {
    let costs = FLEET_SIZES.map(round_cost);
    let mut comparisons = Vec::new();
    for ((instances, pools, _), (time, bytes)) in FLEET_SIZES.iter().zip(costs) {
        let linear = costs[0].0 * f64::from(*instances) / f64::from(FLEET_SIZES[0].0);
        let name = format!("planning round, {instances} instances in {pools} pools");
        comparisons.push(Comparison::new(
            name,
            "us, baseline is linear growth",
            linear,
            time,
        ));
        let name = format!("pool map of a data centre, {instances} instances");
        comparisons.push(Comparison::new(
            name,
            "bytes, baseline is the limit",
            1e6,
            bytes,
        ));
    }
    comparisons
}
