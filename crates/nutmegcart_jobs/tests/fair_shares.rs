//! Organisations that share a cell when there is too little room.

mod support;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_jobs::fair_shares::MAX_AGE;
use nutmegcart_jobs::fair_shares::TURN;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::support::assert_all_completed;
use crate::support::assert_no_violations;
use crate::support::batch_step;
use crate::support::overload::Arrival;
use crate::support::overload::MEAN_WORK;
use crate::support::overload::draw_arrivals;
use crate::support::overload::draw_steps;
use crate::support::overload::earned;
use crate::support::overload::organisations;
use crate::support::overload::submit_all;
use crate::support::seconds;
use crate::support::world;

/// Number of organisations; the first one sends too much.
const MEMBERS: usize = 8;
/// Number of workers with 64 cores each.
const WORKERS: usize = 8;
/// Core-seconds that arrive in a second by core, in the usual load of all organisations.
const USUAL_LOAD: f64 = 0.75;
/// Multiple of its usual rate that the first organisation sends, and for how long in seconds.
const EXCESS: (f64, f64) = (7.5, 7.0);
/// Number of plays.
const SEEDS: u64 = 4;
/// Value that the others may lose.
const MAX_LOSS: f64 = 0.05;

/// Usual jobs a second of each organisation, which is also its weight.
fn usual_rate() -> f64 {
    USUAL_LOAD * 64.0 * WORKERS as f64 / MEAN_WORK / MEMBERS as f64
}

fn shared_cell(seed: u64, weight: f64) -> CellSimulation {
    let mut world = world(seed, WORKERS);
    world.pools.truncate(1);
    world.duration_spread = 1.3;
    world.organisations = organisations(MEMBERS, weight);
    world.take_over();
    world.run(seconds(2.0));
    world
}

/// Draws the jobs of all organisations; the first one sends `factor` of its usual rate from 8 s on.
fn arrivals(seed: u64, factor: f64) -> Vec<Arrival> {
    let mut all = Vec::new();
    for member in 0..MEMBERS {
        let mut rng = SmallRng::seed_from_u64(seed * 100 + member as u64);
        let is_high = |time: f64| member == 0 && (8.0..8.0 + EXCESS.1).contains(&time);
        let rate = |time| usual_rate() * if is_high(time) { factor } else { 1.0 };
        let mut own = draw_arrivals(&mut rng, (0.0, 24.0), rate, draw_steps);
        for each in &mut own {
            each.organisation = Some(member);
        }
        all.extend(own);
    }
    all
}

/// Returns the part of their value that the other organisations and the first one earn.
fn values(seed: u64, factor: f64, weight: f64) -> (f64, f64) {
    let mut world = shared_cell(seed, weight);
    let jobs = submit_all(&mut world, arrivals(seed, factor), 15.0);
    assert_no_violations(&world);
    let of = |first: bool| {
        let jobs = jobs.iter();
        let jobs = jobs.filter(move |job| (job.organisation == Some(0)) == first);
        earned(&world, jobs, MEAN_WORK)
    };
    (of(false), of(true))
}

/// Plays the load with and without the excess of one organisation; `unit` is the factor between
/// weights and usual rates.
fn others_keep_their_value(unit: f64) {
    let mean = |factor| {
        let plays = (0..SEEDS).map(|seed| values(seed, factor, usual_rate() * unit));
        let sum = plays.fold((0.0, 0.0), |sum, each| (sum.0 + each.0, sum.1 + each.1));
        (sum.0 / SEEDS as f64, sum.1 / SEEDS as f64)
    };
    let (usual, high) = (mean(1.0), mean(EXCESS.0));
    println!("others, sender: {usual:?} usually, {high:?} with the excess");
    assert!(
        high.0 >= usual.0 - MAX_LOSS,
        "the others earn {} of their value instead of {}",
        high.0,
        usual.0
    );
}

cases! { others_keep_their_value:
    /// Guards against excess work of one organisation that takes room from the work of others.
    weights_that_are_usual_rates => 1.0;
    /// Guards against shares that only hold if weights are jobs a second: nothing is in excess.
    weights_far_above_the_rates => 100.0;
    /// Guards against shares that only hold if weights are jobs a second: all is in excess.
    weights_far_below_the_rates => 0.01;
}

