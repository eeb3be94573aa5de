//! The records of a configuration, parsed and indexed by name.

use std::collections::BTreeMap;

use nutmegcart_model::Code;
use nutmegcart_model::JobName;
use nutmegcart_model::PoolName;
use nutmegcart_model::Record;
use nutmegcart_model::ServiceName;
use nutmegcart_model::TeamName;
use nutmegcart_model::WaveName;
use nutmegcart_model::record::Budget;
use nutmegcart_model::record::DocumentError;
use nutmegcart_model::record::Job;
use nutmegcart_model::record::Pool;
use nutmegcart_model::record::Team;
use nutmegcart_model::record::Wave;
use nutmegcart_model::schema;

use crate::configuration::Configuration;

/// Result of building a view.
pub type Result<T> = std::result::Result<T, DocumentError>;

/// Parsed records of a configuration, indexed by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigView {
    /// At most one pool per service.
    pub pools: BTreeMap<PoolName, Pool>,
    /// Jobs, each bound to one pool.
    pub jobs: BTreeMap<JobName, Job>,
    /// Availability budgets, at most one per pool, indexed by the name of the pool.
    pub budgets: BTreeMap<PoolName, Budget>,
    /// Waves, each over a list of pools.
    pub waves: BTreeMap<WaveName, Wave>,
    /// Teams that jobs refer to.
    pub teams: BTreeMap<TeamName, Team>,
}

/// A reference to a record that does not exist.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DanglingReference {
    /// Key `<kind>/<name>` of the missing record.
    pub key: String,
    /// Key `<kind>/<name>` of the record that holds the reference.
    pub referrer: String,
    /// JSON pointer to the reference within the document of the referrer.
    pub path: String,
}

impl From<DanglingReference> for DocumentError {
    fn from(dangling: DanglingReference) -> Self {
        let reason = format!("{} refers to missing {}", dangling.referrer, dangling.key);
        Self::new(Code::MissingReference, dangling.path, reason)
    }
}

impl ConfigView {
    /// Parses all records and checks the references between them.
    ///
    /// # Errors
    ///
    /// Fails like [`ConfigView::build_unchecked`], or on the first reference to a record that does
    /// not exist.
    pub fn build(configuration: &Configuration) -> Result<Self> {
        let view = Self::build_unchecked(configuration)?;
        match view.dangling_reference() {
            Some(dangling) => Err(dangling.into()),
            None => Ok(view),
        }
    }

    /// Parses all records without checking the references between them.
    ///
    /// Documents of a kind that this version of the program does not know are skipped. They remain
    /// in the configuration and are passed on to peers.
    ///
    /// # Errors
    ///
    /// Fails if a document cannot be parsed, if two budgets are for one pool, or if two pools are
    /// for one service.
    pub fn build_unchecked(configuration: &Configuration) -> Result<Self> {
        let mut view = Self::default();
        for document in configuration.documents() {
            if schema::is_known_kind(document.kind()) {
                view.insert(document.record()?)?;
            }
        }
        view.check_unique_services()?;
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
                    return Err(DocumentError::new(Code::DuplicateName, "/pool", reason));
                }
            }
        }
        Ok(())
    }

    fn check_unique_services(&self) -> Result<()> {
        let mut services: BTreeMap<&ServiceName, &PoolName> = BTreeMap::new();
        for pool in self.pools.values() {
            if let Some(other) = services.insert(&pool.service, &pool.name) {
                let reason = format!("pools {other} and {} carry one service", pool.name);
                return Err(DocumentError::new(Code::DuplicateName, "/service", reason));
            }
        }
        Ok(())
    }

    /// Returns the first reference to a record that does not exist.
    #[must_use]
    pub fn dangling_reference(&self) -> Option<DanglingReference> {
        let missing = |kind, name: &str, referrer: String, path: &str| DanglingReference {
            key: format!("{kind}/{name}"),
            referrer,
            path: path.to_owned(),
        };
        for job in self.jobs.values() {
            let referrer = format!("job/{}", job.name);
            if !self.pools.contains_key(&job.pool) {
                return Some(missing("pool", &job.pool, referrer, "/pool"));
            }
            let mut teams = job.team.iter();
            if let Some(team) = teams.find(|team| !self.teams.contains_key(*team)) {
                return Some(missing("team", team, referrer, "/team"));
            }
        }
        for budget in self.budgets.values() {
            if !self.pools.contains_key(&budget.pool) {
                let referrer = format!("budget/{}", budget.name);
                return Some(missing("pool", &budget.pool, referrer, "/pool"));
            }
        }
        for wave in self.waves.values() {
            let mut pools = wave.pools.iter().enumerate();
            if let Some((index, pool)) = pools.find(|(_, pool)| !self.pools.contains_key(*pool)) {
                let referrer = format!("wave/{}", wave.name);
                return Some(missing("pool", pool, referrer, &format!("/pools/{index}")));
            }
        }
        None
    }

    /// Returns the pool that serves a service.
    #[must_use]
    pub fn pool_for_service(&self, service: &str) -> Option<&Pool> {
        self.pools.values().find(|pool| &*pool.service == service)
    }

    /// Returns how many instances of a pool of the given size may be unavailable at once.
    ///
    /// A pool without a budget allows none.
    #[must_use]
    pub fn max_unavailable(&self, pool: &PoolName, size: u32) -> u32 {
        self.budgets
            .get(pool)
            .map_or(0, |budget| budget.allowance.max_unavailable(size))
    }
}
