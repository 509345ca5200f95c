//! Misbehaving clients: many connections with large bodies, most of which never end.

use crate::cluster::WAIT_TIMEOUT;
use crate::usage::Usage;
use crate::usage::undelivered_bytes;
use std::fs::File;
use std::io::ErrorKind;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

/// The longest wait for a connection to be accepted; one that is not is a refused client.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest time for which the clients send; what is not sent by then stays unsent.
const SEND_TIMEOUT: Duration = Duration::from_secs(20);
/// How often the process under test is observed while the clients send.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(100);
/// The pause between the attempts at the ordinary request.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Every n-th client sends its whole body; the others stop before its end.
const WHOLE_INTERVAL: usize = 9;
/// The number of bytes before the end at which most clients stop.
const SHORT_BYTES: usize = 5;
/// The bytes that a client sends at once if it sends in pieces.
const PIECE_BYTES: usize = 8 << 10;
/// The chunk that ends a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// How the bodies of the clients are framed.
#[derive(Clone, Copy, Debug)]
pub enum Framing {
    /// Announced by their length and sent whole by one half of the clients, in pieces by the
    /// other.
    Announced,
    /// In chunks of a number of bytes.
    Chunked(usize),
    /// In chunks of a number of bytes, of which none is the last one.
    Endless(usize),
}

/// A number of clients that send bodies of the same size.
#[derive(Clone, Copy, Debug)]
pub struct Crowd {
    /// The number of connections.
    pub clients: usize,
    /// The size of each body in bytes.
    pub body: usize,
    /// How the bodies are framed.
    pub framing: Framing,
}

/// The process under test, the clients' request and the limits of the machine.
#[derive(Clone, Debug)]
pub struct Target {
    /// The process.
    pub pid: u32,
    /// The address to which the clients connect.
    pub addr: SocketAddr,
    /// The request line and the header fields other than those of the body, each with its line
    /// end.
    pub head: String,
    /// The memory of the machine in MB.
    pub memory: u64,
    /// The number of descriptors of the machine.
    pub descriptors: usize,
}

/// One connection and what remains to be sent on it.
struct Client {
    stream: TcpStream,
    wire: Rc<Vec<u8>>,
    /// The position in `wire` at which the client stops sending.
    end: usize,
    sent: usize,
    /// The number of bytes that are sent at once.
    piece: usize,
}

impl Client {
    /// Sends the next piece; returns whether anything was sent. A connection that the server has
    /// closed has nothing more to send.
    fn send(&mut self) -> bool {
        let end = self.end.min(self.sent.saturating_add(self.piece));
        if self.sent == end {
            return false;
        }
        match self.stream.write(&self.wire[self.sent..end]) {
            Ok(count) => self.sent += count,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                return false;
            }
            Err(_) => self.sent = self.end,
        }
        true
    }
}

/// Lets the clients send and stay open, has an ordinary request answered beside them, and checks
/// that the process is alive and within the limits of its machine.
///
/// `is_served` makes one attempt at the ordinary request; it is repeated until it succeeds.
///
/// # Panics
///
/// Panics if the ordinary request is not answered within [`WAIT_TIMEOUT`], or if a limit was
/// exceeded.
pub fn check(crowd: Crowd, target: &Target, mut is_served: impl FnMut() -> bool) {
    let mut usage = Usage::default();
    let mut observe = || {
        let now = Usage::observe(target.pid, target.addr);
        usage = usage.max(now);
        now.descriptors > 0
    };
    let clients = send_all(crowd, target, &mut observe);
    observe();
    let served = retry(|| {
        observe();
        is_served()
    });
    let is_alive = observe();
    drop(clients);
    let mb = |bytes: u64| bytes >> 20;
    let figures = format!(
        "alive {is_alive}, served {served}, {} MB at peak, {} MB held with unread bytes, {} descriptors",
        mb(usage.peak),
        mb(usage.held),
        usage.descriptors
    );
    println!("{crowd:?}: {figures}");
    let is_within = mb(usage.peak.max(usage.held)) < target.memory;
    assert!(
        is_alive && served && is_within && usage.descriptors <= target.descriptors,
        "allowed are {} MB and {} descriptors: {figures}",
        target.memory,
        target.descriptors
    );
}

