//! A server for clients outside our control.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::client_body::ClientBody;
use crate::client_connection::ClientConnection;
use crate::client_guard::ClientGuard;
use crate::client_guard::ListenerKind;
use crate::client_stream::ClientStream;
use crate::server::HandlerError;

/// Pause after a connection could not be accepted, for example for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
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
    loop {
        let (stream, address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        // Connections that were closed for this one end before the next one is accepted.
        let connection = guard.accept(kind, address.ip());
        let Some(connection) = connection else {
            drop(stream);
            tokio::task::yield_now().await;
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
    // The buffers of a connection that sends nothing are not allocated.
    tokio::select! {
        readable = stream.readable() => {
            if readable.is_err() {
                return;
            }
        }
        _ = stop.wait_for(|stop| *stop), if !stopped_before => return,
    }
    if !connection.reserve_buffers() {
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
