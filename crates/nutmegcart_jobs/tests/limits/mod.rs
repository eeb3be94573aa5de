//! A fleet of simulated cells that share the limits of organisations, in virtual time.

pub mod checks;
pub mod messages;

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_fakes::cell::Owner;
use nutmegcart_fleet::Resources;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::Organisation;
use nutmegcart_jobs::Step;
use nutmegcart_jobs::limit_moves::StoredAllocations;
use nutmegcart_model::OrganisationName;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use self::checks::Checks;
use self::messages::Message;
use crate::support::seconds;
use crate::support::submit_as;
use crate::support::world;

/// Time after which an instance certainly knows a new configuration.
pub const CONFIG_TIME: Duration = Duration::from_secs(3);
/// Resolution of the simulation.
const STEP: Duration = Duration::from_millis(1);

/// Owner of a cell, by the number of the cell and its index there.
pub type OwnerId = (usize, usize);

/// Several cells, the store of allocations, and the messages between owners.
pub struct Fleet {
    pub now: Duration,
    pub cells: Vec<CellSimulation>,
    /// Stored allocations by organisation.
    pub stored: BTreeMap<OrganisationName, StoredAllocations>,
    pub revision: i64,
    pub store_down: bool,
    /// Share of transactions whose response is lost, and that of those which are carried out late.
    pub lost: f64,
    pub late: f64,
    /// Owners that have no link to others.
    pub isolated: Option<OwnerId>,
    pub version: u64,
    /// Versions of the configuration that owners apply.
    pub versions: BTreeMap<OwnerId, u64>,
    pub messages: Vec<(Duration, Message)>,
    pub state: messages::Exchange,
    pub checks: Checks,
    pub calls: usize,
    pub rng: StdRng,
    pub submitted: usize,
}

impl Fleet {
    pub fn new(seed: u64, cells: u32, workers: usize, organisations: &[Organisation]) -> Self {
        let worlds = (0..cells).map(|number| {
            let mut world = world(seed + u64::from(number), workers);
            (world.cell, world.cells) = (number, cells);
            // Without a spare pool no machine moves, so a crashed worker restarts as it was.
            world.pools.truncate(1);
            world.organisations = organisations.to_vec();
            world.take_over();
            world
        });
        let cells: Vec<CellSimulation> = worlds.collect();
        let mut fleet = Self {
            now: cells[0].now,
            cells,
            stored: BTreeMap::new(),
            revision: 0,
            store_down: false,
            lost: 0.0,
            late: 0.0,
            isolated: None,
            version: 1,
            versions: BTreeMap::new(),
            messages: Vec::new(),
            state: messages::Exchange::default(),
            checks: Checks::default(),
            calls: 0,
            rng: StdRng::seed_from_u64(seed),
            submitted: 0,
        };
        fleet.checks.set_limits(fleet.now, organisations);
        fleet.run(seconds(0.5));
        fleet
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            for cell in &mut self.cells {
                cell.store.down = self.store_down;
                cell.run(STEP);
            }
            self.exchange();
            let problems = self.checks.check(self.now, &self.cells);
            self.checks.violations.extend(problems);
        }
    }

    /// Returns the owners that may act.
    pub fn acting(&self) -> Vec<OwnerId> {
        let mut acting = Vec::new();
        for (number, cell) in self.cells.iter().enumerate() {
            for (index, owner) in cell.owners.iter().enumerate() {
                let valid = self.now < owner.renewed_at + cell.settings.owner_validity;
                if owner.up && !owner.released && valid {
                    acting.push((number, index));
                }
            }
        }
        acting
    }

    pub fn owner(&mut self, (cell, index): OwnerId) -> &mut Owner {
        &mut self.cells[cell].owners[index]
    }

    pub fn submit(&mut self, cell: usize, organisation: &OrganisationName, step: Step) -> JobId {
        self.submitted += 1;
        let name = Some(organisation.clone());
        let need = step.need;
        let id = submit_as(&mut self.cells[cell], name, 0, self.submitted, vec![step]);
        self.checks.add_job(&id, organisation, need);
        id
    }

    /// Sets the limits; each owner applies them within [`CONFIG_TIME`].
    pub fn set_limits(&mut self, organisations: &[Organisation]) {
        self.version += 1;
        self.checks.set_limits(self.now, organisations);
        for cell in &mut self.cells {
            cell.organisations = organisations.to_vec();
        }
        for id in self.acting() {
            let delay = seconds(self.rng.random_range(0.0..2.5));
            let message = Message::Configure(id, self.version, organisations.to_vec());
            self.messages.push((self.now + delay, message));
        }
    }

    /// Starts a successor of a cell's owner, with the latest configuration.
    pub fn take_over(&mut self, cell: usize) {
        let index = self.cells[cell].take_over();
        self.versions.insert((cell, index), self.version);
    }
}

pub fn organisation(name: &str, cpu: u64) -> Organisation {
    Organisation::new(name.into(), 1.0, Resources::new(cpu, 0, 0))
}
