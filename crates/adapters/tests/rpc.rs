//! Calls between processes: while one of them stops, and within the limits of the server.

use bytes::Bytes;
use compio::io::AsyncRead;
use compio::io::AsyncWriteExt;
use compio::net::TcpListener;
use compio::net::TcpStream;
use compio::runtime::Runtime;
use compio::time::sleep;
use compio::time::timeout;
use hibiscusbarrow_adapters::clients::CONNECTION_BYTES;
use hibiscusbarrow_adapters::clients::ClientLimiter;
use hibiscusbarrow_adapters::clients::MachineLimits;
use hibiscusbarrow_adapters::clients::Shares;
use hibiscusbarrow_adapters::log;
use hibiscusbarrow_adapters::log::EventLog;
use hibiscusbarrow_adapters::metrics::Metrics;
use hibiscusbarrow_adapters::rpc;
use hibiscusbarrow_adapters::rpc::ForwardReply;
use hibiscusbarrow_adapters::rpc::ForwardRequest;
use hibiscusbarrow_adapters::rpc::Handlers;
use hibiscusbarrow_adapters::rpc::RpcClient;
use hibiscusbarrow_adapters::rpc::RpcError;
use hibiscusbarrow_adapters::rpc::RpcLimits;
use hibiscusbarrow_adapters::rpc::Shutdown;
use hibiscusbarrow_adapters::signal::Flag;
use hibiscusbarrow_coordination::client_budget::Class;
use hibiscusbarrow_coordination::client_budget::Pool;
use hibiscusbarrow_coordination::clock::Clock;
use hibiscusbarrow_model::code::Code;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A limit that no step of a test reaches unless it hangs.
const WAIT: Duration = Duration::from_secs(20);
/// The stops that a test with drawn times plays.
const STOPS: usize = 40;

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("it binds");
    let addr = listener.local_addr().expect("it has an address");
    (listener, addr)
}

/// Starts a server whose calls end when `finish` is raised.
async fn start_server(finish: &Flag) -> (SocketAddr, Shutdown) {
    let (listener, addr) = listener().await;
    let (shutdown, finish) = (Shutdown::default(), finish.clone());
    let handlers = Handlers {
        forward: Rc::new(move |_| {
            let finish = finish.clone();
            Box::pin(async move {
                finish.wait().await;
                ForwardReply::failure(Code::Done, "")
            })
        }),
        config: Rc::new(|_| None),
    };
    compio::runtime::spawn(rpc::serve(listener, handlers, shutdown.clone())).detach();
    (addr, shutdown)
}

