//! What a sidecar answers in the place of its worker.

use bytes::Bytes;
use compio::net::TcpListener;
use compio::runtime::Runtime;
use compio::time::sleep;
use hibiscusbarrow_adapters::clients::MachineLimits;
use hibiscusbarrow_adapters::http::HttpClient;
use hibiscusbarrow_adapters::http::Request;
use hibiscusbarrow_adapters::log::EventLog;
use hibiscusbarrow_adapters::metrics::Metrics;
use hibiscusbarrow_adapters::rpc::ForwardRequest;
use hibiscusbarrow_adapters::rpc::RpcClient;
use hibiscusbarrow_adapters::signal::Flag;
use hibiscusbarrow_coordination::clock::Clock;
use hibiscusbarrow_fleet::ledger::Bounds;
use hibiscusbarrow_fleet::ledger::LearnedTimes;
use hibiscusbarrow_fleet::worker::Announcement;
use hibiscusbarrow_fleet::worker::Answer;
use hibiscusbarrow_fleet::worker::Boot;
use hibiscusbarrow_fleet::worker::End;
use hibiscusbarrow_fleet::worker::Ended;
use hibiscusbarrow_fleet::worker::Envelope;
use hibiscusbarrow_fleet::worker::Listing;
use hibiscusbarrow_fleet::worker::Order;
use hibiscusbarrow_fleet::worker::Refusal;
use hibiscusbarrow_fleet::worker::Running;
use hibiscusbarrow_fleet::worker::Start;
use hibiscusbarrow_fleet::worker::TaskId;
use hibiscusbarrow_roles::fleet::Shared;
use hibiscusbarrow_roles::fleet::port::LocalBoxFuture;
use hibiscusbarrow_roles::fleet::port::Outcome;
use hibiscusbarrow_roles::fleet::port::Settings;
use hibiscusbarrow_roles::fleet::port::Store;
use hibiscusbarrow_roles::fleet::port::StoreError;
use hibiscusbarrow_roles::fleet::port::Worker;
use hibiscusbarrow_roles::fleet::port::WorkerMessage;
use hibiscusbarrow_roles::fleet::sidecar;
use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The time after which a worker that does not answer counts as silent.
const SILENCE: Duration = Duration::from_millis(100);
/// How late the answers of a worker are that overtake each other.
const LATENESS: Duration = Duration::from_millis(150);
/// How long the worker takes for a start.
const START_TIME: Duration = Duration::from_millis(100);
const TIMEOUT: Duration = Duration::from_secs(5);

/// A worker whose state a test changes.
#[derive(Default)]
struct FakeWorker {
    /// What it runs and what has ended.
    listing: RefCell<Listing>,
    /// Whether the process is gone.
    is_gone: Cell<bool>,
    /// Whether orders get no answer.
    is_silent: Cell<bool>,
    /// Whether the answer to the next poll is late; it shows the state before.
    delays_next: Cell<bool>,
    /// Whether the next poll is carried out late.
    holds_next: Cell<bool>,
    /// Whether a poll has yet to be carried out.
    is_holding: Cell<bool>,
    /// Whether the next poll is refused.
    refuses_next: Cell<bool>,
}

impl FakeWorker {
    async fn handle(self: Rc<Self>, order: Order, announced: Announcement) -> Answer {
        if self.is_gone.get() {
            return Answer::Silent;
        }
        if self.is_silent.get() {
            sleep(SILENCE).await;
            return Answer::Silent;
        }
        if let Order::Start(start) = &order {
            sleep(START_TIME).await;
            let started = running(start.task.index);
            self.listing.borrow_mut().running.push(started);
        }
        if !matches!(order, Order::Poll { .. }) {
            return Answer::Accepted;
        }
        if self.refuses_next.replace(false) {
            return Answer::Refused(Refusal::Unhealthy);
        }
        if self.holds_next.replace(false) {
            self.is_holding.set(true);
            while self.is_holding.get() {
                sleep(Duration::from_millis(1)).await;
            }
        }
        let mut listing = self.listing.borrow().clone();
        listing.clock = Clock::system().wall_ms();
        if self.delays_next.replace(false) {
            sleep(LATENESS).await;
        }
        Answer::Listed(Box::new(announced), Box::new(listing))
    }
}

fn boot() -> Boot {
    Boot {
        id: "w1".into(),
        born: 7,
    }
}

fn task(index: u32) -> TaskId {
    TaskId {
        job: "j".into(),
        occurrence: 0,
        step: 0,
        index,
    }
}

fn running(index: u32) -> Running {
    Running {
        task: task(index),
        run: 1,
        checkpoint: "".into(),
        percent: 50,
        load: 0,
    }
}

fn ended(number: u64, index: u32) -> Ended {
    Ended {
        number,
        task: task(index),
        run: 1,
        end: End::Done,
        checkpoint: "".into(),
    }
}

