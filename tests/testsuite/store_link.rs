//! The link between a process and the stand-in for the store, with a limited speed, or silent.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// The most bytes that are passed on at once.
const CHUNK_BYTES: usize = 16 << 10;

/// Passes connections on to the store until the test ends.
pub struct StoreLink {
    /// The address at which the process reaches the store.
    pub addr: SocketAddr,
    state: Arc<State>,
}

struct State {
    target: SocketAddr,
    /// The bytes per second towards the process; none for no limit.
    speed: Option<u64>,
    /// When the link has carried all that was sent so far.
    free_at: Mutex<Instant>,
    silent: AtomicBool,
}

impl StoreLink {
    /// Starts a link to the store at `target` that carries `speed` bytes per second to the process.
    pub fn start(target: SocketAddr, speed: Option<u64>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("an address is free");
        let addr = listener.local_addr().expect("the address is known");
        let state = Arc::new(State {
            target,
            speed,
            free_at: Mutex::new(Instant::now()),
            silent: AtomicBool::new(false),
        });
        let link = state.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let link = link.clone();
                thread::spawn(move || link.carry(client));
            }
        });
        Self { addr, state }
    }

    /// Sets whether the link carries nothing. A connection from such a time never answers again.
    pub fn set_silent(&self, silent: bool) {
        self.state.silent.store(silent, Ordering::Relaxed);
    }
}

impl State {
    fn carry(self: Arc<Self>, client: TcpStream) {
        let Ok(server) = TcpStream::connect(self.target) else {
            return;
        };
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let up = (client.try_clone(), server.try_clone());
        if let (Ok(from), Ok(to)) = up {
            let link = self.clone();
            thread::spawn(move || link.copy(from, to, None));
        }
        self.copy(server, client, self.speed);
    }

    /// Copies one direction of a connection until it ends.
    fn copy(&self, mut from: TcpStream, mut to: TcpStream, speed: Option<u64>) {
        let mut buffer = vec![0; CHUNK_BYTES];
        let mut is_dead = false;
        while let Ok(count @ 1..) = from.read(&mut buffer) {
            is_dead |= self.silent.load(Ordering::Relaxed);
            if is_dead {
                continue;
            }
            if let Some(speed) = speed {
                thread::sleep(self.reserve(count, speed));
            }
            if to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }

    /// Reserves the link for some bytes, and returns how long it takes until they are through.
    fn reserve(&self, count: usize, speed: u64) -> Duration {
        let mut free_at = self.free_at.lock().expect("no thread panicked");
        let now = Instant::now();
        let carried = Duration::from_secs_f64(count as f64 / speed as f64);
        *free_at = (*free_at).max(now) + carried;
        *free_at - now
    }
}
