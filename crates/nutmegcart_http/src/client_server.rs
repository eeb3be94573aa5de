//! A server for clients outside our control.

use std::future::Future;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::client_body::ClientBody;
use crate::client_connection::ClientConnection;
use crate::client_connection::RESERVE_ATTEMPTS;
use crate::client_guard::ClientGuard;
use crate::client_guard::CloseReason;
use crate::client_guard::ListenerKind;
use crate::client_stream::ClientStream;
use crate::server::HandlerError;

/// Pause after a connection could not be accepted, for example for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Size of a connection's send buffer in the kernel. Without a limit it grows to megabytes for a client
/// that reads no response.
const SEND_BUFFER_BYTES: usize = 32 << 10;
/// Size of a connection's receive buffer in the kernel; a quarter of the largest usual body.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// Smallest limit of a request's head that the HTTP library takes, in bytes.
const MIN_HEAD_BYTES: usize = 8 << 10;

/// Ends the account of a connection when its task ends.
struct Registration(ClientGuard, Rc<ClientConnection>);

impl Drop for Registration {
    fn drop(&mut self) {
        self.0.remove(&self.1);
    }
}

/// Serves requests within the limits of a guard, which all listeners of the process share. Once
/// `stop` is true, connections close after their current request, and new ones after one request.
///
/// # Panics
///
/// Panics outside a [`tokio::task::LocalSet`].
pub async fn serve_clients<H, F>(
    listener: TcpListener,
    guard: ClientGuard,
    kind: ListenerKind,
    stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<ClientBody>) -> F + Clone + 'static,
    F: Future<Output = Response<Full<Bytes>>> + 'static,
{
    guard.start_checks();
    limit_socket_buffers(&listener);
    loop {
        let (stream, address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Some(connection) = register(&guard, kind, address.ip()).await else {
            continue;
        };
        let registration = Registration(guard.clone(), connection.clone());
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("connection lost before its first request: {error}");
            continue;
        }
        let served = serve_client(
            stream,
            guard.clone(),
            connection.clone(),
            stop.clone(),
            handler.clone(),
        );
        let task = tokio::task::spawn_local(async move {
            served.await;
            drop(registration);
        });
        connection.set_task(task.abort_handle());
        tokio::task::yield_now().await;
    }
}

/// Registers a connection. Those that are closed for it end between the attempts.
async fn register(
    guard: &ClientGuard,
    kind: ListenerKind,
    address: IpAddr,
) -> Option<Rc<ClientConnection>> {
    let mut refused = CloseReason::Connections;
    for _ in 0..RESERVE_ATTEMPTS {
        match guard.accept(kind, address) {
            Ok(connection) => return Some(connection),
            Err(reason) => refused = reason,
        }
        tokio::task::yield_now().await;
    }
    guard.count(refused);
    None
}

/// Limits what the kernel keeps for the connections of a listener, which inherit it.
fn limit_socket_buffers(listener: &TcpListener) {
    let socket = SockRef::from(listener);
    let set = socket.set_send_buffer_size(SEND_BUFFER_BYTES);
    let set = set.and_then(|()| socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES));
    if let Err(error) = set {
        log::warn!("cannot limit the buffers of connections: {error}");
    }
}

async fn serve_client<H, F>(
    stream: TcpStream,
    guard: ClientGuard,
    connection: Rc<ClientConnection>,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<ClientBody>) -> F + 'static,
    F: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let stopped_before = *stop.borrow();
    // The buffers of a connection that sends nothing are not allocated. A new socket can be reported as
    // readable when it is not, so this looks for a byte.
    let mut first = [0];
    tokio::select! {
        peeked = stream.peek(&mut first) => {
            if !matches!(peeked, Ok(1)) {
                return;
            }
        }
        _ = stop.wait_for(|stop| *stop), if !stopped_before => return,
    }
    if !connection.reserve_buffers().await {
        return;
    }
    let mut builder = hyper::server::conn::http1::Builder::new();
    let head_bytes = guard.request_limits().head_bytes;
    builder.max_buf_size(head_bytes.max(MIN_HEAD_BYTES));
    builder.keep_alive(!stopped_before);
    let service = {
        let connection = connection.clone();
        service_fn(move |request: Request<hyper::body::Incoming>| {
            let connection = connection.clone();
            connection.begin_request();
            let request = request.map(|body| ClientBody::new(body, connection.clone()));
            let response = handler(request);
            async move {
                let response = response.await;
                let size = response.body().size_hint().lower();
                let size = usize::try_from(size).unwrap_or(usize::MAX);
                if connection.end_request(size) {
                    Ok(response)
                } else {
                    Err(HandlerError::from("no room for the response"))
                }
            }
        })
    };
    let stream = ClientStream {
        socket: stream,
        connection,
    };
    let served = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    let result = tokio::select! {
        result = served.as_mut() => result,
        _ = stop.wait_for(|stop| *stop), if !stopped_before => {
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    if let Err(error) = result {
        log::debug!("connection closed with an error: {error}");
    }
}
