//! The typed view of a configuration.

use std::collections::BTreeMap;

use nutmegcart_model::Code;
use nutmegcart_model::JobName;
use nutmegcart_model::PoolName;
use nutmegcart_model::Record;
use nutmegcart_model::ServiceName;
use nutmegcart_model::TeamName;
use nutmegcart_model::WaveName;
use nutmegcart_model::record::Budget;
use nutmegcart_model::record::Fault;
use nutmegcart_model::record::Job;
use nutmegcart_model::record::Pool;
use nutmegcart_model::record::Team;
use nutmegcart_model::record::Wave;

use crate::configuration::Configuration;

/// Result of building a view.
pub type Result<T> = std::result::Result<T, Fault>;

/// Records by name, with checked references.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Pools.
    pub pools: BTreeMap<PoolName, Pool>,
    /// Jobs.
    pub jobs: BTreeMap<JobName, Job>,
    /// Budgets by pool.
    pub budgets: BTreeMap<PoolName, Budget>,
    /// Waves.
    pub waves: BTreeMap<WaveName, Wave>,
    /// Teams.
    pub teams: BTreeMap<TeamName, Team>,
}

impl View {
    /// Builds the view and checks references between records.
    ///
    /// # Errors
    ///
    /// Returns the first reference that does not hold.
    pub fn build(configuration: &Configuration) -> Result<Self> {
        let mut view = Self::default();
        for document in configuration.documents() {
            view.insert(document.record()?)?;
        }
        view.check()?;
        Ok(view)
    }

    fn insert(&mut self, record: Record) -> Result<()> {
        match record {
            Record::Pool(pool) => drop(self.pools.insert(pool.name.clone(), pool)),
            Record::Job(job) => drop(self.jobs.insert(job.name.clone(), job)),
            Record::Wave(wave) => drop(self.waves.insert(wave.name.clone(), wave)),
            Record::Team(team) => drop(self.teams.insert(team.name.clone(), team)),
            Record::Budget(budget) => {
                let name = budget.name.clone();
                if let Some(other) = self.budgets.insert(budget.pool.clone(), budget) {
                    let reason = format!("budgets {} and {name} are for one pool", other.name);
                    return Err(Fault::new(Code::DuplicateName, "/pool", reason));
                }
            }
        }
        Ok(())
    }

    fn check(&self) -> Result<()> {
        let mut services: BTreeMap<&ServiceName, &PoolName> = BTreeMap::new();
        for pool in self.pools.values() {
            if let Some(other) = services.insert(&pool.service, &pool.name) {
                let reason = format!("pools {other} and {} carry one service", pool.name);
                return Err(Fault::new(Code::DuplicateName, "/service", reason));
            }
        }
        for job in self.jobs.values() {
            self.need_pool(&job.pool, "/pool", &format!("job {}", job.name))?;
            let missing = job
                .team
                .as_ref()
                .filter(|team| !self.teams.contains_key(*team));
            if let Some(team) = missing {
                let reason = format!("job {} refers to missing team {team}", job.name);
                return Err(Fault::new(Code::MissingReference, "/team", reason));
            }
        }
        for budget in self.budgets.values() {
            self.need_pool(&budget.pool, "/pool", &format!("budget {}", budget.name))?;
        }
        for wave in self.waves.values() {
            for (index, pool) in wave.pools.iter().enumerate() {
                let path = format!("/pools/{index}");
                self.need_pool(pool, &path, &format!("wave {}", wave.name))?;
            }
        }
        Ok(())
    }

    fn need_pool(&self, pool: &PoolName, path: &str, referrer: &str) -> Result<()> {
        if self.pools.contains_key(pool) {
            return Ok(());
        }
        let reason = format!("{referrer} refers to missing pool {pool}");
        Err(Fault::new(Code::MissingReference, path, reason))
    }

    /// Returns the pool that carries a service.
    #[must_use]
    pub fn pool_of(&self, service: &str) -> Option<&Pool> {
        self.pools.values().find(|pool| &*pool.service == service)
    }

    /// Returns how many instances of the pool may be unavailable; none without a budget.
    #[must_use]
    pub fn allowed(&self, pool: &PoolName, size: u32) -> u32 {
        self.budgets
            .get(pool)
            .map_or(0, |budget| budget.allowance.of(size))
    }
}
