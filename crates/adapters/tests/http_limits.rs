//! The HTTP server under clients that stall, send too much or send nonsense.

use bytes::Bytes;
use compio::runtime::Runtime;
use futures_util::future::AbortHandle;
use hibiscusbarrow_adapters::clients::ClientLimiter;
use hibiscusbarrow_adapters::http;
use hibiscusbarrow_adapters::http::Limits;
use hibiscusbarrow_adapters::http::Reply;
use hibiscusbarrow_adapters::http::Request;
use hibiscusbarrow_adapters::http::text_reply;
use hibiscusbarrow_adapters::log;
use hibiscusbarrow_adapters::log::EventLog;
use hibiscusbarrow_adapters::metrics::Metrics;
use hibiscusbarrow_adapters::signal::Flag;
use hibiscusbarrow_coordination::client_budget::Class;
use hibiscusbarrow_coordination::client_budget::Pool;
use hibiscusbarrow_coordination::clock::Clock;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

/// A limit that no step of a test reaches unless it hangs.
const WAIT: Duration = Duration::from_secs(20);
/// The environment variable with the number of inputs of the drawn test.
const DRAWN_VAR: &str = "DRAWN_INPUTS";
/// The number of drawn inputs without the variable.
const DRAWN_INPUTS: u64 = 300;
/// The size of the answer to `/large`, which exceeds the buffers of the system.
const LARGE_BYTES: usize = 8 << 20;

/// For how long a request to `/busy` keeps the server from everything else.
const BUSY_TIME: Duration = Duration::from_millis(400);
/// A bound on what a single question for the metrics holds.
const OWN_BYTES: u64 = 256 << 10;

/// A server on a thread of its own.
struct Server {
    addr: SocketAddr,
    /// Whether requests to `/gated` are answered.
    gate: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.gate.store(true, Ordering::SeqCst);
        self.stop.store(true, Ordering::SeqCst);
        let joined = self.thread.take().map(JoinHandle::join);
        if !std::thread::panicking() {
            joined.expect("the thread runs").expect("the server ends");
        }
    }
}

/// The pools of a server: bytes and connections of clients.
fn pools(bytes: u64, connections: usize) -> BTreeMap<Class, Pool> {
    let pool = |bytes, connections| Pool {
        bytes,
        small_reserve: bytes / 4,
        connections,
    };
    BTreeMap::from([
        (Class::Clients, pool(bytes, connections)),
        (Class::Overflow, pool(4 << 20, 8)),
    ])
}

fn short_limits() -> Limits {
    Limits {
        head_timeout: Duration::from_millis(2_000),
        body_timeout: Duration::from_millis(4_000),
        stall_timeout: Duration::from_millis(1_000),
        is_reserved: |path| path == "/metrics",
        ..Limits::default()
    }
}

async fn handle(request: Request, gate: Arc<AtomicBool>, metrics: Rc<Metrics>) -> Reply {
    match request.path.as_str() {
        "/metrics" => text_reply(200, metrics.render()),
        "/large" => text_reply(200, vec![b'x'; LARGE_BYTES]),
        "/panic" => panic!("the handler fails"),
        "/gated" | "/busy" => {
            if request.path == "/busy" {
                std::thread::sleep(BUSY_TIME);
            }
            while !gate.load(Ordering::SeqCst) {
                compio::time::sleep(Duration::from_millis(5)).await;
            }
            text_reply(200, "done")
        }
        _ => text_reply(200, format!("got {}", request.body.len())),
    }
}

