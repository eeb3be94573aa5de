//! Entry instances in one process, connected through links that a test can cut.

#![allow(dead_code, reason = "each test binary uses its own part")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread::sleep;
use std::time::Duration;

use nutmegcart_entry::EntryInstance;
use nutmegcart_entry::EntrySettings;
use nutmegcart_fakes::FakePlatform;
use nutmegcart_fakes::FakeRunner;
use nutmegcart_fakes::Oracle;
use nutmegcart_fakes::TcpRelay;
use nutmegcart_fakes::server::free_address;
use nutmegcart_model::DataCentre;
use nutmegcart_model::Incarnation;
use nutmegcart_platform::FleetApi;
use nutmegcart_platform::InstanceState;
use nutmegcart_platform::etcd;
use nutmegcart_platform::fleet_api::FleetCall;
use serde_json::Value;
use serde_json::json;

const PLATFORM_TIMEOUT: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// An entry instance with the links through which it is connected.
pub struct Node {
    pub entry: Arc<EntryInstance>,
    pub centre: &'static str,
    /// Link from callers and operators.
    pub http_link: TcpRelay,
    /// Link to the platform.
    pub platform_link: TcpRelay,
    /// Links to the other entry instances, with the data centre of each.
    pub peer_links: Vec<(&'static str, TcpRelay)>,
    /// Links to the runners of other data centres.
    pub remote_links: Vec<TcpRelay>,
}

/// A deployment over loopback: a platform, runners and entry instances.
pub struct Site {
    pub platform: FakePlatform,
    pub oracle: Oracle,
    pub runners: Vec<FakeRunner>,
    pub nodes: Vec<Node>,
    runner_centres: BTreeMap<String, &'static str>,
}

impl Site {
    /// Starts an entry instance and `runners_each` runners in each data centre.
    pub fn start(centres: &[&'static str], runners_each: usize, service_time: Duration) -> Self {
        let oracle = Oracle::default();
        let platform = FakePlatform::start(Duration::from_millis(30));
        let mut runners = Vec::new();
        let mut runner_centres = BTreeMap::new();
        for centre in centres {
            for index in 0..runners_each {
                let id = format!("{centre}-{index}");
                let runner = FakeRunner::start(id.as_str(), &oracle, service_time);
                let rack = format!("{centre}-rack-{index}").as_str().into();
                platform.add_runner(&runner, &DataCentre::from(*centre), &rack);
                runner_centres.insert(id, *centre);
                runners.push(runner);
            }
        }
        let mut site = Self {
            platform,
            oracle,
            runners,
            nodes: Vec::new(),
            runner_centres,
        };
        let addresses: Vec<(&'static str, SocketAddr)> = centres
            .iter()
            .map(|centre| (*centre, free_address()))
            .collect();
        for (index, (centre, listen)) in addresses.iter().enumerate() {
            let others = addresses
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != index);
            let others: Vec<(&'static str, SocketAddr)> = others.map(|(_, peer)| *peer).collect();
            let node = site.start_node(&format!("entry-{index}"), centre, *listen, &others);
            site.nodes.push(node);
        }
        site
    }

    /// Starts an entry instance that connects to all others through links of its own.
    pub fn start_node(
        &self,
        id: &str,
        centre: &'static str,
        listen: SocketAddr,
        others: &[(&'static str, SocketAddr)],
    ) -> Node {
        let link = |target| TcpRelay::start(target).expect("a link can be started");
        let platform = link(self.platform.address);
        let peers: Vec<(&'static str, TcpRelay)> = others
            .iter()
            .map(|(centre, address)| (*centre, link(*address)))
            .collect();
        let addresses: Vec<String> = peers
            .iter()
            .map(|(_, link)| link.address.to_string())
            .collect();
        let settings = EntrySettings::read(|name| match name {
            "listen" => Some(listen.to_string()),
            "id" => Some(id.to_owned()),
            "centre" => Some(centre.to_owned()),
            "platform" => Some(platform.address.to_string()),
            "peers" => Some(addresses.join(",")),
            "round-ms" => Some("20".into()),
            "lease-ms" => Some("1000".into()),
            "grace-ms" => Some("50".into()),
            "threads" => Some("4".into()),
            _ => None,
        });
        let remote: BTreeMap<String, TcpRelay> = self
            .runners
            .iter()
            .filter(|runner| self.runner_centres[&*runner.id] != centre)
            .map(|runner| (runner.id.to_string(), link(runner.address)))
            .collect();
        let links = remote.values().cloned().collect();
        let inner = FleetApi::http(platform.address, PLATFORM_TIMEOUT);
        let fleet = FleetApi::new(move |call| match call {
            FleetCall::List => inner.list().map(|mut instances| {
                for instance in &mut instances {
                    if let Some(link) = remote.get(&*instance.id) {
                        instance.address = link.address;
                    }
                }
                instances
            }),
            FleetCall::Drain(id, operation) => inner.drain(&id, &operation).map(|()| Vec::new()),
            FleetCall::Reboot(id, operation) => inner.reboot(&id, &operation).map(|()| Vec::new()),
            FleetCall::Restore(id, operation) => {
                inner.restore(&id, &operation).map(|()| Vec::new())
            }
        });
        let store = etcd::connect(platform.address, PLATFORM_TIMEOUT);
        let settings = settings.expect("test settings are accepted");
        let entry = EntryInstance::start(settings, Incarnation::random(), store, fleet)
            .expect("the entry instance starts");
        Node {
            http_link: link(listen),
            entry,
            centre,
            platform_link: platform,
            peer_links: peers,
            remote_links: links,
        }
    }

    /// Cuts a data centre off from the platform and from all others.
    pub fn isolate(&self, centre: &str) {
        self.apply_to_links(centre, TcpRelay::disconnect);
    }

    /// Ends the isolation of a data centre.
    pub fn rejoin(&self, centre: &str) {
        self.apply_to_links(centre, TcpRelay::reconnect);
    }

    fn apply_to_links(&self, centre: &str, act: fn(&TcpRelay)) {
        for node in &self.nodes {
            let inside = node.centre == centre;
            if inside {
                act(&node.platform_link);
                node.remote_links.iter().for_each(act);
            }
            for (other, link) in &node.peer_links {
                if inside != (*other == centre) {
                    act(link);
                }
            }
        }
    }

    /// Applies records through a node and returns the answer.
    pub fn apply(&self, node: usize, documents: &[Value]) -> Value {
        self.nodes[node].post("/admin/v1/apply", &json!({"documents": documents}))
    }

    /// Returns the generation in force at each node.
    pub fn generations(&self) -> Vec<u64> {
        self.nodes.iter().map(Node::generation).collect()
    }

    /// Returns the number of instances in the list that are not live.
    pub fn out_of_service(&self) -> usize {
        let instances = self.platform.instances();
        instances
            .iter()
            .filter(|instance| instance.state != InstanceState::Live)
            .count()
    }

    /// Returns the total number of reboots of a data centre's runners.
    pub fn reboots(&self, centre: &str) -> u64 {
        let instances = self.platform.instances();
        let own = instances
            .iter()
            .filter(|instance| &*instance.centre == centre);
        own.map(|instance| instance.boots).sum()
    }
}

impl Node {
    /// Returns the generation in force.
    pub fn generation(&self) -> u64 {
        self.entry
            .tables
            .in_force
            .get()
            .configuration
            .generation()
            .0
    }

    /// Posts JSON and returns the JSON answer, or null without an answer.
    pub fn post(&self, path: &str, body: &Value) -> Value {
        let url = format!("http://{}{path}", self.http_link.address);
        let answer = agent().post(url).send(body.to_string().as_bytes());
        read(answer).1
    }

    /// Gets JSON, or null without an answer.
    pub fn get(&self, path: &str) -> Value {
        read(
            agent()
                .get(format!("http://{}{path}", self.http_link.address))
                .call(),
        )
        .1
    }

    /// Sends a caller's request; returns the status with the body or with code and verdict.
    pub fn call(&self, service: &str, token: &str, headers: &[(&str, &str)]) -> String {
        let url = format!(
            "http://{}/v1/services/{service}/tally",
            self.http_link.address
        );
        let mut request = agent().post(url).header("nutmegcart-caller", "member-1");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let (status, body) = read(request.send(token.as_bytes()));
        match (status, &body) {
            (0, _) => "no answer".into(),
            (200, Value::String(text)) => format!("200 {text}"),
            (_, body) => format!("{status} {} {}", body["code"], body["verdict"]).replace('"', ""),
        }
    }
}

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into()
}

type Answer = Result<ureq::http::Response<ureq::Body>, ureq::Error>;

fn read(answer: Answer) -> (u16, Value) {
    let Ok(mut answer) = answer else {
        return (0, Value::Null);
    };
    let status = answer.status().as_u16();
    match answer.body_mut().read_to_string() {
        Ok(text) => (
            status,
            serde_json::from_str(&text).unwrap_or(Value::String(text)),
        ),
        Err(_) => (0, Value::Null),
    }
}

/// Waits for a condition without a timeout, since no time limit fits every machine.
pub fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        sleep(POLL_INTERVAL);
    }
}

/// Returns the record of a pool.
pub fn pool(name: &str, size: usize) -> Value {
    json!({"schema": 1, "kind": "pool", "name": name, "service": name, "size": size})
}

/// Returns the record of a budget.
pub fn budget(pool: &str, unavailable: u32) -> Value {
    json!({
        "schema": 1, "kind": "budget", "name": pool, "pool": pool, "unavailable": unavailable,
    })
}

/// Returns the record of a wave.
pub fn wave(name: &str, pools: &[&str]) -> Value {
    json!({"schema": 1, "kind": "wave", "name": name, "pools": pools})
}

/// Lines that a session test compares with its snapshot.
#[derive(Default)]
pub struct Transcript(Mutex<Vec<String>>);

impl Transcript {
    /// Adds a line.
    pub fn note(&self, line: impl Into<String>) {
        self.0
            .lock()
            .expect("no test thread panicked")
            .push(line.into());
    }

    /// Returns all lines.
    pub fn text(&self) -> String {
        self.0.lock().expect("no test thread panicked").join("\n")
    }
}
