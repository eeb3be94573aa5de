//! Maps requests to queues by the configuration in force.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_jobs::Queue;
use nutmegcart_jobs::QueueKey;

use crate::port::PlatformConfig;

/// A queue with the settings of its callers' requests.
#[derive(Clone, Debug)]
pub struct Route {
    /// Queue that the requests belong to.
    pub queue: Arc<Queue>,
    /// Longest time for which a caller of the queue waits.
    pub timeout: Duration,
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
}

impl Routing {
    /// Builds the routes of a configuration.
    #[must_use]
    pub fn new(configuration: &PlatformConfig) -> Self {
        let mut hosts: HashMap<Arc<str>, Vec<Route>> = HashMap::new();
        for (queue, timeout) in configuration.queues.iter().zip(&configuration.timeouts_ms) {
            let routes = hosts.entry(queue.key.host.clone()).or_default();
            routes.push(Route {
                queue: Arc::new(queue.clone()),
                timeout: Duration::from_millis(*timeout),
            });
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.queue.key.prefix.len()));
        }
        Self { hosts }
    }

    /// Returns the queue with exactly this host and prefix.
    #[must_use]
    pub fn queue(&self, key: &QueueKey) -> Option<Arc<Queue>> {
        let routes = self.hosts.get(&key.host)?;
        let route = routes.iter().find(|route| route.queue.key == *key)?;
        Some(route.queue.clone())
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
