//! Clients outside our control against whole `nutmegcart manage` processes on loopback. Each test
//! guards against a process that ends, hangs, or exceeds the memory or descriptors of its machine
//! while many clients hold unfinished requests or unread responses, and against one that answers
//! no ordinary client meanwhile.
//!
//! The size of the crowd and the bounds were fixed on the code that had no limits, and follow from
//! what the machine of the test has, not from what was measured.

mod support;

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process::Command;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use nutmegcart_stand_in::StandIn;
use serde_json::json;
use support::Process;

/// Host and path prefix of the queue.
const HOST: &str = "counts.example";
const PREFIX: &str = "/gates/";
/// Memory of the machine in MB, half of the smallest one.
const MEMORY_MB: u64 = 80;
/// Part of the machine's memory within which a process must stay, as a divisor; the rest is for
/// the system.
const MEMORY_PART: u64 = 2;
/// Descriptors that the machine permits to the process, an eighth of the smallest one's.
const MAX_FDS: usize = 512;
/// Number of clients at once, more than the process has descriptors.
const CROWD: usize = 600;
/// One client in this many completes its request.
const COMPLETE_ONE_IN: usize = 10;
/// Size of bodies, which the configuration permits.
const BODY_BYTES: usize = 262_000;
/// Maximum size of a body in the configuration.
const MAX_BODY_BYTES: usize = 262_144;
/// Size of bodies in chunks of one byte; each byte takes six on the wire.
const TINY_CHUNKS: usize = 8_000;
/// Size of bodies for peers, within their limit of 64 KiB.
const PEER_BODY_BYTES: usize = 65_000;
/// Size of a head without an end, which the configuration permits.
const HEAD_BYTES: usize = 15_000;
/// Size of a field of such a head; the HTTP library takes at most 100 fields.
const FIELD_BYTES: usize = 250;
/// Requests of a client that reads no response.
const UNREAD_REQUESTS: usize = 2_000;
/// Number of pieces in which the clients send in turn.
const PIECES: usize = 16;
/// Time after which a test counts a process that answers no ordinary client as hung.
const PATIENCE: Duration = Duration::from_secs(30);
/// Time after which a client whose bytes are not taken stops sending.
const SEND_PATIENCE: Duration = Duration::from_millis(200);
/// Port of the metrics.
const METRICS_PORT: u16 = 9_100;

/// Each test needs the memory and processor of the machine for itself.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// A process on a stand-in platform, and the highest number of descriptors seen.
struct Trial {
    process: Process,
    most_descriptors: usize,
    _platform: StandIn,
    _turn: MutexGuard<'static, ()>,
}

impl Trial {
    fn start() -> Self {
        let turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let platform = StandIn::start();
        platform.configure(1, "gates", HOST, PREFIX);
        let limits = json!({"max-body-bytes": MAX_BODY_BYTES, "header-timeout-ms": 3_000});
        platform.change_limits(2, &limits);
        let mut settings = platform.settings("entry-1");
        settings["limits"]["memory-mb"] = json!(MEMORY_MB);
        settings["limits"]["max-fds"] = json!(MAX_FDS);
        let port = METRICS_PORT.to_string();
        let process = Process::start_with_options(settings, &["--metrics", &port]);
        let mut trial = Self {
            process,
            most_descriptors: 0,
            _platform: platform,
            _turn: turn,
        };
        while trial.ordinary_request("00000000000000a0") != Some(200) {
            trial.assert_alive();
            sleep(Duration::from_millis(50));
        }
        trial
    }

    fn address(&self, listener: &str) -> SocketAddr {
        let text = match listener {
            "peers" => self.process.entry(),
            "metrics" => {
                let ip = self.process.settings["ip"].as_str().expect("an address");
                format!("{ip}:{METRICS_PORT}")
            }
            name => {
                let address = self.process.settings["listen"][name].as_str();
                address.expect("an address").to_owned()
            }
        };
        text.parse().expect("an address")
    }

