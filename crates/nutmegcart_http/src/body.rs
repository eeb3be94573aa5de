//! Reading bodies within limits, and values that live until a body has been written.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::timeout_at;

/// Result of reading a body.
pub type Result<T> = std::result::Result<T, BodyError>;

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum BodyError {
    /// The connection ended, or the framing of the body is invalid.
    #[display("the body is incomplete")]
    Incomplete,
    /// The body did not end in time.
    #[display("the body did not end in time")]
    Timeout,
    /// The body has more bytes than permitted.
    #[display("the body is too large")]
    TooLarge,
    /// The reservation of buffer space failed.
    #[display("no buffer space is left")]
    NoSpace,
}

/// Reads a body of at most `limit` bytes within `time`; `reserve` is asked before bytes are kept.
///
/// # Errors
///
/// Fails if the body is incomplete, late or too large, or if `reserve` returns `false`.
pub async fn read(
    body: &mut Incoming,
    limit: usize,
    time: Duration,
    mut reserve: impl FnMut(usize) -> bool,
) -> Result<Vec<u8>> {
    let end = Instant::now() + time;
    let mut bytes = Vec::new();
    loop {
        let Ok(frame) = timeout_at(end, body.frame()).await else {
            return Err(BodyError::Timeout);
        };
        let Some(frame) = frame else {
            return Ok(bytes);
        };
        let Ok(data) = frame.map_err(|_| BodyError::Incomplete)?.into_data() else {
            // Trailers are not used.
            continue;
        };
        if bytes.len() + data.len() > limit {
            return Err(BodyError::TooLarge);
        }
        if !reserve(data.len()) {
            return Err(BodyError::NoSpace);
        }
        // A body that keeps arriving may be late without a single late frame.
        if Instant::now() > end {
            return Err(BodyError::Timeout);
        }
        bytes.extend_from_slice(&data);
    }
}

struct Guarded<T> {
    bytes: Bytes,
    _guard: T,
}

impl<T> AsRef<[u8]> for Guarded<T> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Keeps a value alive until the body of the response has been written to the connection.
///
/// The value is dropped at once if the body is empty.
///
/// ```
/// # use std::sync::Arc;
/// # use hyper::Response;
/// let value = Arc::new(());
/// let response = Response::new(bytes::Bytes::from_static(b"body"));
/// let response = nutmegcart_http::keep_until_written(response, value.clone());
/// assert_eq!(Arc::strong_count(&value), 2);
/// drop(response);
/// assert_eq!(Arc::strong_count(&value), 1);
/// ```
#[must_use]
pub fn keep_until_written<T: Send + 'static>(
    response: Response<Bytes>,
    value: T,
) -> Response<Bytes> {
    response.map(|bytes| {
        Bytes::from_owner(Guarded {
            bytes,
            _guard: value,
        })
    })
}