fn port(fake: &Rc<FakeWorker>) -> Worker {
    let (orders, probes) = (fake.clone(), fake.clone());
    Worker {
        decode_message: Rc::new(|request: &Request| {
            if request.method == http::Method::DELETE {
                return Ok(WorkerMessage::Left(boot().id));
            }
            let heartbeat = serde_json::from_slice(&request.body);
            heartbeat
                .map(WorkerMessage::Heartbeat)
                .map_err(|e| e.to_string())
        }),
        send_order: Rc::new(move |_, order, announced| {
            Box::pin(orders.clone().handle(order, announced))
        }),
        is_absent: Rc::new(move || Box::pin(std::future::ready(probes.is_gone.get()))),
    }
}

/// Returns a store that takes every transaction and nothing else.
fn store() -> Store {
    fn refuse<T: 'static>() -> LocalBoxFuture<Result<T, StoreError>> {
        Box::pin(std::future::ready(Err(StoreError::Refused("".into()))))
    }
    Store {
        manifest_key: "manifest".into(),
        evacuation_prefix: None,
        decode_manifest: Rc::new(|_| Err("no manifest".into())),
        get: Rc::new(|_| refuse()),
        list: Rc::new(|_| refuse()),
        watch: Rc::new(|_| refuse()),
        commit: Rc::new(|_| Box::pin(std::future::ready(Ok(Outcome::Committed(1))))),
        grant: Rc::new(|_| refuse()),
        renew: Rc::new(|_| refuse()),
        revoke: Rc::new(|_| refuse()),
    }
}

async fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("it binds");
    listener.local_addr().expect("it has an address")
}

/// A sidecar beside a fake worker, and its callers.
struct Fixture {
    worker: Rc<FakeWorker>,
    rpc: RpcClient,
    http: HttpClient,
    heartbeat_addr: SocketAddr,
    peer_addr: SocketAddr,
    sequence: Cell<u64>,
}

impl Fixture {
    async fn start() -> Self {
        let worker = Rc::new(FakeWorker::default());
        worker.listing.borrow_mut().born = boot().born;
        let (heartbeat_addr, peer_addr) = (free_addr().await, free_addr().await);
        let clock = Clock::system();
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let shared = Shared {
            settings: Settings {
                name: "sidecar".into(),
                domain: "a".into(),
                capacity: 1_000,
                caller_addr: None,
                ready_addr: None,
                heartbeat_addr: Some(heartbeat_addr),
                peer_addr,
                metrics_addr: free_addr().await,
                limits: MachineLimits::default(),
                shutdown_timeout: Duration::from_secs(1),
                config_bound: Duration::from_secs(2),
                bounds: Bounds::default(),
                learned_times: LearnedTimes::default(),
            },
            clock: clock.clone(),
            log: EventLog::new("sidecar", clock, logger),
            metrics: Rc::new(Metrics::new().expect("the metrics are valid")),
            store: store(),
            stop: Flag::default(),
        };
        let port = port(&worker);
        compio::runtime::spawn(async move {
            sidecar::run(shared, port).await.expect("the sidecar runs");
        })
        .detach();
        let fixture = Self {
            worker,
            rpc: RpcClient::default(),
            http: HttpClient::default(),
            heartbeat_addr,
            peer_addr,
            sequence: Cell::new(0),
        };
        sleep(Duration::from_millis(50)).await;
        fixture
    }

    async fn heartbeat(&self, draining: bool) {
        self.sequence.set(self.sequence.get() + 1);
        let heartbeat = Announcement {
            boot: boot(),
            sequence: self.sequence.get(),
            draining,
            ..Announcement::default()
        };
        let body = serde_json::to_vec(&heartbeat).expect("it can be serialized");
        self.message(http::Method::PUT, body).await;
    }

    /// Says that the worker leaves.
    async fn leave(&self) {
        self.message(http::Method::DELETE, Vec::new()).await;
    }

    async fn message(&self, method: http::Method, body: Vec<u8>) {
        let request = http::Request::builder()
            .method(method)
            .uri("/instances/w1")
            .header("host", self.heartbeat_addr.to_string())
            .body(Bytes::from(body))
            .expect("the request is valid");
        let http = &self.http;
        let reply = http.call(self.heartbeat_addr, request, TIMEOUT, 1 << 10);
        let reply = reply.await.expect("the sidecar answers");
        assert_eq!(reply.status(), 200);
    }

    /// Polls the worker without waiting for an end and without acknowledging any.
    async fn poll(&self, epoch: u64) -> Answer {
        let poll = Order::Poll {
            acknowledged: 0,
            deadline: None,
            wait: 0,
        };
        self.order(epoch, poll).await
    }

    async fn order(&self, epoch: u64, order: Order) -> Answer {
        let envelope = Envelope {
            epoch,
            boot: Some(boot()),
            order,
        };
        let request = ForwardRequest {
            service: "orders".into(),
            body: Bytes::from(serde_json::to_vec(&envelope).expect("it can be serialized")),
            ..ForwardRequest::default()
        };
        let reply = self.rpc.forward(self.peer_addr, &request, TIMEOUT).await;
        let reply = reply.expect("the sidecar answers");
        serde_json::from_slice(&reply.body).expect("the answer can be read")
    }
}