    /// Submits a small job and returns the status of the response.
    fn ordinary_request(&self, id: &str) -> Option<u16> {
        let body = json!({"spec": "count", "steps": [{"count": 1, "cpu": 500, "mem-mb": 256}]});
        let body = body.to_string();
        let head = head(
            &format!("content-length: {}\r\nconnection: close", body.len()),
            id,
        );
        let mut stream = TcpStream::connect(self.address("front")).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        answer.split(' ').nth(1)?.parse().ok()
    }

    fn assert_alive(&mut self) {
        let ended = self.process.child.try_wait().expect("the process is known");
        assert!(ended.is_none(), "the process ended: {ended:?}");
    }

    fn count_descriptors(&mut self) {
        let directory = format!("/proc/{}/fd", self.process.child.id());
        let open = fs::read_dir(directory).map_or(0, Iterator::count);
        self.most_descriptors = self.most_descriptors.max(open);
    }

    /// Returns the highest memory use of the process in MB.
    fn peak_mb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.process.child.id());
        let status = fs::read_to_string(path).expect("the process runs");
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let peak = line.and_then(|line| line.split_whitespace().nth(1));
        let kilobytes: u64 = peak.and_then(|peak| peak.parse().ok()).expect("a number");
        kilobytes / 1_000
    }

    /// Opens the crowd, lets all clients send their bytes in turn, and checks the process while
    /// they stay open.
    fn run(mut self, listener: &str, pieces: usize, bytes: impl Fn(usize) -> Vec<u8>) {
        let address = self.address(listener);
        let mut clients = Vec::new();
        for number in 0..CROWD {
            let Ok(stream) = TcpStream::connect(address) else {
                continue;
            };
            let timeout = stream.set_write_timeout(Some(SEND_PATIENCE));
            timeout.expect("the time is not zero");
            clients.push((number, stream));
            self.count_descriptors();
        }
        for piece in 0..pieces {
            for (number, stream) in &mut clients {
                let bytes = bytes(*number);
                let size = bytes.len().div_ceil(pieces).max(1);
                let sent = bytes.chunks(size).nth(piece).unwrap_or_default();
                // The process may have closed the connection.
                let _ = stream.write_all(sent);
            }
            self.count_descriptors();
        }
        self.count_descriptors();
        self.assert_alive();
        // An ordinary client repeats a request that was refused as not run.
        let start = Instant::now();
        let mut status = None;
        while status != Some(200) && start.elapsed() < PATIENCE {
            status = self.ordinary_request("00000000000000a1");
            self.count_descriptors();
            self.assert_alive();
        }
        let peak = self.peak_mb();
        println!(
            "memory {peak} MB of {}, descriptors {} of {MAX_FDS}, ordinary request {status:?}",
            MEMORY_MB / MEMORY_PART,
            self.most_descriptors
        );
        assert_eq!(status, Some(200), "an ordinary request is answered");
        assert!(peak <= MEMORY_MB / MEMORY_PART, "memory: {peak} MB");
        assert!(
            self.most_descriptors <= MAX_FDS,
            "descriptors: {}",
            self.most_descriptors
        );
        drop(clients);
    }
}

fn head(fields: &str, id: &str) -> String {
    format!("POST {PREFIX}{id} HTTP/1.1\r\nhost: {HOST}\r\n{fields}\r\n\r\n")
}

/// Returns a valid job of the size.
fn job(size: usize) -> Vec<u8> {
    let frame = json!({"spec": "", "steps": [{"count": 1, "cpu": 500, "mem-mb": 256}]}).to_string();
    let spec = "x".repeat(size.saturating_sub(frame.len()));
    frame
        .replacen("\"spec\":\"\"", &format!("\"spec\":\"{spec}\""), 1)
        .into_bytes()
}

/// Leaves out the last byte except for one client in [`COMPLETE_ONE_IN`].
fn cut(mut bytes: Vec<u8>, number: usize) -> Vec<u8> {
    if !number.is_multiple_of(COMPLETE_ONE_IN) {
        bytes.pop();
    }
    bytes
}

