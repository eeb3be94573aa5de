//! A TCP relay that injects network faults between two processes.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread::spawn;

use parking_lot::Mutex;

/// Size of the buffer of each direction.
const BUFFER_BYTES: usize = 16 * 1024;

#[derive(Default)]
struct State {
    disconnected: bool,
    /// Traffic of connections with a lower number is discarded.
    discard_below: u64,
    accepted: u64,
    /// Both sockets of each relayed connection.
    sockets: Vec<TcpStream>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
}

/// A TCP relay on loopback; clones share it.
#[derive(Clone)]
pub struct TcpRelay {
    /// Address that clients connect to instead of the target.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl TcpRelay {
    /// Starts a relay to the target on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails if no loopback port can be bound.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let accepting = shared.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                // A connection that cannot be relayed is closed, as in a disconnected relay.
                let _ = accept(&accepting, stream, target);
            }
        });
        Ok(Self { address, shared })
    }

    /// Closes all connections, and new ones at once, until [`TcpRelay::reconnect`].
    pub fn disconnect(&self) {
        let mut state = self.shared.state.lock();
        state.disconnected = true;
        for socket in state.sockets.drain(..) {
            // The peer may have closed it already.
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    /// Relays new connections again.
    pub fn reconnect(&self) {
        self.shared.state.lock().disconnected = false;
    }

    /// Discards all further traffic of the open connections without closing them.
    ///
    /// New connections are relayed normally.
    pub fn drop_traffic(&self) {
        let mut state = self.shared.state.lock();
        state.discard_below = state.accepted;
    }

    /// Returns the number of connections accepted so far, open or closed.
    #[must_use]
    pub fn accepted(&self) -> u64 {
        self.shared.state.lock().accepted
    }
}

fn accept(shared: &Arc<Shared>, client: TcpStream, target: SocketAddr) -> io::Result<()> {
    let number = {
        let mut state = shared.state.lock();
        if state.disconnected {
            return Ok(());
        }
        state.accepted += 1;
        state.accepted - 1
    };
    let server = TcpStream::connect(target)?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    shared
        .state
        .lock()
        .sockets
        .extend([client.try_clone()?, server.try_clone()?]);
    relay(shared, number, client.try_clone()?, server.try_clone()?);
    relay(shared, number, server, client);
    Ok(())
}

fn relay(shared: &Arc<Shared>, number: u64, mut from: TcpStream, mut to: TcpStream) {
    let shared = shared.clone();
    spawn(move || {
        let mut buffer = [0; BUFFER_BYTES];
        while let Ok(read) = from.read(&mut buffer) {
            let discard = shared.state.lock().discard_below > number;
            // The end of the stream is not passed on either.
            if discard && read > 0 {
                continue;
            }
            if discard {
                return;
            }
            if read == 0 || to.write_all(&buffer[..read]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    });
}