fn start(index: u32) -> Order {
    Order::Start(Box::new(Start {
        task: task(index),
        run: 1,
        spec: String::new(),
        deadline: 0,
        checkpoint: "".into(),
        approval: "".into(),
        latest: None,
    }))
}

/// Returns the numbers of the ends that an answer lists.
fn ends(answer: &Answer) -> Vec<u64> {
    match answer {
        Answer::Listed(_, listing) => listing.ended.iter().map(|e| e.number).collect(),
        _ => Vec::new(),
    }
}

/// Answers on different connections to a worker may overtake each other. The late answer to a poll
/// of the sidecar itself replaced the newer listing with an end, which a placer had heard and not
/// stored; the next placer was told that the worker had left.
#[test]
fn late_answer_of_a_draining_worker_hides_no_end() {
    Runtime::new().expect("a runtime").block_on(async {
        let fixture = Fixture::start().await;
        let worker = fixture.worker.clone();
        worker.listing.borrow_mut().running = vec![running(0)];
        fixture.heartbeat(true).await;
        fixture.poll(1).await;
        worker.delays_next.set(true);
        while worker.delays_next.get() {
            sleep(Duration::from_millis(1)).await;
        }

        worker.listing.borrow_mut().running = Vec::new();
        worker.listing.borrow_mut().ended = vec![ended(1, 0)];
        let heard = ends(&fixture.poll(1).await);
        worker.is_gone.set(true);
        fixture.leave().await;
        sleep(LATENESS * 2).await;
        let answer = fixture.poll(2).await;

        assert_eq!(heard, [1]);
        assert_eq!(ends(&answer), [1], "{answer:?}");
    });
}

/// The same without any loss: the answer to the placer's poll is the late one, and the sidecar itself
/// has heard the end meanwhile.
#[test]
fn late_answer_to_the_placer_hides_no_end_that_the_sidecar_has_heard() {
    Runtime::new().expect("a runtime").block_on(async {
        let fixture = Fixture::start().await;
        let worker = fixture.worker.clone();
        worker.listing.borrow_mut().running = vec![running(0)];
        fixture.heartbeat(true).await;
        fixture.poll(1).await;
        worker.holds_next.set(true);
        while !worker.is_holding.get() {
            sleep(Duration::from_millis(1)).await;
        }
        worker.delays_next.set(true);
        let leaving = async {
            sleep(LATENESS / 2).await;
            worker.listing.borrow_mut().running = Vec::new();
            worker.listing.borrow_mut().ended = vec![ended(1, 0)];
            worker.is_holding.set(false);
            sleep(LATENESS / 4).await;
            worker.is_gone.set(true);
            fixture.leave().await;
        };

        let (late, ()) = futures_util::future::join(fixture.poll(1), leaving).await;
        let answer = fixture.poll(1).await;

        assert!(matches!(late, Answer::Listed(..)), "{late:?}");
        assert_eq!(ends(&late), Vec::<u64>::new());
        assert_eq!(ends(&answer), [1], "{answer:?}");
    });
}

/// A draining worker that did not answer for a moment was answered for with an older listing as if
/// that were complete. The placer gave up a run that the worker had accepted since, and started it
/// again while it was at work.
#[test]
fn listing_in_place_of_a_worker_proves_no_end_of_a_run_that_it_lacks() {
    Runtime::new().expect("a runtime").block_on(async {
        let fixture = Fixture::start().await;
        let worker = fixture.worker.clone();
        worker.listing.borrow_mut().ended = vec![ended(1, 0)];
        fixture.heartbeat(false).await;
        let start = fixture.order(1, start(1));
        let drain = async {
            sleep(START_TIME / 2).await;
            fixture.heartbeat(true).await;
            fixture.poll(1).await
        };
        let (accepted, before) = futures_util::future::join(start, drain).await;

        worker.is_silent.set(true);
        let answer = fixture.poll(1).await;

        assert_eq!((accepted, ends(&before)), (Answer::Accepted, vec![1]));
        let proves_end = match &answer {
            Answer::Listed(_, l) => !l.is_partial && l.running.iter().all(|r| r.task != task(1)),
            _ => false,
        };
        assert!(!proves_end, "{answer:?}");
    });
}

/// The sidecar stopped watching a draining worker when that refused one poll.
#[test]
fn end_on_a_draining_worker_is_kept_after_a_refused_poll() {
    Runtime::new().expect("a runtime").block_on(async {
        let fixture = Fixture::start().await;
        let worker = fixture.worker.clone();
        worker.listing.borrow_mut().running = vec![running(0)];
        fixture.heartbeat(true).await;
        fixture.poll(1).await;
        worker.refuses_next.set(true);
        while worker.refuses_next.get() {
            sleep(Duration::from_millis(1)).await;
        }

        worker.listing.borrow_mut().running = Vec::new();
        worker.listing.borrow_mut().ended = vec![ended(1, 0)];
        sleep(LATENESS).await;
        worker.is_gone.set(true);
        fixture.leave().await;
        let answer = fixture.poll(1).await;

        assert_eq!(ends(&answer), [1], "{answer:?}");
    });
}