/// Time after which a borrower has given back what others ask for: its running tasks have ended,
/// the longest of which take 1.6 s by estimate and 1.3 times as long in fact.
const GIVE_BACK_SECONDS: f64 = 2.1;

/// Returns the part of its value that an organisation earns from the jobs that it sends later than
/// [`GIVE_BACK_SECONDS`] after its first one, while another one has borrowed `factor` of all room.
fn value_beside_borrower(seed: u64, factor: f64) -> f64 {
    let rate = 64.0 * WORKERS as f64 / MEAN_WORK;
    let mut world = shared_cell(seed, rate / 2.0);
    let mut all = Vec::new();
    for (member, from, rate) in [(0, 0.0, rate * factor), (1, 10.0, rate * 0.4)] {
        let mut rng = SmallRng::seed_from_u64(seed * 100 + member as u64);
        let mut own = draw_arrivals(&mut rng, (from, 20.0), |_| rate, draw_steps);
        for each in &mut own {
            each.organisation = Some(member);
        }
        all.extend(own);
    }
    let start = world.unix_ms();
    let jobs = submit_all(&mut world, all, 12.0);
    assert_no_violations(&world);
    let late = |at: u64| (at - start) as f64 > (10.0 + GIVE_BACK_SECONDS) * 1_000.0;
    let jobs = jobs.iter();
    let jobs = jobs.filter(|job| job.organisation == Some(1) && late(job.at));
    earned(&world, jobs, MEAN_WORK)
}

/// Guards against an organisation that keeps idle room which it has borrowed.
#[test]
fn borrower_gives_back() {
    let mean = |factor| {
        let plays = (0..SEEDS).map(|seed| value_beside_borrower(seed, factor));
        plays.sum::<f64>() / SEEDS as f64
    };
    let (usual, beside) = (mean(0.5), mean(2.0));
    println!("beside one that sends its share {usual}, beside a borrower of all room {beside}");
    assert!(
        beside >= usual - MAX_LOSS,
        "{beside} of its value instead of {usual}"
    );
}

/// Guards against the least important work that never starts while more urgent work arrives.
///
/// The bound for a job is [`MAX_AGE`], and for it and each older waiting job the time of [`TURN`]
/// starts, the time of the longest task for each of its tasks, until a worker has room for it, and
/// its own time.
#[test]
fn nobody_starves() {
    let mut world = shared_cell(1, 100.0);
    let mut low = support::queue("gates");
    low.key.prefix = "/low/".into();
    low.priority = 9;
    world.queues.push(low);
    let arrival = |after: f64, queue, count, cpu, member| Arrival {
        after: seconds(after),
        organisation: Some(member),
        queue,
        steps: vec![batch_step(count, cpu, 1_000)],
    };
    let mut all = vec![arrival(0.0, 0, 8, 64_000, 1)];
    all.extend([0.1, 0.2, 0.3].map(|after| arrival(after, 1, 2, 60_000, 0)));
    let rate = 2.0 * 64.0 * WORKERS as f64 / MEAN_WORK;
    let mut rng = SmallRng::seed_from_u64(1);
    let mut others = draw_arrivals(&mut rng, (0.3, 60.0), |_| rate, draw_steps);
    for each in &mut others {
        each.organisation = Some(2);
    }
    all.extend(others);
    // At least a quarter of what arrives is started.
    let turn = seconds(f64::from(TURN) / (rate / 4.0) + 2.0 * 2.1 + 1.3);
    let bound = MAX_AGE + turn * 3;
    world.after(bound, |world| {
        let low: Vec<_> = (1..4).map(support::job_id).collect();
        let owner = world.owners.last().expect("a cell has an owner");
        let jobs = owner.scheduler.jobs();
        let waiting = jobs.filter(|job| low.contains(&job.id) && !job.started);
        assert_eq!(waiting.count(), 0, "jobs wait beyond the bound");
    });
    let jobs = submit_all(&mut world, all, 1.0);
    let low: Vec<_> = jobs[1..4].iter().map(|job| job.id.clone()).collect();
    assert_all_completed(&world, &low);
}