/// Serves until `stop` is set.
async fn serve(
    addr_sender: mpsc::Sender<SocketAddr>,
    pools: BTreeMap<Class, Pool>,
    limits: Limits,
    gate: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
) {
    let clock = Clock::system();
    let metrics = Rc::new(Metrics::new().expect("the metrics are valid"));
    let log = EventLog::new("server", clock.clone(), log::discard());
    let limiter = ClientLimiter::new(pools, clock, log, metrics.clone());
    let any = "127.0.0.1:0".parse().expect("the address is valid");
    let listener = http::bind(any, &limits).await.expect("it binds");
    let addr = listener.local_addr().expect("it has an address");
    addr_sender.send(addr).expect("the test waits");
    let flag = Flag::default();
    let raised = flag.clone();
    compio::runtime::spawn(async move {
        while !stop.load(Ordering::SeqCst) {
            compio::time::sleep(Duration::from_millis(5)).await;
        }
        raised.raise();
    })
    .detach();
    let handler = move |request| handle(request, gate.clone(), metrics.clone());
    http::serve_limited(listener, limiter, limits, flag, handler).await;
}

fn start(pools: BTreeMap<Class, Pool>, limits: Limits) -> Server {
    let (sender, receiver) = mpsc::channel();
    let gate = Arc::new(AtomicBool::new(false));
    let stop = Arc::new(AtomicBool::new(false));
    let (server_gate, server_stop) = (gate.clone(), stop.clone());
    let thread = std::thread::spawn(move || {
        let runtime = Runtime::new().expect("a runtime");
        runtime.block_on(serve(sender, pools, limits, server_gate, server_stop));
    });
    Server {
        addr: receiver.recv_timeout(WAIT).expect("the server starts"),
        gate,
        stop,
        thread: Some(thread),
    }
}

fn large_server() -> Server {
    start(pools(64 << 20, 200), short_limits())
}

impl Server {
    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.addr).expect("it connects");
        stream
            .set_read_timeout(Some(WAIT))
            .expect("the timeout is set");
        stream
            .set_write_timeout(Some(WAIT))
            .expect("the timeout is set");
        stream
    }

    fn send(&self, bytes: &[u8]) -> TcpStream {
        let mut stream = self.connect();
        stream.write_all(bytes).expect("it is sent");
        stream
    }

    /// Sends bytes and returns all that comes back until the server closes the connection.
    fn exchange(&self, bytes: &[u8]) -> String {
        read_to_end(self.send(bytes))
    }

    /// Sends an ordinary request and returns its answer.
    fn ask(&self) -> String {
        self.exchange(&post("/", b"hello", "connection: close\r\n"))
    }

    /// Returns a gauge of the budget, as seen by a request of its own.
    fn level(&self, name: &str) -> u64 {
        let text = self.exchange(b"GET /metrics HTTP/1.1\r\nconnection: close\r\n\r\n");
        let prefix = format!("client_level{{class=\"clients\",name=\"{name}\"");
        let line = text.lines().find(|line| line.starts_with(&prefix));
        let value = line.and_then(|line| line.rsplit(' ').next());
        value.and_then(|v| v.parse().ok()).unwrap_or(u64::MAX)
    }

    /// Waits until no connection but that of the question is open, and nothing else is held.
    fn wait_until_released(&self) {
        wait_until("all connections are closed", || {
            self.level("connections") == 1 && self.level("bytes") < OWN_BYTES
        });
    }
}

