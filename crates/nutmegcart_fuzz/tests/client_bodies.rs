//! Bodies of clients' requests, plain and in chunks, split at any byte and possibly damaged. Guards
//! against a body that depends on how its bytes arrive, bytes that stay reserved, and a server that
//! ends or hangs because of what a client sends.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bolero::ValueGenerator;
use bolero::produce;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use nutmegcart_fuzz::for_each;
use nutmegcart_http::BodyBuffer;
use nutmegcart_http::ClientBody;
use nutmegcart_http::ClientGuard;
use nutmegcart_http::ListenerKind;
use nutmegcart_http::serve_clients;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::LocalSet;

/// Number of inputs of each test.
const INPUTS: u64 = 300;
/// Maximum size of a body that the server reads.
const LIMIT: usize = 4_096;
/// Pieces in which a request is sent at most.
const MAX_PIECES: usize = 24;
/// Time after which a connection without progress counts as hung.
const HUNG: Duration = Duration::from_secs(20);

/// A request as a client sends it.
#[derive(Clone, Debug)]
struct Sent {
    body: Vec<u8>,
    /// Sizes of chunks; the length is announced if there are none.
    chunks: Vec<u8>,
    /// Positions, in parts of 65,536, at which the bytes are split.
    splits: Vec<u16>,
    /// Position and value of a byte that is replaced, if any.
    damage: Option<(u16, u8)>,
    /// Position at which the client leaves, if it does.
    cut: Option<u16>,
}

fn requests() -> impl ValueGenerator<Output = Sent> {
    let fields = (
        produce::<Vec<u8>>().with().len(0_usize..=5_000),
        produce::<Vec<u8>>().with().len(0_usize..=40),
        produce::<Vec<u16>>().with().len(0_usize..=MAX_PIECES - 1),
        produce::<Option<(u16, u8)>>(),
        produce::<Option<u16>>(),
    );
    fields.map_gen(|(body, chunks, splits, damage, cut)| Sent {
        body,
        chunks,
        splits,
        damage,
        cut,
    })
}

impl Sent {
    /// Returns the bytes of the request.
    fn bytes(&self) -> Vec<u8> {
        let mut bytes = b"POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n".to_vec();
        if self.chunks.is_empty() {
            bytes.extend(format!("content-length: {}\r\n\r\n", self.body.len()).into_bytes());
            bytes.extend(&self.body);
            return bytes;
        }
        bytes.extend(b"transfer-encoding: chunked\r\n\r\n");
        let mut rest = &self.body[..];
        let mut sizes = self.chunks.iter().cycle();
        while !rest.is_empty() {
            let size = usize::from(*sizes.next().unwrap_or(&1)).clamp(1, rest.len());
            let (chunk, after) = rest.split_at(size);
            bytes.extend(format!("{size:x}\r\n").into_bytes());
            bytes.extend(chunk);
            bytes.extend(b"\r\n");
            rest = after;
        }
        bytes.extend(b"0\r\n\r\n");
        bytes
    }

    /// Returns the bytes with the damage and the cut.
    fn damaged_bytes(&self) -> Vec<u8> {
        let mut bytes = self.bytes();
        if let Some((at, value)) = self.damage {
            let at = position(at, bytes.len() - 1);
            bytes[at] = value;
        }
        if let Some(cut) = self.cut {
            bytes.truncate(position(cut, bytes.len()));
        }
        bytes
    }

    /// Splits bytes into pieces.
    fn pieces<'a>(&self, bytes: &'a [u8]) -> Vec<&'a [u8]> {
        let ends = self.splits.iter().map(|at| position(*at, bytes.len()));
        let mut ends: Vec<usize> = ends.chain([bytes.len()]).collect();
        ends.sort_unstable();
        let mut start = 0;
        let piece = |end| {
            let piece = &bytes[start..end];
            start = end;
            piece
        };
        ends.into_iter().map(piece).collect()
    }
}

/// Returns the position that is `at` parts of 65,536 into `length` bytes.
fn position(at: u16, length: usize) -> usize {
    usize::from(at) * length / usize::from(u16::MAX)
}

/// Sends the pieces to a server; returns the response and the bodies that its handler got.
fn exchange(pieces: &[&[u8]]) -> (Vec<u8>, Vec<Bytes>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.expect("the runtime starts"), async {
        let guard = ClientGuard::default();
        let bodies: Rc<RefCell<Vec<Bytes>>> = Rc::default();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (_running, stop) = watch::channel(false);
        let got = bodies.clone();
        let handler = move |request: Request<ClientBody>| {
            let got = got.clone();
            async move {
                let body = request.into_body().read(LIMIT).await;
                let status = if body.is_ok() { 200 } else { 400 };
                got.borrow_mut().extend(body);
                let mut response = Response::new(Full::new(Bytes::new()));
                *response.status_mut() = hyper::StatusCode::from_u16(status).expect("a status");
                response
            }
        };
        let kind = ListenerKind::Callers;
        tokio::task::spawn_local(serve_clients(listener, guard.clone(), kind, stop, handler));
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        stream.set_nodelay(true).expect("the connection is open");
        for piece in pieces {
            // The server may have answered and closed already.
            let _ = stream.write_all(piece).await;
            tokio::task::yield_now().await;
        }
        let _ = stream.shutdown().await;
        let mut answer = Vec::new();
        let read = tokio::time::timeout(HUNG, stream.read_to_end(&mut answer)).await;
        assert!(read.is_ok(), "the connection ends");
        drop(stream);
        let released = tokio::time::timeout(HUNG, async {
            while guard.status().bytes > 0 {
                tokio::task::yield_now().await;
            }
        });
        assert!(released.await.is_ok(), "{:?}", guard.status());
        let bodies = bodies.take();
        (answer, bodies)
    })
}

#[test]
fn whole_bodies_arrive_however_they_are_split() {
    for_each(INPUTS, &requests(), |sent: &Sent| {
        let bytes = sent.bytes();
        let (answer, bodies) = exchange(&sent.pieces(&bytes));
        if sent.body.len() <= LIMIT {
            assert!(answer.starts_with(b"HTTP/1.1 200"), "{answer:?}");
            assert_eq!(bodies, [Bytes::from(sent.body.clone())]);
        } else {
            assert!(bodies.is_empty(), "the body is too large");
        }
    });
}

#[test]
fn damaged_requests_leave_nothing_behind() {
    for_each(INPUTS, &requests(), |sent: &Sent| {
        let bytes = sent.damaged_bytes();
        let (_, bodies) = exchange(&sent.pieces(&bytes));
        assert!(bodies.iter().all(|body| body.len() <= LIMIT));
    });
}

#[test]
fn buffer_grows_as_it_tells() {
    let pieces = produce::<Vec<Vec<u8>>>().with().len(0_usize..=40);
    for_each(INPUTS, &pieces, |pieces: &Vec<Vec<u8>>| {
        let mut buffer = BodyBuffer::new(LIMIT, 0).expect("no length is announced");
        let mut expected = Vec::new();
        for piece in pieces {
            let before = buffer.capacity();
            let growth = buffer.growth(piece.len());
            assert_eq!(growth.is_ok(), expected.len() + piece.len() <= LIMIT);
            assert_eq!(buffer.push(piece).is_ok(), growth.is_ok());
            if let Ok(growth) = growth {
                expected.extend(piece);
                assert_eq!(buffer.capacity(), before + growth);
            }
            assert_eq!(buffer.bytes(), expected);
        }
        assert!(buffer.capacity() <= LIMIT);
    });
}
