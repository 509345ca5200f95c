//! The state shared by the tasks of a process: membership, configuration, store, logs and metrics.

mod config;
mod evacuations;
mod gossip;

pub use config::LoadedConfig;
pub use gossip::MemberTable;

use futures_channel::mpsc;
use gossip::Command;
use hibiscusbarrow_adapters::clients::ClientLimiter;
use hibiscusbarrow_adapters::clients::MachineLimits;
use hibiscusbarrow_adapters::clients::Shares;
use hibiscusbarrow_adapters::clients::default_descriptors;
use hibiscusbarrow_adapters::clients::default_memory;
use hibiscusbarrow_adapters::gossip::DatagramCodec;
use hibiscusbarrow_adapters::gossip::GossipSocket;
use hibiscusbarrow_adapters::http::HttpClient;
use hibiscusbarrow_adapters::http::Limits;
use hibiscusbarrow_adapters::log::EventLog;
use hibiscusbarrow_adapters::metrics::Metrics;
use hibiscusbarrow_adapters::rpc::RpcClient;
use hibiscusbarrow_adapters::signal::Flag;
use hibiscusbarrow_adapters::store::Store;
use hibiscusbarrow_coordination::clock::Clock;
use hibiscusbarrow_coordination::evacuation::EvacuationSet;
use hibiscusbarrow_coordination::generation::Generation;
use hibiscusbarrow_coordination::membership::Info;
use hibiscusbarrow_coordination::membership::Role;
use hibiscusbarrow_coordination::membership::State;
use hibiscusbarrow_coordination::membership::Swim;
use hibiscusbarrow_coordination::membership::SwimTiming;
use hibiscusbarrow_model::event::Event;
use hibiscusbarrow_model::settings::BODY_MEMORY_DIVISOR;
use hibiscusbarrow_model::settings::Settings;
use hibiscusbarrow_model::state::MemberView;
use hibiscusbarrow_model::state::SEED_PREFIX;
use slog::Logger;
use smol_str::SmolStr;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A direct answer to a probe may take the probe period divided by this.
const PROBE_TIMEOUT_DIVISOR: u32 = 2;
/// The time to live of a gateway's entry among the seeds in the store.
const SEED_TTL: Duration = Duration::from_secs(60);

/// The state that the tasks of one process share.
pub struct Node {
    /// The settings with which the process was started.
    pub settings: Settings,
    /// The clock that all tasks use.
    pub clock: Clock,
    /// The log of events under the name of the process.
    pub log: EventLog,
    /// The counters and gauges that `/metrics` serves.
    pub metrics: Rc<Metrics>,
    /// The memory and descriptors of the machine.
    pub machine: MachineLimits,
    /// The limits that all clients of the process share.
    pub limiter: ClientLimiter,
    /// The client of the key-value store.
    pub store: Store,
    /// The client for HTTP calls to other processes and the store.
    pub http: Rc<HttpClient>,
    /// The client for RPC calls to peers.
    pub rpc: RpcClient,
    /// Distinguishes this process from earlier and later ones of the same name.
    ///
    /// It is the Unix time of the start in milliseconds.
    pub incarnation: u64,
    /// Raised when a planned stop begins.
    pub stop: Flag,
    config: RefCell<Generation<Rc<LoadedConfig>>>,
    /// Whether a configuration is being fetched from a peer.
    fetching: Cell<bool>,
    members: RefCell<Rc<MemberTable>>,
    evacuations: RefCell<EvacuationSet>,
    /// The failure domain of each sidecar, by its name and life.
    locations: RefCell<HashMap<(SmolStr, u64), SmolStr>>,
    /// The sidecars that are being asked for their failure domain.
    locating: RefCell<HashSet<(SmolStr, u64)>>,
    /// The highest placer epoch known in the region.
    epoch: Cell<u64>,
    gossip: mpsc::UnboundedSender<Command>,
    /// The next value of [`Node::next_number`].
    sequence: Cell<u64>,
}

