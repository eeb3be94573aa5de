//! The body of a client's request, kept within the limits of the process.

use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::body::BodyError;
use crate::body::Result;
use crate::client_connection::ClientConnection;

/// Smallest capacity that is allocated for a body, in bytes.
const MIN_CAPACITY: usize = 1 << 10;

/// Copies of a body that a request holds at a time while it is handled, each reserved: a submission is
/// received, parsed, encoded as a record, and encoded again in a call to the store.
const COPIES_WHILE_HANDLED: usize = 4;

/// Part of a body's buffer that is reserved in addition, as a divisor. Growing buffers leave gaps in
/// the memory of the process that the allocator does not return.
const ALLOCATOR_PART: usize = 4;

/// The body of a client's request.
#[derive(Debug)]
pub struct ClientBody {
    source: Source,
}

#[derive(Debug)]
enum Source {
    Connection(Incoming, Rc<ClientConnection>),
    Memory(Full<Bytes>),
}

impl From<Full<Bytes>> for ClientBody {
    fn from(body: Full<Bytes>) -> Self {
        Self {
            source: Source::Memory(body),
        }
    }
}

impl From<Empty<Bytes>> for ClientBody {
    fn from(_: Empty<Bytes>) -> Self {
        Full::default().into()
    }
}

impl ClientBody {
    pub(crate) fn new(incoming: Incoming, connection: Rc<ClientConnection>) -> Self {
        Self {
            source: Source::Connection(incoming, connection),
        }
    }

    /// Reads a body of at most `limit` bytes into one buffer, whose bytes are reserved before it
    /// grows. An announced length allocates nothing.
    ///
    /// # Errors
    ///
    /// Fails if the body is incomplete, too large or too slow. If bytes are short, the connection is
    /// closed, because a response could not tell whether an earlier request with the same
    /// identifier has run.
    pub async fn read(self, limit: usize) -> Result<Bytes> {
        let (incoming, connection) = match self.source {
            Source::Connection(incoming, connection) => (incoming, connection),
            Source::Memory(body) => {
                let body = Limited::new(body, limit).collect().await;
                return Ok(body.map_err(|_| BodyError::TooLarge)?.to_bytes());
            }
        };
        if incoming.is_end_stream() {
            return Ok(Bytes::new());
        }
        connection.begin_body();
        let result = collect(incoming, &connection, limit).await;
        connection.end_body();
        result
    }
}

async fn collect<B>(mut body: B, connection: &ClientConnection, limit: usize) -> Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut buffer = BodyBuffer::new(limit, body.size_hint().lower())?;
    loop {
        let frame = poll_fn(|context| {
            if connection.is_body_too_slow(context.waker()) {
                return Poll::Ready(Err(BodyError::Timeout));
            }
            Poll::Ready(Ok(ready!(Pin::new(&mut body).poll_frame(context))))
        });
        let Some(frame) = frame.await? else {
            let copies = buffer.capacity() * (COPIES_WHILE_HANDLED - 1);
            if !connection.reserve_body(copies).await {
                return Err(BodyError::NoSpace);
            }
            return Ok(buffer.bytes.into());
        };
        let Ok(data) = frame.map_err(|_| BodyError::Incomplete)?.into_data() else {
            // Trailers are not used.
            continue;
        };
        connection.record_body(data.len());
        let growth = buffer.growth(data.len())?;
        if growth > 0
            && !connection
                .reserve_body(growth + growth / ALLOCATOR_PART)
                .await
        {
            return Err(BodyError::NoSpace);
        }
        buffer.push(&data)?;
    }
}

/// The part of a body that has arrived, in one buffer.
#[derive(Debug, Default)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
    limit: usize,
}

impl BodyBuffer {
    /// Creates the buffer of a body of at most `limit` bytes whose announced length is `announced`,
    /// 0 if unknown.
    ///
    /// # Errors
    ///
    /// Fails if the announced length exceeds the limit.
    pub fn new(limit: usize, announced: u64) -> Result<Self> {
        if announced > limit as u64 {
            return Err(BodyError::TooLarge);
        }
        let bytes = Vec::new();
        Ok(Self { bytes, limit })
    }

    /// Returns by how many bytes the buffer grows when a piece of the size is appended.
    ///
    /// ```
    /// let buffer = nutmegcart_http::BodyBuffer::new(8, 0).unwrap();
    /// assert_eq!(buffer.growth(3), Ok(8));
    /// assert!(buffer.growth(9).is_err());
    /// ```
    ///
    /// # Errors
    ///
    /// Fails if the limit is exceeded.
    pub fn growth(&self, piece: usize) -> Result<usize> {
        let size = self.bytes.len().saturating_add(piece);
        if size > self.limit {
            return Err(BodyError::TooLarge);
        }
        let capacity = self.bytes.capacity();
        if size <= capacity {
            return Ok(0);
        }
        let grown = size.max(2 * capacity).max(MIN_CAPACITY).min(self.limit);
        Ok(grown - capacity)
    }

    /// Appends a piece; the buffer grows by [`BodyBuffer::growth`].
    ///
    /// ```
    /// let mut buffer = nutmegcart_http::BodyBuffer::new(8, 0).unwrap();
    /// buffer.push(b"abc").unwrap();
    /// assert_eq!(buffer.bytes(), b"abc");
    /// assert!(buffer.push(b"defghi").is_err());
    /// ```
    ///
    /// # Errors
    ///
    /// Fails if the limit is exceeded.
    pub fn push(&mut self, piece: &[u8]) -> Result<()> {
        let grown = self.bytes.capacity() + self.growth(piece.len())?;
        self.bytes.reserve_exact(grown - self.bytes.len());
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// Returns what has arrived.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns the allocated size in bytes.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }
}
