//! An order over HTTP: the blocking library with a thread a connection against the event loop.

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
use nutmegcart_control::http::HttpClient;
use nutmegcart_control::http::ServerLimits;
use nutmegcart_control::http::request;
use nutmegcart_control::http::serve;
use oxhttp::Server;
use oxhttp::model::Body;
use oxhttp::model::Request;
use oxhttp::model::Response;
use oxhttp::model::StatusCode;
use tokio::sync::watch;
use tokio::task::LocalSet;

use crate::measure::Measure;

/// Orders that are measured.
const ORDERS: usize = 4_000;
/// Workers that orders go to in turn, each over a connection of its own.
const WORKERS: usize = 50;
/// Bytes of an order, most of them the description of its job.
const BODY: usize = 1_500;
/// First port of the servers of the blocking library.
const PORT: u16 = 18_650;
const ANSWER: &[u8] = b"{\"clock-ms\":482113}";

fn body() -> Vec<u8> {
    vec![b'x'; BODY]
}

/// Returns processor time and elapsed time for an order, in microseconds, client and server.
fn blocking() -> (f64, f64) {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, PORT));
    let server = Server::new(|request: &mut Request<Body>| {
        let mut read = Vec::new();
        let taken = request.body_mut().read_to_end(&mut read).is_ok();
        let status = if taken {
            StatusCode::OK
        } else {
            StatusCode::BAD_REQUEST
        };
        let response = Response::builder().status(status);
        response
            .body(Body::from(ANSWER))
            .expect("the response is well-formed")
    });
    let _server = server.bind(address).spawn().expect("the port is free");
    let (begin, clock) = (ProcessTime::now(), Instant::now());
    let threads: Vec<_> = (0..WORKERS)
        .map(|_| {
            std::thread::spawn(move || {
                let agent: ureq::Agent = ureq::Agent::config_builder().build().into();
                for _ in 0..ORDERS / WORKERS {
                    let answer = agent
                        .post(format!("http://{address}/order"))
                        .send(&body()[..]);
                    let read = answer.and_then(|mut answer| answer.body_mut().read_to_vec());
                    assert_eq!(read.expect("the server answers"), ANSWER);
                }
            })
        })
        .collect();
    for thread in threads {
        thread.join().expect("the client ends");
    }
    per_order(begin.elapsed(), clock.elapsed())
}

fn event_loop() -> (f64, f64) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.expect("the runtime starts"), async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let (_stop, stopped) = watch::channel(false);
        let answer = |request: Request<Incoming>| async move {
            let taken = request.into_body().collect().await.is_ok();
            let mut response = Response::new(Full::new(Bytes::from_static(ANSWER)));
            if !taken {
                *response.status_mut() = StatusCode::BAD_REQUEST;
            }
            response
        };
        tokio::task::spawn_local(serve(listener, ServerLimits::default(), stopped, answer));
        let (begin, clock) = (ProcessTime::now(), Instant::now());
        let tasks: Vec<_> = (0..WORKERS)
            .map(|_| {
                tokio::task::spawn_local(async move {
                    let client = HttpClient::default();
                    for _ in 0..ORDERS / WORKERS {
                        let order = request("POST", "/order", &[("host", "worker")], body().into());
                        let answer = client.call(address, order, Duration::from_secs(10)).await;
                        assert_eq!(answer.expect("the server answers").body(), ANSWER);
                    }
                })
            })
            .collect();
        for task in tasks {
            task.await.expect("the client ends");
        }
        per_order(begin.elapsed(), clock.elapsed())
    })
}

fn per_order(processor: Duration, elapsed: Duration) -> (f64, f64) {
    let each = |span: Duration| span.as_secs_f64() * 1e6 / ORDERS as f64;
    (each(processor), each(elapsed))
}

/// Measures an order with both.
pub fn measures() -> Vec<Measure> {
    let (old_processor, old_elapsed) = blocking();
    let (processor, elapsed) = event_loop();
    vec![
        Measure::new(
            "order, processor time of both sides",
            "us",
            old_processor,
            processor,
        ),
        Measure::new("order, elapsed time", "us", old_elapsed, elapsed),
        Measure::new(
            "threads for 50 connections, both sides",
            "threads",
            2.0 * WORKERS as f64,
            1.0,
        ),
    ]
}