/// Waits until a condition holds.
async fn wait_until(condition: impl Fn() -> bool) {
    let poll = async {
        while !condition() {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(WAIT, poll).await.expect("the condition holds");
}

/// A server that stops must not close a connection with a call in progress, nor one on which
/// its peer may be sending a call. The peer closes it, after its last answer.
#[test]
fn peer_closes_its_connection_to_a_leaving_server_after_the_last_answer() {
    Runtime::new().expect("a runtime").block_on(async {
        let finish = Flag::default();
        let (addr, shutdown) = start_server(&finish).await;
        let client = Rc::new(RpcClient::default());
        let caller = client.clone();
        let call = compio::runtime::spawn(async move {
            let request = ForwardRequest::default();
            caller.forward(addr, &request, WAIT).await
        });
        wait_until(|| !shutdown.is_unused()).await;

        shutdown.leaving.raise();
        sleep(Duration::from_millis(50)).await;
        let used_while_running = !shutdown.is_unused();
        finish.raise();
        let reply = call.await.expect("the task does not panic");
        wait_until(|| shutdown.is_unused()).await;

        assert!(used_while_running, "the call in progress was cut off");
        assert_eq!(reply.map(|r| r.code), Ok(Code::Done));
    });
}

/// A peer may connect after the last connection was closed and before the server exits. Served,
/// its call would be cut off by the exit.
#[test]
fn call_on_a_connection_opened_to_a_leaving_server_is_not_sent() {
    Runtime::new().expect("a runtime").block_on(async {
        let finish = Flag::default();
        finish.raise();
        let (addr, shutdown) = start_server(&finish).await;
        let (staying, late) = (RpcClient::default(), RpcClient::default());
        let request = ForwardRequest::default();
        let before = staying.forward(addr, &request, WAIT).await;
        shutdown.leaving.raise();
        wait_until(|| shutdown.is_unused()).await;

        let reply = late.forward(addr, &request, WAIT).await;

        assert_eq!(before.map(|r| r.code), Ok(Code::Done));
        assert!(matches!(reply, Err(RpcError::NotSent(_))), "{reply:?}");
        assert!(shutdown.is_unused(), "the new connection is served");
    });
}

/// Runs a server whose process stops after `uptime`, and returns the outcomes of calls that
/// peers made on new connections until it was gone.
fn calls_around_a_stop(uptime: Duration, closing: Duration) -> Vec<Result<Code, RpcError>> {
    let (addr_sender, addr) = std::sync::mpsc::channel();
    let server = std::thread::spawn(move || {
        Runtime::new().expect("a runtime").block_on(async {
            let finish = Flag::default();
            finish.raise();
            let (addr, shutdown) = start_server(&finish).await;
            addr_sender.send(addr).expect("the test waits for it");
            sleep(uptime).await;
            shutdown.leaving.raise();
            wait_until(|| shutdown.is_unused()).await;
            sleep(closing).await;
        });
    });
    let addr = addr.recv().expect("the server starts");
    let outcomes = Runtime::new().expect("a runtime").block_on(async {
        let mut outcomes = Vec::new();
        while !server.is_finished() {
            let client = RpcClient::default();
            let reply = client.forward(addr, &ForwardRequest::default(), WAIT).await;
            outcomes.push(reply.map(|r| r.code));
            client.disconnect(addr);
        }
        outcomes
    });
    server.join().expect("the server does not panic");
    outcomes
}

/// Guards against calls that are cut off by a planned stop, whenever their peers connect.
#[test]
fn no_call_on_a_new_connection_is_cut_off_by_a_stop() {
    let seed = rand::random();
    let mut rng = SmallRng::seed_from_u64(seed);
    for _ in 0..STOPS {
        let uptime = Duration::from_micros(rng.random_range(0..20_000));
        let closing = Duration::from_micros(rng.random_range(0..20_000));

        let outcomes = calls_around_a_stop(uptime, closing);

        let is_cut_off = |outcome: &&_| matches!(outcome, Err(RpcError::Unanswered(_)));
        assert_eq!(outcomes.iter().find(is_cut_off), None, "seed {seed}");
    }
}

/// A stopping process may still hold connections that it never accepts, and resets them when
/// it exits. A call on one of them cannot have been received.
#[test]
fn call_on_a_connection_that_is_never_accepted_is_not_sent() {
    Runtime::new().expect("a runtime").block_on(async {
        let (listener, addr) = listener().await;
        let client = RpcClient::default();

        let reply = client
            .forward(addr, &ForwardRequest::default(), Duration::from_secs(2))
            .await;

        assert!(matches!(reply, Err(RpcError::NotSent(_))), "{reply:?}");
        drop(listener);
    });
}

/// A peer that vanished without closing its connection answers no call on it; the next call
/// must not wait on the same connection.
#[test]
fn call_after_a_timeout_uses_a_new_connection() {
    Runtime::new().expect("a runtime").block_on(async {
        let finish = Flag::default();
        let (addr, shutdown) = start_server(&finish).await;
        let client = RpcClient::default();
        let request = ForwardRequest::default();

        let late = client
            .forward(addr, &request, Duration::from_millis(50))
            .await;
        wait_until(|| shutdown.is_unused()).await;
        finish.raise();
        let reply = client.forward(addr, &request, WAIT).await;

        assert!(matches!(late, Err(RpcError::Unanswered(_))), "{late:?}");
        assert_eq!(reply.map(|r| r.code), Ok(Code::Done));
    });
}

/// A server with limits, whose calls end when the flag is raised and answer with the length of
/// their body.
struct LimitedServer {
    addr: SocketAddr,
    metrics: Rc<Metrics>,
    finish: Flag,
}

impl LimitedServer {
    async fn start(bytes: u64, connections: usize, max_message: u64) -> Self {
        let clock = Clock::system();
        let metrics = Rc::new(Metrics::new().expect("the metrics are valid"));
        let log = EventLog::new("server", clock.clone(), log::discard());
        let pool = Pool {
            bytes,
            small_reserve: bytes / 4,
            connections,
        };
        let pools = BTreeMap::from([(Class::Peers, pool)]);
        let limiter = ClientLimiter::new(pools, clock, log, metrics.clone());
        let limits = RpcLimits {
            stall_timeout: Duration::from_millis(700),
            ..RpcLimits::new(limiter, max_message)
        };
        let (listener, addr) = listener().await;
        let finish = Flag::default();
        let finished = finish.clone();
        let handlers = Handlers {
            forward: Rc::new(move |request| {
                let finished = finished.clone();
                Box::pin(async move {
                    finished.wait().await;
                    ForwardReply::failure(Code::Done, request.body.len().to_string())
                })
            }),
            config: Rc::new(|_| None),
        };
        let serving = rpc::serve_limited(listener, handlers, Shutdown::default(), limits);
        compio::runtime::spawn(serving).detach();
        Self {
            addr,
            metrics,
            finish,
        }
    }

    /// Returns a gauge of the budget of peers.
    fn level(&self, name: &str) -> u64 {
        self.metric(&format!("client_level{{class=\"peers\",name=\"{name}\""))
    }

    /// Returns the value of the metric whose line begins with `prefix`.
    fn metric(&self, prefix: &str) -> u64 {
        let text = String::from_utf8(self.metrics.render()).expect("the metrics are text");
        let line = text.lines().find(|line| line.starts_with(prefix));
        let value = line.and_then(|line| line.rsplit(' ').next());
        value
            .and_then(|v| v.parse().ok())
            .expect("the gauge is there")
    }
}

fn request(len: usize) -> ForwardRequest {
    ForwardRequest {
        body: Bytes::from(vec![b'x'; len]),
        ..ForwardRequest::default()
    }
}

/// Guards against a limit that refuses a caller's largest body, which reads the message twice.
#[test]
fn call_with_the_largest_body_is_answered() {
    Runtime::new().expect("a runtime").block_on(async {
        let server = LimitedServer::start(51_200_000, 8, 32 << 20).await;
        server.finish.raise();
        let client = RpcClient::default();

        for _ in 0..3 {
            let reply = client.forward(server.addr, &request(16 << 20), WAIT).await;

            let reply = reply.expect("the call is answered");
            assert_eq!(
                (reply.code, reply.detail.as_str()),
                (Code::Done, "16777216")
            );
        }
        wait_until(|| server.level("bytes") < 1 << 20).await;
    });
}

/// Guards against calls that hold more memory together than the process has. Those that do not
/// fit have not run.
#[test]
fn call_that_does_not_fit_beside_others_is_refused() {
    Runtime::new().expect("a runtime").block_on(async {
        let server = LimitedServer::start(8 << 20, 8, 4 << 20).await;
        let client = Rc::new(RpcClient::default());
        let (caller, addr) = (client.clone(), server.addr);
        let first =
            compio::runtime::spawn(
                async move { caller.forward(addr, &request(2 << 20), WAIT).await },
            );
        wait_until(|| server.level("bytes") >= 6 << 20).await;

        let second = client.forward(addr, &request(1 << 20), WAIT).await;
        server.finish.raise();

        let second = second.expect("it is answered");
        assert_eq!(second.code, Code::Overloaded);
        assert!(second.code.is_not_run());
        let first = first.await.expect("the task does not panic");
        assert_eq!(first.map(|r| r.code), Ok(Code::Done));
        wait_until(|| server.level("bytes") < 1 << 20).await;
    });
}

/// Returns whether the server closes a connection on which `bytes` were sent.
async fn is_closed_after(addr: SocketAddr, bytes: Vec<u8>) -> bool {
    let mut stream = TcpStream::connect(addr).await.expect("it connects");
    let _ = stream.write_all(bytes).await;
    let read = async {
        loop {
            let result = stream.read(Vec::with_capacity(1024)).await;
            if matches!(result.0, Ok(0) | Err(_)) {
                return;
            }
        }
    };
    timeout(WAIT, read).await.is_ok()
}

/// Guards against peers that hold a connection or memory with a message that never ends, with
/// one that is too large, or without one.
#[test]
fn connection_without_a_whole_message_is_closed() {
    Runtime::new().expect("a runtime").block_on(async {
        let server = LimitedServer::start(8 << 20, 8, 1 << 20).await;
        let words = |words: u32| [0u32.to_le_bytes(), words.to_le_bytes()].concat();
        let cases = [
            Vec::new(),
            words(1)[..5].to_vec(),
            [words(1_000), vec![0; 100]].concat(),
            words(u32::MAX),
            words(1 << 18),
            vec![0xff; 64],
        ];

        for case in cases {
            let shown = format!("{:?}", &case[..case.len().min(16)]);
            assert!(is_closed_after(server.addr, case).await, "{shown}");
        }

        wait_until(|| server.level("connections") == 0).await;
        assert_eq!(server.level("bytes"), 0);
        let refused = server.metric("clients_refused_total{cause=\"peer_message\"");
        let stalled = server.metric("clients_closed_total{cause=\"stalled_message\"");
        assert_eq!((refused, stalled), (3, 3));
    });
}

/// Guards against silent connections that keep peers out.
#[test]
fn silent_connections_make_way_for_a_peer() {
    Runtime::new().expect("a runtime").block_on(async {
        let server = LimitedServer::start(8 << 20, 4, 1 << 20).await;
        server.finish.raise();
        let mut silent = Vec::new();
        for _ in 0..4 {
            let stream = TcpStream::connect(server.addr).await;
            silent.push(stream.expect("it connects"));
        }
        wait_until(|| server.level("connections") == 4).await;

        let client = RpcClient::default();
        let mut reply = client.forward(server.addr, &request(5), WAIT).await;
        // A caller repeats a call that was not sent; by then the others count as stalled.
        for _ in 0..3 {
            if reply.is_err() {
                reply = client.forward(server.addr, &request(5), WAIT).await;
            }
        }

        assert_eq!(reply.map(|r| r.code), Ok(Code::Done));
    });
}

/// Guards against a call whose message does not fit and which ends its connection, so that the
/// outcomes of the calls in progress are unknown, or which holds up small calls.
#[test]
fn call_whose_message_does_not_fit_is_refused_and_its_connection_stays() {
    Runtime::new().expect("a runtime").block_on(async {
        let server = LimitedServer::start(51_200_000, 8, 32 << 20).await;
        let client = Rc::new(RpcClient::default());
        let (first, addr) = (client.clone(), server.addr);
        let in_progress =
            compio::runtime::spawn(
                async move { first.forward(addr, &request(16 << 20), WAIT).await },
            );
        wait_until(|| server.level("bytes") > 40 << 20).await;
        let small = client.clone();
        let large = request(16 << 20);
        let second = client.forward(addr, &large, WAIT);
        let behind = compio::runtime::spawn(async move {
            sleep(Duration::from_millis(50)).await;
            small.forward(addr, &request(100), WAIT).await
        });

        let refused = second.await.map(|r| r.code);
        let (connections, at_work) = (server.level("connections"), server.level("bytes"));
        server.finish.raise();
        let done = in_progress.await.expect("the task does not panic");
        let behind = behind.await.expect("the task does not panic");

        assert_eq!(refused, Ok(Code::Overloaded));
        assert_eq!((connections, at_work > 40 << 20), (1, true));
        assert_eq!(done.map(|r| r.code), Ok(Code::Done));
        assert_eq!(behind.map(|r| r.code), Ok(Code::Done));
    });
}

/// Guards against an idle connection that is cut off to make room, with the call that its peer
/// has just sent on it. The peer is asked to close it instead.
#[test]
fn idle_peer_is_asked_to_close_for_a_newcomer_and_is_not_cut_off() {
    Runtime::new().expect("a runtime").block_on(async {
        let server = LimitedServer::start(8 << 20, 2, 1 << 20).await;
        server.finish.raise();
        let idle = [RpcClient::default(), RpcClient::default()];
        for client in &idle {
            let reply = client.forward(server.addr, &request(5), WAIT).await;
            assert_eq!(reply.map(|r| r.code), Ok(Code::Done));
        }
        sleep(Duration::from_millis(600)).await;

        let newcomer = RpcClient::default();
        let mut replies = Vec::new();
        for _ in 0..10 {
            let reply = newcomer.forward(server.addr, &request(5), WAIT).await;
            replies.push(reply.map(|r| r.code));
            if replies.last().is_some_and(Result::is_ok) {
                break;
            }
        }

        assert_eq!(replies.last(), Some(&Ok(Code::Done)), "{replies:?}");
        let refused = &replies[..replies.len() - 1];
        let is_not_sent = |r: &Result<Code, RpcError>| matches!(r, Err(RpcError::NotSent(_)));
        assert!(refused.iter().all(is_not_sent), "{refused:?}");
        let text = String::from_utf8(server.metrics.render()).expect("the metrics are text");
        for cause in ["idle", "stalled_body", "stalled_reply"] {
            let is_cut_off = text.contains(&format!("cause=\"{cause}\""));
            assert!(!is_cut_off, "{cause}: {text}");
        }
    });
}

/// Guards against limits that a design of 90 gateways and a placer exceeds in calm: each has one
/// connection, and an old one that is about to close.
#[test]
fn peers_of_the_largest_design_fit_on_the_smallest_machines() {
    let machines = [
        (160_000_000, 4_100, Shares::GATEWAY),
        (128_000_000, 4_096, Shares::FLEET_SIDECAR),
        (128_000_000, 4_096, Shares::UPSTREAM_SIDECAR),
    ];
    for (memory, descriptors, shares) in machines {
        let machine = MachineLimits {
            memory,
            descriptors,
        };

        let pool = machine.pools(shares)[&Class::Peers];

        let connections = 2 * 91;
        assert!(pool.connections >= connections, "{pool:?}");
        let bytes = connections as u64 * CONNECTION_BYTES;
        assert!(pool.bytes - pool.small_reserve >= bytes, "{pool:?}");
    }
}
