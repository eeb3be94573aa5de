//! Faults of the drawn sessions.

use std::time::Duration;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_jobs::WaveRequest;
use nutmegcart_model::WorkerId;
use rand::Rng;

use super::features::Feature;
use super::session::Session;
use crate::support::seconds;

/// Time between two attempts of a successor to reach the store.
const STORE_RETRY: Duration = Duration::from_millis(100);

impl Session {
    /// Begins one of the faults.
    pub fn disturb(&mut self) {
        match self.rng.random_range(0..8) {
            0 => self.kill_owner(),
            1 => self.release_owner(),
            2 => self.cut_off_owner(),
            3 => self.cut_off_workers(),
            4 => self.crash_and_restart(),
            5 => {
                let span = self.fault("delayed orders", 0.5, 4.0);
                self.world.delayed_share = 0.3;
                self.world.after(span, |world| world.delayed_share = 0.0);
            }
            6 if self.draw.has(Feature::Waves) => self.start_wave(),
            _ if self.draw.has(Feature::Outages) => self.outage(),
            _ => {
                let span = self.fault("store down", 0.2, 5.0);
                self.world.store.down = true;
                self.world.after(span, |world| world.store.down = false);
            }
        }
    }

    /// Lets a fault last for a while, and returns how long.
    fn fault(&mut self, what: &str, least: f64, most: f64) -> Duration {
        let span = seconds(self.rng.random_range(least..most));
        let (now, until) = (self.world.now, self.world.now + span);
        self.world.checker.record_fault(until);
        let (at, until) = (now.as_millis(), until.as_millis());
        self.log.push(format!("{at} ms: {what} until {until} ms"));
        span
    }

    /// Stops the store while thousands of short tasks are at work.
    fn outage(&mut self) {
        self.submit_flood();
        let work = seconds(self.rng.random_range(0.1..1.5));
        self.run(work);
        let most = if self.rng.random_bool(0.5) {
            10.0
        } else {
            200.0
        };
        let span = self.fault("outage of the store", 0.5, most);
        self.used.insert(Feature::Outages);
        self.world.store.down = true;
        self.run(span);
        self.world.store.down = false;
        if self.rng.random_bool(0.5) {
            // Its key has expired in a long outage.
            self.world.take_over();
        }
    }

    fn latest_owner(&self) -> Option<usize> {
        let latest = self.world.owners.len().checked_sub(1)?;
        let owner = &self.world.owners[latest];
        (owner.up && !owner.released && owner.reaches_store).then_some(latest)
    }

    fn kill_owner(&mut self) {
        if let Some(owner) = self.latest_owner() {
            let span = self.fault("owner killed", 0.1, 2.5);
            self.world.owners[owner].up = false;
            self.world.after(span, take_over);
        }
    }

    fn release_owner(&mut self) {
        if let Some(owner) = self.latest_owner()
            && !self.world.store.down
        {
            self.fault("owner released", 0.2, 0.21);
            self.world.release_owner(owner);
        }
    }

    /// Cuts an owner off from the store, so that its successor takes over while it still acts.
    fn cut_off_owner(&mut self) {
        if let Some(owner) = self.latest_owner() {
            let span = self.fault("owner cut off from the store", 2.6, 8.0);
            self.world.owners[owner].reaches_store = false;
            self.world.after(seconds(2.55), take_over);
            self.world
                .after(span, move |world| world.owners[owner].reaches_store = true);
        }
    }

    fn cut_off_workers(&mut self) {
        if let Some(owner) = self.latest_owner()
            && let Some(id) = self.any_worker()
        {
            let span = self.fault(&format!("{id} cut off from the owner"), 0.3, 9.0);
            let until = self.world.now + span;
            let known = self.cut_off.entry(id.clone()).or_default();
            *known = until.max(*known);
            self.world.owners[owner].unreachable.insert(id.clone());
            self.world.after(span, move |world| {
                world.owners[owner].unreachable.remove(&id);
            });
        }
    }

    fn crash_and_restart(&mut self) {
        let Some(id) = self.any_worker() else {
            return;
        };
        let most = if self.rng.random_bool(0.5) { 3.0 } else { 20.0 };
        let span = self.fault(&format!("{id} crashes"), 0.2, most);
        self.world.crash(&id);
        let ends = self.max_ends;
        self.world.after(span, move |world| {
            let machine = world.workers[&id].listing.machine.clone();
            let machine = machine.and_then(|name| world.machines.get(&name));
            let still = machine.is_some_and(|each| each.worker.as_ref() == Some(&id));
            if !world.workers[&id].up && still {
                world.restart(&id);
                if let Some(worker) = world.workers.get_mut(&id) {
                    worker.max_ends = ends;
                }
            }
        });
    }

    fn start_wave(&mut self) {
        let Some(owner) = self.latest_owner() else {
            return;
        };
        self.used.insert(Feature::Waves);
        self.fault("wave", 1.0, 1.1);
        let count = self.rng.random_range(1..=self.workers.min(20));
        let max_down = self.rng.random_range(1..=3);
        self.max_down.push(max_down);
        let wave = WaveRequest {
            number: self.max_down.len() as u64,
            machines: self.world.machines.keys().take(count).cloned().collect(),
            duration: seconds(60.0),
            max_down,
        };
        let now = self.world.now;
        self.world.owners[owner].scheduler.update_wave(wave, now);
    }

    fn any_worker(&mut self) -> Option<WorkerId> {
        let up = self.world.workers.iter().filter(|(_, worker)| worker.up);
        let up: Vec<&WorkerId> = up.map(|(id, _)| id).collect();
        let count = up.len();
        (count > 0).then(|| up[self.rng.random_range(0..count)].clone())
    }
}

/// Starts a successor as soon as the store answers.
fn take_over(world: &mut CellSimulation) {
    if world.store.down {
        world.after(STORE_RETRY, take_over);
    } else {
        world.take_over();
    }
}
