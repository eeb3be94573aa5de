//! Calls whose connection the caller resets.

use std::io::Read;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use socket2::SockRef;

/// Time for which a caller waits for a connection or the first byte of an answer.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time from a request to the reset, in milliseconds.
const MAX_DELAY_MS: u64 = 60;

/// When a connection is reset.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cut {
    /// Within the request.
    Request,
    /// A time after the request, whether or not it is answered by then.
    Waiting(Duration),
    /// Within the answer.
    Answer,
}

impl Cut {
    /// Draws one of all.
    pub fn draw(rng: &mut StdRng) -> Self {
        match rng.random_range(0..3) {
            0 => Self::Request,
            1 => Self::Waiting(Duration::from_millis(rng.random_range(0..MAX_DELAY_MS))),
            _ => Self::Answer,
        }
    }
}

/// Sends a request, given as method, path and body, with a key if one is given, on a new connection and
/// resets it.
///
/// # Errors
///
/// Fails if the connection cannot be made or ends earlier.
pub fn send(
    address: SocketAddr,
    host: &str,
    key: Option<&str>,
    (method, path, body): (&str, &str, &str),
    cut: Cut,
) -> Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    // Closing the connection sends a reset instead of an orderly end.
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    let length = body.len();
    let key = key.map_or_else(String::new, |key| format!("authorization: Token {key}\r\n"));
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\n{key}\r\n{body}"
    );
    let request = request.as_bytes();
    match cut {
        Cut::Request => stream.write_all(&request[..request.len() / 2]),
        Cut::Waiting(delay) => {
            stream.write_all(request)?;
            sleep(delay);
            Ok(())
        }
        Cut::Answer => {
            stream.write_all(request)?;
            stream.read_exact(&mut [0])
        }
    }
}
