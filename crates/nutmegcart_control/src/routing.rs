//! Maps requests to queues by the configuration in force.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_jobs::Queue;
use nutmegcart_jobs::QueueKey;

use crate::access::Access;
use crate::access::Caller;
use crate::api_keys;
use crate::api_keys::ApiKeys;
use crate::port::PlatformConfig;

/// A queue with the settings of its callers' requests.
#[derive(Clone, Debug)]
pub struct Route {
    /// Queue that the requests belong to.
    pub queue: Arc<Queue>,
    /// Longest time for which a caller of the queue waits.
    pub timeout: Duration,
    /// Whether callers need no key, also if there are organisations.
    pub public: bool,
}

/// Routes by host and path prefix.
///
/// ```
/// # use nutmegcart_control::routing::Routing;
/// let routing = Routing::default();
/// assert!(routing.find("counts.example", "/gates/").is_none());
/// ```
#[derive(Debug, Default)]
pub struct Routing {
    hosts: HashMap<Arc<str>, Vec<Route>>,
    /// Keys of callers; none if there are no organisations.
    keys: Option<ApiKeys>,
}

impl Routing {
    /// Builds the routes of a configuration.
    #[must_use]
    pub fn new(configuration: &PlatformConfig) -> Self {
        let mut hosts: HashMap<Arc<str>, Vec<Route>> = HashMap::new();
        for (queue, callers) in configuration.queues.iter().zip(&configuration.callers) {
            let routes = hosts.entry(queue.key.host.clone()).or_default();
            routes.push(Route {
                queue: Arc::new(queue.clone()),
                timeout: Duration::from_millis(callers.timeout_ms),
                public: callers.public,
            });
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.queue.key.prefix.len()));
        }
        let keys = configuration.organisations.as_deref().map(ApiKeys::new);
        Self { hosts, keys }
    }

    /// Returns the caller of a request on a route.
    ///
    /// A public route needs no key, and jobs submitted there belong to no organisation. A valid key still
    /// opens the organisation's own jobs there: a route may become public while its jobs run.
    ///
    /// # Errors
    ///
    /// Fails if the route needs a key and `key` is not that of one organisation.
    pub fn caller(&self, route: &Route, key: Option<&str>) -> api_keys::Result<Caller> {
        let Some(keys) = &self.keys else {
            return Ok(Caller::default());
        };
        let organisation = match keys.organisation(key) {
            Ok(organisation) => Some(organisation),
            Err(_) if route.public => None,
            Err(code) => return Err(code),
        };
        let access = organisation
            .clone()
            .map_or(Access::Public, Access::Organisation);
        Ok(Caller {
            organisation: organisation.filter(|_| !route.public),
            access,
        })
    }

    /// Returns the caller of a request that names no route.
    ///
    /// # Errors
    ///
    /// Fails if there are organisations and `key` is not that of one.
    pub fn caller_without_route(&self, key: Option<&str>) -> api_keys::Result<Caller> {
        let Some(keys) = &self.keys else {
            return Ok(Caller::default());
        };
        let organisation = keys.organisation(key)?;
        Ok(Caller {
            access: Access::Organisation(organisation.clone()),
            organisation: Some(organisation),
        })
    }

    /// Returns the route with exactly this host and prefix.
    #[must_use]
    pub fn route(&self, key: &QueueKey) -> Option<&Route> {
        let routes = self.hosts.get(&key.host)?;
        routes.iter().find(|route| route.queue.key == *key)
    }

    /// Returns the route with the longest matching path prefix, and the rest of the path.
    #[must_use]
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&Route, &'a str)> {
        let host = host.split(':').next().unwrap_or(host);
        let routes = self.hosts.get(host)?;
        routes.iter().find_map(|route| {
            let rest = path.strip_prefix(&*route.queue.key.prefix)?;
            Some((route, rest))
        })
    }
}