fn wait_until(what: &str, mut is_met: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT;
    while !is_met() {
        assert!(Instant::now() < end, "it did not happen that {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Reads until the connection is closed or reset.
fn read_to_end(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    match stream.read_to_end(&mut bytes) {
        Ok(_) => {}
        Err(e) if e.kind() == ErrorKind::ConnectionReset => {}
        Err(e) => panic!("the server does not close the connection: {e}"),
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn post(path: &str, body: &[u8], headers: &str) -> Vec<u8> {
    let len = body.len();
    let head = format!("POST {path} HTTP/1.1\r\ncontent-length: {len}\r\n{headers}\r\n");
    [head.as_bytes(), body].concat()
}

const CHUNKED: &str = "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n";

fn assert_status(answer: &str, status: u16) {
    let expected = format!("HTTP/1.1 {status} ");
    assert!(answer.starts_with(&expected), "not {status}: {answer}");
}

// Guards against chunks that are kept one by one, or lost, instead of one buffer.
#[test]
fn body_of_many_small_chunks_with_extensions_and_trailers_is_whole() {
    let server = start(pools(64 << 20, 200), Limits::default());
    let chunks = "1;name=value\r\nx\r\n".repeat(1_000) + &"1\r\ny\r\n".repeat(100_000);
    let body = format!("{CHUNKED}{chunks}0\r\nchecksum: 5\r\nother: 6\r\n\r\n");

    let answer = server.exchange(body.as_bytes());

    assert_status(&answer, 200);
    assert!(answer.ends_with("got 101000"), "{answer}");
    server.wait_until_released();
}

// Guards against a chunked body that is read on although it can only be refused.
#[test]
fn body_over_the_limit_is_refused_when_announced_and_when_sent() {
    let server = large_server();
    let announced = "POST / HTTP/1.1\r\ncontent-length: 1048577\r\n\r\n";
    let at_limit = post("/", &vec![b'x'; 1 << 20], "connection: close\r\n");
    let chunk = format!("10000\r\n{}\r\n", "x".repeat(1 << 16));

    let of_announced = server.exchange(announced.as_bytes());
    let of_limit = server.exchange(&at_limit);
    let mut stream = server.send(CHUNKED.as_bytes());
    let endless = Instant::now() + WAIT;
    while stream.write_all(chunk.as_bytes()).is_ok() {
        assert!(Instant::now() < endless, "the server reads without bound");
    }
    let sent = server.exchange(format!("{CHUNKED}{}", chunk.repeat(17)).as_bytes());

    assert_status(&of_announced, 413);
    assert!(of_announced.contains("x-result-code: HB108"));
    assert!(of_announced.contains("connection: close"));
    assert_status(&of_limit, 200);
    assert_status(&sent, 413);
    server.wait_until_released();
}

// Guards against pipelined requests that are answered out of order, or not at all.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let server = large_server();
    let mut requests = Vec::new();
    for len in 0..200 {
        requests.extend(post("/", &vec![b'x'; len], ""));
    }
    requests.extend(post("/", b"", "connection: close\r\n"));

    let answer = server.exchange(&requests);

    let lens = answer.split("got ").skip(1).map(|rest| {
        let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
        digits.parse::<usize>().expect("a number")
    });
    let expected: Vec<usize> = (0..200).chain([0]).collect();
    assert_eq!(lens.collect::<Vec<_>>(), expected);
    server.wait_until_released();
}

// Guards against heads that hold memory without bound.
#[test]
fn heads_with_many_or_large_fields_are_refused() {
    let server = large_server();
    let fields = |count: usize| {
        let fields: String = (0..count).map(|i| format!("field-{i}: x\r\n")).collect();
        format!("GET / HTTP/1.1\r\nconnection: close\r\n{fields}\r\n")
    };
    let large = format!(
        "GET / HTTP/1.1\r\nconnection: close\r\na: {}\r\n\r\n",
        "x".repeat(60_000)
    );
    let too_large = format!("GET / HTTP/1.1\r\na: {}", "x".repeat(1 << 20));

    let of_few = server.exchange(fields(99).as_bytes());
    let of_many = server.exchange(fields(200).as_bytes());
    let of_large = server.exchange(large.as_bytes());
    let mut stream = server.connect();
    let sent = stream.write_all(too_large.as_bytes());

    assert_status(&of_few, 200);
    assert_status(&of_many, 431);
    assert_status(&of_large, 200);
    if sent.is_ok() {
        let answer = read_to_end(stream);
        assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    server.wait_until_released();
}

// Guards against clients that close their side, with or without a whole request, and whose
// connections stay open.
#[test]
fn half_closed_connections_are_closed_and_hold_nothing() {
    let server = large_server();
    let whole = post("/", b"hello", "");

    for end in [0, 10, whole.len() - 1, whole.len()] {
        let stream = server.send(&whole[..end]);
        stream.shutdown(Shutdown::Write).expect("it is shut down");
        read_to_end(stream);
    }

    assert_status(&server.ask(), 200);
    server.wait_until_released();
}

// Guards against connections that say nothing and keep all others out.
#[test]
fn silent_connections_make_way_for_an_ordinary_request() {
    let server = start(pools(64 << 20, 20), Limits::default());
    let silent: Vec<_> = (0..60).map(|_| server.connect()).collect();

    let answer = server.ask();

    assert_status(&answer, 200);
    drop(silent);
    server.wait_until_released();
}

// Guards against unfinished bodies that hold the memory and keep all others out.
#[test]
fn unfinished_bodies_make_way_for_ordinary_requests() {
    let limits = Limits {
        body_timeout: 3 * WAIT,
        stall_timeout: 3 * WAIT,
        ..Limits::default()
    };
    let server = start(pools(4 << 20, 200), limits);
    let mut unfinished = Vec::new();
    for _ in 0..60 {
        let body = post("/", &vec![b'x'; 400_000], "");
        let mut stream = server.connect();
        let _ = stream.write_all(&body[..body.len() - 1]);
        unfinished.push(stream);
    }

    let mut small = String::new();
    wait_until("a small request is served", || {
        small = server.ask();
        let is_served = small.starts_with("HTTP/1.1 200");
        // On a busy machine it may have to come back, and has to be told so.
        assert!(is_served || small.contains("retry-after: 1"), "{small}");
        is_served
    });
    let mut large = String::new();
    wait_until("a large body is served", || {
        large = server.exchange(&post("/", &vec![b'x'; 500_000], "connection: close\r\n"));
        large.starts_with("HTTP/1.1 200")
    });

    assert!(small.ends_with("got 5"), "{small}");
    assert!(large.ends_with("got 500000"), "{large}");
    drop(unfinished);
    server.wait_until_released();
}

// Guards against a client that never reads and keeps the memory of its answer.
#[test]
fn reader_that_never_reads_is_disconnected() {
    let server = large_server();
    let stream = server.send(b"GET /large HTTP/1.1\r\n\r\n");
    wait_until("the answer is held", || {
        server.level("bytes") > LARGE_BYTES as u64
    });

    server.wait_until_released();

    drop(stream);
    let slow = server.exchange(b"GET /large HTTP/1.1\r\nconnection: close\r\n\r\n");
    assert!(slow.len() > LARGE_BYTES, "a reader gets the whole answer");
}

// Guards against a body that stops before its end and is waited for.
#[test]
fn stalled_body_is_refused_and_its_connection_closed() {
    let limits = Limits {
        body_timeout: 3 * WAIT,
        ..short_limits()
    };
    let server = start(pools(64 << 20, 200), limits);
    let body = post("/", &[b'x'; 300_000], "");

    let answer = server.exchange(&body[..body.len() - 1]);

    assert_status(&answer, 400);
    assert!(answer.contains("connection: close"), "{answer}");
    server.wait_until_released();
}

// Guards against interrupting a request at work for a newcomer, and against a refusal without
// its code, the time to wait or the close.
#[test]
fn newcomer_is_refused_while_all_connections_are_at_work() {
    let server = start(pools(64 << 20, 4), short_limits());
    let gated = post("/gated", b"", "connection: close\r\n");
    let at_work: Vec<_> = (0..4).map(|_| server.send(&gated)).collect();
    wait_until("all are at work", || server.level("connections") == 4);

    let refused = server.ask();
    server.gate.store(true, Ordering::SeqCst);

    assert_status(&refused, 503);
    assert!(refused.contains("x-result-code: HB404"), "{refused}");
    assert!(refused.contains("retry-after: 1"), "{refused}");
    assert!(refused.contains("connection: close"), "{refused}");
    for stream in at_work {
        assert_status(&read_to_end(stream), 200);
    }
    assert_status(&server.ask(), 200);
    server.wait_until_released();
}

// Guards against a burst of newcomers of which all but the first few are closed without an answer.
// They are accepted one after the other before any of the first ones can be refused, so that the
// connections for refusals are in use for an instant.
#[test]
fn each_newcomer_of_a_burst_is_told_that_it_is_refused() {
    let server = start(pools(64 << 20, 5), short_limits());
    let gated = post("/gated", b"", "connection: close\r\n");
    let at_work: Vec<_> = (0..4).map(|_| server.send(&gated)).collect();
    wait_until("all are at work", || server.level("connections") == 5);
    let busy = server.send(&post("/busy", b"", ""));
    std::thread::sleep(BUSY_TIME / 4);

    let request = post("/", b"hello", "connection: close\r\n");
    let newcomers: Vec<_> = (0..40).map(|_| server.send(&request)).collect();
    let answers: Vec<String> = newcomers.into_iter().map(read_to_end).collect();
    server.gate.store(true, Ordering::SeqCst);

    let unanswered = answers.iter().filter(|a| !a.contains("retry-after: 1"));
    assert_eq!(unanswered.count(), 0, "of 40 newcomers");
    drop(busy);
    drop(at_work);
    server.wait_until_released();
}

// Guards against a body that is read although its memory is in use by requests at work.
#[test]
fn large_body_is_refused_while_requests_at_work_hold_the_memory() {
    let server = start(pools(8 << 20, 50), short_limits());
    let gated = post("/gated", &vec![b'x'; 1 << 20], "connection: close\r\n");
    let at_work = server.send(&gated);
    wait_until("it is at work", || server.level("bytes") > 5 << 20);

    let refused = server.exchange(&post("/", &vec![b'x'; 1 << 20], ""));
    let small = server.ask();
    server.gate.store(true, Ordering::SeqCst);

    assert_status(&refused, 503);
    assert!(refused.contains("retry-after: 1"), "{refused}");
    assert_status(&small, 200);
    assert_status(&read_to_end(at_work), 200);
    server.wait_until_released();
}

// Guards against a share that is lost with a handler that panics.
#[test]
fn handler_that_panics_returns_its_share() {
    let server = start(pools(64 << 20, 4), short_limits());

    for _ in 0..12 {
        let answer = server.exchange(&post("/panic", &vec![b'x'; 100_000], ""));
        assert_eq!(answer, "", "the connection is closed without an answer");
    }

    assert_status(&server.ask(), 200);
    server.wait_until_released();
}

// Guards against a planned stop that cuts off a body in progress.
#[test]
fn body_in_progress_is_finished_during_a_planned_stop() {
    let server = large_server();
    let body = post("/", &[b'x'; 200_000], "");
    let mut stream = server.send(&body[..100_000]);
    wait_until("it is received", || server.level("bytes") > 200_000);

    server.stop.store(true, Ordering::SeqCst);
    std::thread::sleep(Duration::from_millis(50));
    stream.write_all(&body[100_000..]).expect("it is sent");

    let answer = read_to_end(stream);
    assert_status(&answer, 200);
    assert!(answer.ends_with("got 200000"), "{answer}");
}

/// Returns a drawn input: parts of requests, whole ones, or arbitrary bytes.
fn drawn_input(rng: &mut SmallRng) -> Vec<u8> {
    let mut input = Vec::new();
    for _ in 0..rng.random_range(1..6) {
        match rng.random_range(0..8) {
            0 => input.extend(CHUNKED.as_bytes()),
            1 => {
                let len = rng.random_range(0..3_000);
                input.extend(post("/", &vec![b'x'; len], ""));
            }
            2 => {
                let size: u64 = rng.random::<u64>() >> rng.random_range(0..64);
                input.extend(format!("{size:x}\r\n").as_bytes());
            }
            3 => {
                let len = rng.random_range(0..200);
                input.extend(format!("{len:x};a=b\r\n{}\r\n", "y".repeat(len)).as_bytes());
            }
            4 => input.extend(b"0\r\nt: x\r\n\r\n"),
            5 => {
                let size: u64 = rng.random::<u64>() >> rng.random_range(0..64);
                let head = format!("POST / HTTP/1.1\r\ncontent-length: {size}\r\n\r\n");
                input.extend(head.as_bytes());
            }
            6 => input.extend(b"GET /large HTTP/1.1\r\nx: y\r\n\r\n"),
            _ => {
                let len = rng.random_range(0..300);
                input.extend((0..len).map(|_| rng.random::<u8>()));
            }
        }
    }
    if input.is_empty() {
        input.push(b'G');
    }
    if rng.random_bool(0.3) {
        for _ in 0..rng.random_range(1..10) {
            let at = rng.random_range(0..input.len());
            input[at] = rng.random();
        }
    }
    let end = rng.random_range(1..=input.len());
    if rng.random_bool(0.3) {
        input.truncate(end);
    }
    input
}

// Guards against input that makes the server panic, hang or keep what a connection held.
#[test]
fn drawn_bytes_leave_the_server_answering_and_nothing_held() {
    let count = std::env::var(DRAWN_VAR).ok().and_then(|v| v.parse().ok());
    let server = start(pools(32 << 20, 64), short_limits());
    let mut open = Vec::new();

    for seed in 0..count.unwrap_or(DRAWN_INPUTS) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let input = drawn_input(&mut rng);
        let mut stream = server.connect();
        let _ = stream.write_all(&input);
        match rng.random_range(0..3) {
            0 => drop(stream),
            1 => {
                let _ = stream.shutdown(Shutdown::Write);
                open.push(stream);
            }
            _ => open.push(stream),
        }
        if seed % 100 == 99 {
            open.clear();
            assert_status(&server.ask(), 200);
        }
    }

    drop(open);
    assert_status(&server.ask(), 200);
    server.wait_until_released();
}

// Guards against an answer of another process that never ends or is larger than allowed.
#[test]
fn client_limits_the_size_of_an_answer() {
    let server = large_server();
    let request = || {
        let request = ::http::Request::get("/large").body(Bytes::new());
        request.expect("the request is valid")
    };
    let runtime = Runtime::new().expect("a runtime");

    let (small, whole) = runtime.block_on(async {
        let client = http::HttpClient::default();
        let small = client.call(server.addr, request(), WAIT, 1 << 20).await;
        let whole = client.call(server.addr, request(), WAIT, LARGE_BYTES).await;
        (small, whole)
    });

    assert!(matches!(small, Err(http::SendError::Truncated(_))));
    assert_eq!(whole.expect("it is whole").body().len(), LARGE_BYTES);
}

fn limiter(connections: usize) -> ClientLimiter {
    let clock = Clock::system();
    let log = EventLog::new("server", clock.clone(), log::discard());
    let metrics = Rc::new(Metrics::new().expect("the metrics are valid"));
    ClientLimiter::new(pools(64 << 20, connections), clock, log, metrics)
}

// Guards against a shutdown that waits behind the wait of a newcomer for room, which takes 1 s
// for a connection that does not end.
#[test]
fn shutdown_does_not_wait_for_room_for_a_newcomer() {
    Runtime::new().expect("a runtime").block_on(async {
        let limiter = limiter(1);
        let limits = short_limits();
        let any = "127.0.0.1:0".parse().expect("the address is valid");
        let listener = http::bind(any, &limits).await.expect("it binds");
        let addr = listener.local_addr().expect("it has an address");
        let (abort, _registration) = AbortHandle::new_pair();
        let held = limiter.open(Class::Clients, addr, abort).await;
        compio::time::sleep(Duration::from_millis(600)).await;
        let stop = Flag::default();
        let handler = |_| async { text_reply(200, "") };
        let serving = http::serve_limited(listener, limiter, limits, stop.clone(), handler);
        let server = compio::runtime::spawn(serving);
        let newcomer = TcpStream::connect(addr).expect("it connects");
        compio::time::sleep(Duration::from_millis(100)).await;

        stop.raise();
        let ended = compio::time::timeout(Duration::from_millis(600), server).await;

        assert!(ended.is_ok(), "the shutdown waits");
        drop((held, newcomer));
    });
}
