//! Cost of an order over HTTP: the blocking library with one thread per connection against the
//! event loop.
//!
//! An order is a command to a worker, such as the start of a task.

use std::io::Read;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cpu_time::ProcessTime;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use nutmegcart_http::ClientBody;
use nutmegcart_http::ClientGuard;
use nutmegcart_http::HttpClient;
use nutmegcart_http::ListenerKind;
use nutmegcart_http::ServerLimits;
use nutmegcart_http::request;
use nutmegcart_http::serve;
use nutmegcart_http::serve_clients;
use oxhttp::Server;
use oxhttp::model::Body;
use oxhttp::model::Request;
use oxhttp::model::Response;
use oxhttp::model::StatusCode;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::LocalSet;

use crate::comparison::Comparison;

/// Orders sent in each measurement.
const ORDERS: usize = 4_000;
/// Workers that receive the orders, each over a connection of its own.
const WORKERS: usize = 50;
/// Size of an order; most of it is the description of the job.
const BODY_BYTES: usize = 1_500;
/// Port of the server of the blocking library.
const BLOCKING_PORT: u16 = 18_650;
const RESPONSE_BODY: &[u8] = b"{\"clock-ms\":482113}";

fn body() -> Vec<u8> {
    vec![b'x'; BODY_BYTES]
}

/// Returns CPU time and elapsed time per order in microseconds, for client and server together.
fn blocking_library() -> (f64, f64) {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, BLOCKING_PORT));
    let server = Server::new(|request: &mut Request<Body>| {
        let mut read = Vec::new();
        let received = request.body_mut().read_to_end(&mut read).is_ok();
        let status = if received {
            StatusCode::OK
        } else {
            StatusCode::BAD_REQUEST
        };
        let response = Response::builder().status(status);
        response
            .body(Body::from(RESPONSE_BODY))
            .expect("the response is well-formed")
    });
    let _server = server.bind(address).spawn().expect("the port is free");
    let (cpu_start, wall_start) = (ProcessTime::now(), Instant::now());
    let threads: Vec<_> = (0..WORKERS)
        .map(|_| {
            std::thread::spawn(move || {
                let agent: ureq::Agent = ureq::Agent::config_builder().build().into();
                for _ in 0..ORDERS / WORKERS {
                    let response = agent
                        .post(format!("http://{address}/order"))
                        .send(&body()[..]);
                    let read = response.and_then(|mut response| response.body_mut().read_to_vec());
                    assert_eq!(read.expect("the server answers"), RESPONSE_BODY);
                }
            })
        })
        .collect();
    for thread in threads {
        thread.join().expect("the client ends");
    }
    per_order(cpu_start.elapsed(), wall_start.elapsed())
}

/// Returns the same times as [`blocking_library`].
fn event_loop() -> (f64, f64) {
    measure(|listener, stopped| {
        let handler = |request: Request<Incoming>| async move {
            let received = request.into_body().collect().await.is_ok();
            let mut response = Response::new(Full::new(Bytes::from_static(RESPONSE_BODY)));
            if !received {
                *response.status_mut() = StatusCode::BAD_REQUEST;
            }
            response
        };
        tokio::task::spawn_local(serve(listener, ServerLimits::default(), stopped, handler));
    })
}

/// Returns the same times for a server that bounds what its clients hold.
fn bounded_clients() -> (f64, f64) {
    measure(|listener, stopped| {
        let handler = |request: Request<ClientBody>| async move {
            let received = request.into_body().read(BODY_BYTES).await.is_ok();
            let mut response = Response::new(Full::new(Bytes::from_static(RESPONSE_BODY)));
            if !received {
                *response.status_mut() = StatusCode::BAD_REQUEST;
            }
            response
        };
        let guard = ClientGuard::default();
        let kind = ListenerKind::Callers;
        tokio::task::spawn_local(serve_clients(listener, guard, kind, stopped, handler));
    })
}

/// Sends the orders to a server that `start` starts on the event loop.
fn measure(start: impl FnOnce(TcpListener, watch::Receiver<bool>)) -> (f64, f64) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.expect("the runtime starts"), async {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let (_stop, stopped) = watch::channel(false);
        start(listener, stopped);
        let (cpu_start, wall_start) = (ProcessTime::now(), Instant::now());
        let tasks: Vec<_> = (0..WORKERS)
            .map(|_| {
                tokio::task::spawn_local(async move {
                    let client = HttpClient::default();
                    for _ in 0..ORDERS / WORKERS {
                        let order = request("POST", "/order", &[("host", "worker")], body().into());
                        let response = client.call(address, order, Duration::from_secs(10)).await;
                        assert_eq!(response.expect("the server answers").body(), RESPONSE_BODY);
                    }
                })
            })
            .collect();
        for task in tasks {
            task.await.expect("the client ends");
        }
        per_order(cpu_start.elapsed(), wall_start.elapsed())
    })
}

fn per_order(cpu: Duration, elapsed: Duration) -> (f64, f64) {
    let micros = |span: Duration| span.as_secs_f64() * 1e6 / ORDERS as f64;
    (micros(cpu), micros(elapsed))
}

/// Compares the event loop with the blocking library.
pub fn comparisons() -> Vec<Comparison> {
    let (blocking_cpu, blocking_elapsed) = blocking_library();
    let (cpu, elapsed) = event_loop();
    let (bounded_cpu, _) = bounded_clients();
    vec![
        Comparison::new(
            "order to a server that bounds its clients, processor time of both sides",
            "us",
            cpu,
            bounded_cpu,
        ),
        Comparison::new(
            "order, processor time of both sides",
            "us",
            blocking_cpu,
            cpu,
        ),
        Comparison::new("order, elapsed time", "us", blocking_elapsed, elapsed),
        Comparison::new(
            "threads for 50 connections, both sides",
            "threads",
            2.0 * WORKERS as f64,
            1.0,
        ),
    ]
}
