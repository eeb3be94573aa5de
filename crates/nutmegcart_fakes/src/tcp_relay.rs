//! A TCP relay that can be cut or silenced, to stand for what lies between two processes.

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

/// Bytes relayed at once.
const BUFFER: usize = 16 * 1024;

#[derive(Default)]
struct State {
    cut: bool,
    /// Connections with a number below this one are silent for good.
    silent_below: u64,
    accepted: u64,
    ends: Vec<TcpStream>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
}

/// A relay on loopback; clones share it.
#[derive(Clone)]
pub struct TcpRelay {
    /// Address to connect to instead of the target.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl TcpRelay {
    /// Starts a relay to the target.
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
                // A connection that cannot be relayed is dropped, as a cut would do.
                let _ = accept(&accepting, stream, target);
            }
        });
        Ok(Self { address, shared })
    }

    /// Closes all connections and refuses new ones until [`TcpRelay::reconnect`].
    pub fn disconnect(&self) {
        let mut state = self.shared.state.lock();
        state.cut = true;
        for end in state.ends.drain(..) {
            // The other side may have closed it already.
            let _ = end.shutdown(Shutdown::Both);
        }
    }

    /// Accepts connections again.
    pub fn reconnect(&self) {
        self.shared.state.lock().cut = false;
    }

    /// Makes all present connections silent for good without closing them; new ones work.
    pub fn drop_traffic(&self) {
        let mut state = self.shared.state.lock();
        state.silent_below = state.accepted;
    }

    /// Returns the number of connections accepted so far.
    #[must_use]
    pub fn accepted(&self) -> u64 {
        self.shared.state.lock().accepted
    }
}

fn accept(shared: &Arc<Shared>, near: TcpStream, target: SocketAddr) -> io::Result<()> {
    let number = {
        let mut state = shared.state.lock();
        if state.cut {
            return Ok(());
        }
        state.accepted += 1;
        state.accepted - 1
    };
    let far = TcpStream::connect(target)?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    shared
        .state
        .lock()
        .ends
        .extend([near.try_clone()?, far.try_clone()?]);
    relay(shared, number, near.try_clone()?, far.try_clone()?);
    relay(shared, number, far, near);
    Ok(())
}

fn relay(shared: &Arc<Shared>, number: u64, mut from: TcpStream, mut to: TcpStream) {
    let shared = shared.clone();
    spawn(move || {
        let mut buffer = [0; BUFFER];
        while let Ok(read) = from.read(&mut buffer) {
            let silent = shared.state.lock().silent_below > number;
            // A silent connection swallows bytes and hides the end of the stream.
            if silent && read > 0 {
                continue;
            }
            if silent {
                return;
            }
            if read == 0 || to.write_all(&buffer[..read]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    });
}