/// Returns a lock that is held by one test at a time, also over concurrent test runs.
pub fn run_alone() -> File {
    let path = std::env::temp_dir().join("hibiscusbarrow-clients.lock");
    let file = File::options().create(true).append(true).open(path);
    let file = file.expect("the lock file opens");
    file.lock().expect("the lock file can be locked");
    file
}

/// Repeats an attempt until it succeeds; returns false if it does not within [`WAIT_TIMEOUT`].
fn retry(mut attempt: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !attempt() {
        if Instant::now() > end {
            return false;
        }
        std::thread::sleep(RETRY_INTERVAL);
    }
    true
}

/// Opens the connections and sends in turn on all of them until the part of each has arrived, the
/// server has closed the connection, or [`SEND_TIMEOUT`] has passed.
fn send_all(crowd: Crowd, target: &Target, mut observe: impl FnMut() -> bool) -> Vec<Client> {
    let end = Instant::now() + SEND_TIMEOUT;
    let wire = Rc::new(request(crowd, &target.head));
    let indices = (0..crowd.clients).take_while(|_| Instant::now() < end);
    let clients = indices.filter_map(|i| connect(crowd, target.addr, &wire, i));
    let mut clients: Vec<Client> = clients.collect();
    let mut observed_at = Instant::now();
    let is_sending = |clients: &[Client]| {
        clients.iter().any(|c| c.sent < c.end) || undelivered_bytes(target.addr) > 0
    };
    while is_sending(&clients) && Instant::now() < end {
        let sent = clients.iter_mut().filter_map(|c| c.send().then_some(()));
        if sent.count() == 0 {
            std::thread::sleep(Duration::from_millis(1));
        }
        if observed_at.elapsed() > OBSERVE_INTERVAL {
            observed_at = Instant::now();
            observe();
        }
    }
    clients
}

/// Opens one connection; returns `None` if the server refuses it.
///
/// All clients and the ordinary caller have the same source address, so that no server can tell
/// them apart by it.
///
/// # Panics
///
/// Panics on any other error, for example if this process has too few descriptors.
fn connect(crowd: Crowd, addr: SocketAddr, wire: &Rc<Vec<u8>>, index: usize) -> Option<Client> {
    let stream = match TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT) {
        Ok(stream) => stream,
        Err(e) => {
            let is_refused = matches!(
                e.kind(),
                ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset | ErrorKind::TimedOut
            );
            assert!(is_refused, "no connection: {e}");
            return None;
        }
    };
    let nonblocking = stream.set_nonblocking(true);
    nonblocking.expect("the stream can be made nonblocking");
    let is_whole = index.is_multiple_of(WHOLE_INTERVAL);
    let in_pieces = matches!(crowd.framing, Framing::Announced) && index % 2 == 1;
    Some(Client {
        stream,
        wire: wire.clone(),
        end: wire.len() - if is_whole { 0 } else { SHORT_BYTES },
        sent: 0,
        piece: if in_pieces { PIECE_BYTES } else { usize::MAX },
    })
}

/// Returns the bytes of one request of a client, with its whole body.
fn request(crowd: Crowd, head: &str) -> Vec<u8> {
    match crowd.framing {
        Framing::Announced => announced_request(head, crowd.body),
        Framing::Chunked(chunk) => {
            let mut wire = chunked_request(head, crowd.body, chunk);
            wire.extend_from_slice(LAST_CHUNK);
            wire
        }
        Framing::Endless(chunk) => chunked_request(head, crowd.body, chunk),
    }
}

fn announced_request(head: &str, body: usize) -> Vec<u8> {
    let mut wire = format!("{head}content-length: {body}\r\n\r\n").into_bytes();
    wire.resize(wire.len() + body, b'x');
    wire
}

/// Returns a request with a chunked body that lacks the last chunk.
fn chunked_request(head: &str, body: usize, chunk: usize) -> Vec<u8> {
    let mut wire = format!("{head}transfer-encoding: chunked\r\n\r\n").into_bytes();
    for _ in 0..body / chunk {
        wire.extend_from_slice(format!("{chunk:x}\r\n").as_bytes());
        wire.resize(wire.len() + chunk, b'x');
        wire.extend_from_slice(b"\r\n");
    }
    wire
}