impl Node {
    /// Creates the shared state and starts the tasks for gossip and for joining the cluster.
    ///
    /// # Errors
    ///
    /// Fails if the metrics cannot be created or the gossip address cannot be bound.
    pub async fn start(
        settings: Settings,
        role: Role,
        logger: Logger,
        stop: Flag,
    ) -> anyhow::Result<Rc<Self>> {
        let clock = Clock::system();
        let incarnation = clock.wall_ms();
        let metrics = Rc::new(Metrics::new()?);
        let http = Rc::new(HttpClient::default());
        let socket =
            GossipSocket::bind(settings.peer, DatagramCodec::new(&settings.secret)).await?;
        let info = Info {
            role,
            region: settings.region.clone(),
            addr: settings.peer,
            http: settings.http,
            life: incarnation,
            service: SmolStr::default(),
            slots: 0,
        };
        let period = Duration::from_millis(settings.timing.probe_ms);
        let timing = SwimTiming {
            period,
            timeout: period / PROBE_TIMEOUT_DIVISOR,
        };
        let swim = Swim::new(settings.name.clone(), info, timing, incarnation);
        let (sender, receiver) = mpsc::unbounded();
        let log = EventLog::new(settings.name.clone(), clock.clone(), logger);
        let machine = machine_limits(&settings);
        let shares = match role {
            Role::Gateway => Shares::GATEWAY,
            _ => Shares::UPSTREAM_SIDECAR,
        };
        let pools = machine.pools(shares);
        let limiter = ClientLimiter::new(pools, clock.clone(), log.clone(), metrics.clone());
        let node = Rc::new(Self {
            log,
            machine,
            limiter,
            store: Store::new(http.clone(), settings.store, metrics.clone()),
            clock,
            metrics,
            http,
            rpc: RpcClient::default(),
            incarnation,
            stop,
            config: RefCell::new(Generation::default()),
            fetching: Cell::new(false),
            members: RefCell::new(Rc::new(MemberTable::default())),
            evacuations: RefCell::new(EvacuationSet::default()),
            locations: RefCell::new(HashMap::new()),
            locating: RefCell::new(HashSet::new()),
            epoch: Cell::new(0),
            gossip: sender,
            sequence: Cell::new(0),
            settings,
        });
        gossip::spawn(node.clone(), socket, swim, receiver);
        compio::runtime::spawn(node.clone().follow_evacuations(role)).detach();
        compio::runtime::spawn(node.clone().find_peers(role)).detach();
        Ok(node)
    }

    /// Returns a number that is unique within this process.
    pub fn next_number(&self) -> u64 {
        self.sequence.replace(self.sequence.get() + 1)
    }

    /// Returns an identifier that is unique across all processes and their incarnations.
    pub fn next_id(&self) -> SmolStr {
        smol_str::format_smolstr!(
            "{}-{:x}-{}",
            self.settings.name,
            self.incarnation,
            self.next_number()
        )
    }

    /// Returns the members as last published by the gossip task.
    pub fn members(&self) -> Rc<MemberTable> {
        self.members.borrow().clone()
    }

    /// Returns the highest placer epoch known in the region; 0 before the first.
    pub fn highest_epoch(&self) -> u64 {
        self.epoch.get()
    }

    /// Announces a placer epoch to the members of the region.
    pub fn announce_epoch(&self, epoch: u64) {
        self.epoch.set(self.epoch.get().max(epoch));
        let _ = self.gossip.unbounded_send(Command::Epoch(epoch));
    }

    /// Announces the service of the upstream and the number of requests that it runs
    /// concurrently.
    ///
    /// An empty service announces that there is no upstream.
    pub fn announce_service(&self, service: SmolStr, slots: u16) {
        let _ = self.gossip.unbounded_send(Command::Service(service, slots));
    }

    /// Announces that the process accepts no more work.
    pub fn announce_leaving(&self) {
        let _ = self.gossip.unbounded_send(Command::Leaving);
    }

    /// Announces that the process has left, and waits until the messages are sent.
    pub async fn announce_left(&self) {
        let (sender, receiver) = futures_channel::oneshot::channel();
        let _ = self.gossip.unbounded_send(Command::Left(sender));
        let _ = receiver.await;
    }

