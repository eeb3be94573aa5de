//! Connections of the HTTP client.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use nutmegcart_http::AnswerError;
use nutmegcart_http::AnswerLimits;
use nutmegcart_http::DeliveryError;
use nutmegcart_http::HttpClient;
use nutmegcart_http::request;
use tokio::task::LocalSet;

fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.expect("runtime starts"), future)
}

/// Guards against a timed-out call being delivered after a network partition: if the connection
/// were closed in order, the kernel would still deliver the bytes that it holds.
#[test]
fn timed_out_call_resets_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let mut seen = Vec::new();
        stream.read_to_end(&mut seen).map_err(|error| error.kind())
    });
    let answer = run(async move {
        let client = HttpClient::default();
        let request = request(
            "POST",
            "/v1/order",
            &[("host", "worker")],
            Bytes::from("order"),
        );
        client
            .call(address, request, Duration::from_millis(200))
            .await
    });
    assert!(
        matches!(answer, Err(DeliveryError::Lost { .. })),
        "{answer:?}"
    );
    let ended = server.join().expect("the server ends");
    assert_eq!(ended, Err(std::io::ErrorKind::ConnectionReset));
}

/// Guards against treating a refused connection as a request that the server may have processed.
#[test]
fn refused_connection_is_reported_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    drop(listener);
    let answer = run(async move {
        let request = request("GET", "/v1/order", &[("host", "worker")], Bytes::new());
        HttpClient::default()
            .call(address, request, Duration::from_millis(500))
            .await
    });
    assert!(
        matches!(answer, Err(DeliveryError::NotSent { .. })),
        "{answer:?}"
    );
}

/// Time from one part of a body to the next.
const PART_PERIOD: Duration = Duration::from_millis(200);
/// Limits of the calls; the idle one is several times as long as the period of the parts.
const LIMITS: AnswerLimits = AnswerLimits {
    head: Duration::from_secs(1),
    idle: Duration::from_secs(1),
    body: Duration::from_mins(1),
};

/// Starts a server that answers one request with a body of `length` bytes, of which it sends one in each
/// period until it has sent `sent` of them or the client resets the connection. Then it waits for the
/// end of the connection.
fn slow_server(length: usize, sent: usize) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let mut head = [0; 1024];
        let _ = stream.read(&mut head).expect("the request arrives");
        if length > 0 {
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
            stream.write_all(head.as_bytes()).expect("the head is sent");
        }
        send_parts(&mut stream, sent);
        let _ = stream.read_to_end(&mut Vec::new());
    });
    (address, server)
}

fn send_parts(stream: &mut TcpStream, sent: usize) {
    for _ in 0..sent {
        std::thread::sleep(PART_PERIOD);
        if stream.write_all(b"x").is_err() {
            return;
        }
    }
}

fn call_steadily(
    (address, server): (SocketAddr, JoinHandle<()>),
    limits: AnswerLimits,
) -> Result<Response<Bytes>, AnswerError> {
    let answer = run(async move {
        let request = request("GET", "/", &[("host", "store")], Bytes::new());
        let client = HttpClient::default();
        client.call_steadily(address, request, limits).await
    });
    server.join().expect("the server ends");
    answer
}

/// Guards against an answer that never passes a slow link although its bytes keep arriving.
#[test]
fn body_that_keeps_arriving_passes() {
    let answer = call_steadily(slow_server(10, 10), LIMITS).expect("answered");
    assert_eq!(answer.body(), "xxxxxxxxxx");
}

/// Guards against a silent connection that is noticed late.
#[test]
fn answer_without_a_head_is_lost() {
    let answer = call_steadily(slow_server(0, 0), LIMITS);
    let lost = Err(AnswerError::Delivery(DeliveryError::Lost {
        reason: "timeout".into(),
    }));
    assert_eq!(answer.map(|_| ()), lost);
}

/// Guards against a call that hangs because its answer stopped on the way, and against one that does not
/// tell how far the answer came.
#[test]
fn body_that_stops_is_cut() {
    let answer = call_steadily(slow_server(10, 2), LIMITS);
    let Err(AnswerError::Cut { received, .. }) = answer else {
        panic!("{answer:?}");
    };
    assert_eq!(received, 2);
}

/// Guards against a call without an end.
#[test]
fn body_that_arrives_for_too_long_is_cut() {
    let limits = AnswerLimits {
        body: PART_PERIOD * 3,
        ..LIMITS
    };
    let answer = call_steadily(slow_server(1_000, 1_000), limits);
    assert!(matches!(answer, Err(AnswerError::Cut { .. })), "{answer:?}");
}