fn whole_body(number: usize) -> Vec<u8> {
    let fields = format!("content-length: {BODY_BYTES}");
    let mut bytes = head(&fields, &format!("{number:016x}")).into_bytes();
    bytes.extend(job(BODY_BYTES));
    cut(bytes, number)
}

fn chunked_body(number: usize, size: usize, chunk: usize) -> Vec<u8> {
    let mut bytes = head("transfer-encoding: chunked", &format!("{number:016x}")).into_bytes();
    for chunk in job(size).chunks(chunk) {
        bytes.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
        bytes.extend(chunk);
        bytes.extend(b"\r\n");
    }
    bytes.extend(b"0\r\n\r\n");
    cut(bytes, number)
}

fn announced_body(number: usize) -> Vec<u8> {
    let fields = format!("content-length: {BODY_BYTES}");
    head(&fields, &format!("{number:016x}")).into_bytes()
}

fn peer_body(number: usize) -> Vec<u8> {
    let head = format!(
        "POST /v1/cell/ask HTTP/1.1\r\nhost: peer\r\ncontent-length: {PEER_BODY_BYTES}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.extend(vec![b'x'; PEER_BODY_BYTES]);
    cut(bytes, number)
}

fn endless_head(_number: usize) -> Vec<u8> {
    let mut bytes = b"GET / HTTP/1.1\r\nhost: counts.example\r\n".to_vec();
    while bytes.len() < HEAD_BYTES {
        let filler = "x".repeat(FIELD_BYTES);
        bytes.extend(format!("x-filler: {filler}\r\n").into_bytes());
    }
    bytes
}

fn unread(path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nhost: {HOST}\r\n\r\n")
        .repeat(UNREAD_REQUESTS)
        .into_bytes()
}

/// Defines tests by name, listener, number of pieces, and the bytes of each client.
macro_rules! crowds {
    ($($(#[$meta:meta])* $name:ident: $listener:expr, $pieces:expr, $bytes:expr;)*) => {$(
        $(#[$meta])*
        #[test]
        fn $name() {
            Trial::start().run($listener, $pieces, $bytes);
        }
    )*};
}

crowds! {
    crowd_of_whole_bodies: "front", 1, whole_body;
    crowd_of_bodies_in_pieces: "front", PIECES, whole_body;
    crowd_of_large_chunks: "front", 1, |number| chunked_body(number, BODY_BYTES, 16 << 10);
    crowd_of_large_chunks_in_pieces: "front", PIECES, |number| chunked_body(number, BODY_BYTES, 16 << 10);
    crowd_of_tiny_chunks: "front", 1, |number| chunked_body(number, TINY_CHUNKS, 1);
    crowd_of_announced_bodies: "front", 1, announced_body;
    crowd_of_endless_heads: "front", 1, endless_head;
    crowd_of_idle_connections: "front", 1, |_| Vec::new();
    crowd_that_reads_no_response: "front", 1, |_| unread("/gates/00000000000000a0");
    crowd_of_bodies_for_peers: "peers", 1, peer_body;
    crowd_of_heads_for_peers: "peers", 1, endless_head;
    crowd_that_reads_no_metrics: "metrics", 1, |_| unread("/metrics");
    crowd_of_heads_for_metrics: "metrics", 1, endless_head;
    crowd_of_heads_for_readiness: "ready", 1, endless_head;
}

/// Guards against limits that operators cannot see, and settings that have no effect.
#[test]
fn status_tells_what_clients_hold() {
    let trial = Trial::start();
    let entry = trial.process.entry();
    let output = Command::new(env!("CARGO_BIN_EXE_nutmegcart"))
        .args(["status", "--entry", &entry])
        .output()
        .expect("the binary runs");
    let text = String::from_utf8_lossy(&output.stdout);
    let line = text.lines().find(|line| line.starts_with("clients: "));
    let line = line.expect("the clients are shown");
    assert!(line.contains("of 8000000 B"), "{line}");
}