    /// Returns all members, including this process, sorted by name for operators.
    pub fn member_views(&self) -> Vec<MemberView> {
        let mut views: Vec<MemberView> = self.members().views();
        views.push(MemberView {
            name: self.settings.name.clone(),
            role: self.members().role.into(),
            state: if self.stop.is_raised() {
                "leaving"
            } else {
                "alive"
            }
            .into(),
            generation: self.generation(),
            service: SmolStr::default(),
            http: self.settings.http,
        });
        views.sort_by(|a, b| a.name.cmp(&b.name));
        views
    }

    /// Returns the number of alive gateways in the region with a lower name than this one.
    pub fn gateway_rank(&self) -> usize {
        let members = self.members();
        let peers = members.entries.iter().filter(|m| {
            m.latest.info.role == Role::Gateway
                && m.latest.state == State::Alive
                && m.latest.info.region == self.settings.region
        });
        peers.filter(|m| m.latest.name < self.settings.name).count()
    }

    /// Joins the seeds from the settings and the store while no other member is known.
    ///
    /// A gateway also keeps its own address among the seeds in the store.
    async fn find_peers(self: Rc<Self>, role: Role) {
        let mut lease = 0;
        while !self.stop.is_raised() {
            if role == Role::Gateway {
                self.register_seed(&mut lease).await;
            }
            if self.members().is_alone() {
                let mut seeds = self.settings.seeds.clone();
                seeds.extend(self.stored_seeds().await);
                let _ = self.gossip.unbounded_send(Command::Join(seeds));
            }
            let alone = self.members().is_alone();
            let interval = if alone {
                Duration::from_millis(500)
            } else {
                SEED_TTL / 4
            };
            compio::time::sleep(interval).await;
        }
    }

    /// Returns the seeds in the store; none if the store does not answer.
    async fn stored_seeds(&self) -> Vec<SocketAddr> {
        match self.store.list(SEED_PREFIX).await {
            Ok(entries) => entries.iter().filter_map(|e| e.json()).collect(),
            Err(_) => Vec::new(),
        }
    }

    /// Renews the lease of this gateway's seed entry, or writes the entry under a new lease.
    ///
    /// `lease` is 0 until an entry was written.
    async fn register_seed(&self, lease: &mut i64) {
        use hibiscusbarrow_adapters::store::RequestOp;
        use hibiscusbarrow_adapters::store::TxnRequest;
        if *lease != 0 && self.store.keep_alive(*lease).await == Ok(true) {
            return;
        }
        let Ok(id) = self.store.grant(SEED_TTL).await else {
            return;
        };
        let key = format!("{SEED_PREFIX}{}", self.settings.name);
        let request = TxnRequest {
            success: vec![RequestOp::put(&key, &self.settings.peer, id)],
            ..TxnRequest::default()
        };
        if self.store.txn(&request).await.is_ok() {
            *lease = id;
        }
    }

    /// Returns the limits of the HTTP address, for bodies of at most `max_body` bytes unless the
    /// settings state another size.
    pub fn http_limits(&self, max_body: u64) -> Limits {
        let settings = &self.settings.limits;
        let affordable = self.machine.memory / BODY_MEMORY_DIVISOR;
        let max_body = settings.max_body_bytes.unwrap_or(max_body).min(affordable);
        Limits {
            max_body_bytes: max_body as usize,
            head_timeout: Duration::from_millis(settings.head_timeout_ms),
            body_timeout: Duration::from_millis(settings.body_timeout_ms),
            stall_timeout: Duration::from_millis(settings.stall_timeout_ms),
            ..Limits::default()
        }
    }

    /// Logs that the process has started, with its addresses and limits.
    pub fn log_start(&self) {
        let detail = format!("http {} peer {}", self.settings.http, self.settings.peer);
        self.log
            .emit(Event::Started, self.settings.name.clone(), detail);
        self.limiter.log_limits();
    }
}

/// Returns the memory and descriptors that the settings state, or those of the system.
fn machine_limits(settings: &Settings) -> MachineLimits {
    let limits = &settings.limits;
    let memory = limits.memory_mb.map(|mb| mb * 1_000_000);
    let descriptors = limits.max_descriptors.map(|count| count as usize);
    MachineLimits {
        memory: memory.unwrap_or_else(default_memory),
        descriptors: descriptors.unwrap_or_else(default_descriptors),
    }
}
