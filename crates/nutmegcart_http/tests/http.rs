//! Connections of the HTTP client.

use std::io::Read;
use std::net::TcpListener;
use std::time::Duration;

use bytes::Bytes;
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
