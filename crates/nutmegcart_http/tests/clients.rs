//! A server for clients outside our control. Tests guard against clients that hold more than the
//! limits, against closing ordinary clients while there is room, and against accounts that do not
//! return to zero.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use nutmegcart_http::BodyError;
use nutmegcart_http::ClientBody;
use nutmegcart_http::ClientGuard;
use nutmegcart_http::CloseReason;
use nutmegcart_http::ConnectionState;
use nutmegcart_http::GuardLimits;
use nutmegcart_http::ListenerKind;
use nutmegcart_http::RequestLimits;
use nutmegcart_http::serve_clients;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::LocalSet;

/// Maximum size of a body.
const BODY_LIMIT: usize = 262_144;
/// Size of the response to `GET /large`, which does not fit the write buffer.
const LARGE_RESPONSE: usize = 64 << 10;

/// Body of a client that holds less than its share.
const SMALL_BODY: usize = 100_000;

/// A server under test.
struct Server {
    guard: ClientGuard,
    address: SocketAddr,
    /// Requests to `/wait` are answered after a notification.
    answer: Rc<Notify>,
    _running: watch::Sender<bool>,
}

impl Server {
    async fn start(limits: GuardLimits, requests: RequestLimits) -> Self {
        let guard = ClientGuard::default();
        guard.set_limits(limits);
        guard.set_request_limits(requests);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (running, stop) = watch::channel(false);
        let answer = Rc::new(Notify::new());
        let wanted = answer.clone();
        let handler = move |request: Request<ClientBody>| {
            let wanted = wanted.clone();
            async move { respond(&wanted, request).await }
        };
        let served = serve_clients(
            listener,
            guard.clone(),
            ListenerKind::Callers,
            stop,
            handler,
        );
        tokio::task::spawn_local(served);
        Self {
            guard,
            address,
            answer,
            _running: running,
        }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address)
            .await
            .expect("a connection")
    }

    /// Connects from another loopback address.
    async fn connect_from(&self, source: &str) -> TcpStream {
        let socket = TcpSocket::new_v4().expect("a socket");
        let source = format!("{source}:0").parse().expect("an address");
        socket.bind(source).expect("a loopback address");
        socket.connect(self.address).await.expect("a connection")
    }

    fn closed(&self, reason: CloseReason) -> u64 {
        self.guard.status().closed[reason as usize]
    }

    fn in_state(&self, state: ConnectionState) -> usize {
        self.guard.status().by_state[state as usize]
    }

    async fn wait_for(&self, condition: impl Fn(&Self) -> bool) {
        while !condition(self) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

async fn respond(wanted: &Notify, request: Request<ClientBody>) -> Response<Full<Bytes>> {
    let path = request.uri().path().to_owned();
    let body = request.into_body().read(BODY_LIMIT).await;
    if path == "/wait" {
        wanted.notified().await;
    }
    let (status, text) = match body {
        Ok(_) if path == "/large" => (200, "x".repeat(LARGE_RESPONSE)),
        Ok(body) => (200, body.len().to_string()),
        Err(BodyError::Timeout) => (408, String::new()),
        Err(BodyError::TooLarge) => (413, String::new()),
        Err(_) => (400, String::new()),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = hyper::StatusCode::from_u16(status).expect("a status");
    response
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.expect("the runtime starts"), test);
}

fn post(path: &str, length: usize) -> Vec<u8> {
    format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n").into_bytes()
}

/// Sends a whole request and returns the head and the start of the body of its response; empty if the
/// connection was closed.
async fn call(stream: &mut TcpStream, request: &[u8]) -> String {
    let _ = stream.write_all(request).await;
    let mut answer = vec![0; 512];
    let read = stream.read(&mut answer).await.unwrap_or_default();
    String::from_utf8_lossy(&answer[..read]).into_owned()
}

/// Returns whether the connection has been closed by the server.
async fn is_closed(stream: &mut TcpStream) -> bool {
    stream.read(&mut [0; 512]).await.unwrap_or_default() == 0
}

fn short_limits() -> RequestLimits {
    RequestLimits {
        head_timeout: Duration::from_millis(1),
        idle_timeout: Duration::from_millis(1),
        ..RequestLimits::default()
    }
}

/// Limits that every connection of the test but a few exceeds.
fn few_bytes() -> GuardLimits {
    GuardLimits {
        bytes: 2 << 20,
        ..GuardLimits::default()
    }
}

/// Guards against closing clients that use all that they may while there is room, and against bytes
/// that stay reserved.
#[test]
fn largest_requests_are_served_and_return_their_bytes() {
    run(async {
        let server = Server::start(GuardLimits::default(), RequestLimits::default()).await;
        let mut stream = server.connect().await;
        for _ in 0..3 {
            let mut request = post("/", BODY_LIMIT);
            request.extend(vec![b'x'; BODY_LIMIT]);
            let answer = call(&mut stream, &request).await;
            assert!(answer.ends_with("262144"), "{answer}");
        }
        let mut head = b"GET / HTTP/1.1\r\nhost: a\r\n".to_vec();
        while head.len() < (16 << 10) - 300 {
            head.extend(format!("x-filler: {}\r\n", "x".repeat(200)).into_bytes());
        }
        head.extend(b"\r\n");
        let answer = call(&mut stream, &head).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        drop(stream);
        server
            .wait_for(|server| server.guard.status().bytes == 0)
            .await;
        let closed: u64 = server.guard.status().closed.iter().sum();
        assert_eq!(closed, 0, "nobody met a limit");
    });
}

/// Guards against an announced body that reserves memory, and one that is read although it is larger
/// than permitted.
#[test]
fn announced_length_reserves_nothing() {
    run(async {
        let server = Server::start(GuardLimits::default(), RequestLimits::default()).await;
        let mut stream = server.connect().await;
        let head = post("/", BODY_LIMIT);
        stream.write_all(&head).await.expect("the head is sent");
        server
            .wait_for(|server| server.in_state(ConnectionState::Body) == 1)
            .await;
        let reserved = server.guard.status().bytes;
        assert!(reserved < 64 << 10, "{reserved} B held");
        let mut other = server.connect().await;
        let answer = call(&mut other, &post("/", BODY_LIMIT + 1)).await;
        assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    });
}

/// Guards against clients that together hold more than the budget, and against closing a new client
/// instead of those that have held most for longest.
#[test]
fn unfinished_bodies_stay_within_the_budget() {
    run(async {
        let server = Server::start(few_bytes(), RequestLimits::default()).await;
        let mut crowd = Vec::new();
        for _ in 0..30 {
            let mut stream = server.connect().await;
            let mut request = post("/", BODY_LIMIT);
            request.extend(vec![b'x'; BODY_LIMIT - 1]);
            let _ = stream.write_all(&request).await;
            assert!(server.guard.status().bytes <= few_bytes().bytes);
            crowd.push(stream);
        }
        assert!(server.closed(CloseReason::Bytes) > 0);
        let mut stream = server.connect().await;
        let mut request = post("/", 1_000);
        request.extend(vec![b'x'; 1_000]);
        let answer = call(&mut stream, &request).await;
        assert!(answer.ends_with("1000"), "{answer}");
    });
}

/// Guards against an address that holds more than its share while others wait, at the expense of an
/// address that holds less.
#[test]
fn small_holder_is_not_closed_for_a_large_one() {
    run(async {
        let server = Server::start(few_bytes(), RequestLimits::default()).await;
        let mut small = server.connect_from("127.0.0.2").await;
        let mut request = post("/", SMALL_BODY);
        request.extend(vec![b'x'; SMALL_BODY - 1]);
        let sent = small.write_all(&request).await;
        sent.expect("the body is sent except for its end");
        // It has now held most for longest.
        tokio::time::sleep(Duration::from_millis(500)).await;
        let mut crowd = Vec::new();
        for _ in 0..30 {
            let mut stream = server.connect_from("127.0.0.3").await;
            let mut request = post("/", BODY_LIMIT);
            request.extend(vec![b'x'; BODY_LIMIT - 1]);
            let _ = stream.write_all(&request).await;
            crowd.push(stream);
        }
        assert!(server.closed(CloseReason::Bytes) > 0);
        let answer = call(&mut small, b"x").await;
        assert!(answer.ends_with("100000"), "{answer}");
    });
}

/// Guards against closing the connection of a request that is being handled and may have an effect.
#[test]
fn handled_request_is_answered_under_pressure() {
    run(async {
        let server = Server::start(few_bytes(), RequestLimits::default()).await;
        let mut handled = server.connect().await;
        // It holds more than any other, for longer.
        let mut request = post("/wait", BODY_LIMIT);
        request.extend(vec![b'x'; BODY_LIMIT]);
        handled.write_all(&request).await.expect("it is sent");
        server
            .wait_for(|server| server.in_state(ConnectionState::Handling) == 1)
            .await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        let mut crowd = Vec::new();
        for _ in 0..30 {
            let mut stream = server.connect().await;
            let mut request = post("/", BODY_LIMIT);
            request.extend(vec![b'x'; BODY_LIMIT - 1]);
            let _ = stream.write_all(&request).await;
            crowd.push(stream);
        }
        assert!(server.closed(CloseReason::Bytes) > 0);
        server.answer.notify_one();
        let answer = call(&mut handled, b"").await;
        assert!(answer.ends_with("262144"), "{answer}");
    });
}

/// Guards against connections without a limit, and against refusing new ones while old ones are idle.
#[test]
fn idle_connections_give_way_to_new_ones() {
    run(async {
        let limits = GuardLimits {
            connections: [16; 3],
            ..GuardLimits::default()
        };
        let server = Server::start(limits, RequestLimits::default()).await;
        let mut idle = Vec::new();
        for _ in 0..100 {
            idle.push(server.connect().await);
            let open: usize = server.guard.status().by_state.iter().sum();
            assert!(open <= 16, "{open} connections");
        }
        let mut stream = server.connect().await;
        let answer = call(&mut stream, &post("/", 0)).await;
        assert!(answer.ends_with('0'), "{answer}");
        assert!(server.closed(CloseReason::Connections) > 0);
    });
}

/// Guards against buffers for connections that have sent nothing, which would be closed for want of
/// bytes long before there are too many of them.
#[test]
fn silent_connections_hold_little() {
    run(async {
        let server = Server::start(few_bytes(), RequestLimits::default()).await;
        let mut silent = Vec::new();
        for number in 1..=500 {
            silent.push(server.connect().await);
            server
                .wait_for(|server| server.in_state(ConnectionState::New) == number)
                .await;
        }
        assert!(server.guard.status().bytes <= 500 * (2 << 10));
    });
}

/// Guards against a head that never ends, and a connection that is idle for ever.
#[test]
fn late_head_and_idle_connection_are_closed() {
    run(async {
        let server = Server::start(GuardLimits::default(), short_limits()).await;
        let mut idle = server.connect().await;
        let mut late = server.connect().await;
        let sent = late.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n").await;
        sent.expect("a part of the head is sent");
        assert!(is_closed(&mut late).await);
        assert!(is_closed(&mut idle).await);
        assert_eq!(server.closed(CloseReason::SlowHead), 1);
        assert_eq!(server.closed(CloseReason::Idle), 1);
    });
}

/// Guards against a body that arrives byte by byte and is waited for as long as bytes arrive.
#[test]
fn slow_body_is_refused() {
    run(async {
        let limits = GuardLimits {
            rate_window: Duration::from_millis(300),
            ..GuardLimits::default()
        };
        let server = Server::start(limits, RequestLimits::default()).await;
        let mut stream = server.connect().await;
        let sent = stream.write_all(&post("/", BODY_LIMIT)).await;
        sent.expect("the head is sent");
        let (mut reader, mut writer) = stream.into_split();
        tokio::task::spawn_local(async move {
            while writer.write_all(b"x").await.is_ok() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        });
        let mut answer = [0; 12];
        let read = reader.read_exact(&mut answer).await;
        read.expect("the refusal arrives");
        assert_eq!(&answer, b"HTTP/1.1 408");
        assert_eq!(server.closed(CloseReason::SlowBody), 1);
    });
}

/// Guards against responses that are kept for a client that does not read them.
#[test]
fn unread_responses_are_closed() {
    run(async {
        let limits = GuardLimits {
            rate_window: Duration::from_millis(300),
            ..GuardLimits::default()
        };
        let server = Server::start(limits, RequestLimits::default()).await;
        let mut stream = server.connect().await;
        let requests = b"GET /large HTTP/1.1\r\nhost: a\r\n\r\n".repeat(2_000);
        let _ = stream.write_all(&requests).await;
        server
            .wait_for(|server| server.closed(CloseReason::SlowReader) == 1)
            .await;
        server
            .wait_for(|server| server.guard.status().bytes == 0)
            .await;
    });
}

/// Guards against closing connections of a load balancer between two requests.
#[test]
fn kept_connection_outlives_the_rate_window() {
    run(async {
        let limits = GuardLimits {
            rate_window: Duration::from_millis(100),
            ..GuardLimits::default()
        };
        let server = Server::start(limits, RequestLimits::default()).await;
        let mut stream = server.connect().await;
        for path in ["/", "/large", "/"] {
            let answer = call(&mut stream, &post(path, 0)).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
            if path == "/large" {
                let mut rest = vec![0; LARGE_RESPONSE];
                let mut read = answer.len();
                while read < LARGE_RESPONSE {
                    read += stream.read(&mut rest).await.expect("the response");
                }
            }
            server
                .wait_for(|server| server.in_state(ConnectionState::Idle) == 1)
                .await;
            tokio::time::sleep(Duration::from_millis(800)).await;
        }
        assert_eq!(server.in_state(ConnectionState::Idle), 1);
    });
}
