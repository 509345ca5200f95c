//! A budget of memory and connections that the clients of a process share.
//!
//! It accounts for what connections hold, not for what they announce. A connection charges what
//! it will hold before it allocates it, and lowers its charge after it has released it. Each
//! class of clients has a pool of its own, so that no class can use up what another one needs.
//! If a charge does not fit, the budget names stalled connections to close; their share stays
//! counted until they have been closed.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::IpAddr;
use std::net::Ipv6Addr;
use std::time::Duration;

/// How long the client of a connection that is being closed may take to receive its answer.
pub const CLOSING_GRACE: Duration = Duration::from_millis(100);
/// The number of bits of an IPv6 address that identify a source, as a client may have all
/// addresses of such a network.
const V6_SOURCE_BITS: u32 = 64;

/// A class of clients with a pool of its own.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Class {
    /// Callers of a gateway, or the clients of a sidecar's HTTP address.
    Clients,
    /// Clients beyond the limit of their class, which get a refusal or an answer that does not
    /// need the class's resources.
    Overflow,
    /// Readiness checks and readers of metrics.
    Checks,
    /// Other processes of the system.
    Peers,
}

impl Class {
    /// All classes.
    pub const ALL: [Self; 4] = [Self::Clients, Self::Overflow, Self::Checks, Self::Peers];

    /// Returns the name of the class for logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Clients => "clients",
            Self::Overflow => "overflow",
            Self::Checks => "checks",
            Self::Peers => "peers",
        }
    }
}

/// What the connections of one class may hold together.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Pool {
    /// The largest number of bytes.
    pub bytes: u64,
    /// The part of the bytes that connections with a large request cannot use.
    pub small_reserve: u64,
    /// The largest number of connections.
    pub connections: usize,
}

/// The identifier of an open connection; identifiers are not reused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ConnectionId(pub u64);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// It has completed a request and has no other; it may be closed to make room.
    Idle,
    /// The head of a request is being received.
    Head,
    /// The body of a request is being received.
    Body,
    /// The request is being handled; the connection is never chosen to be closed.
    Handling,
    /// A peer may send a call at any time, and one that is cut off has an unknown outcome; the
    /// connection is never chosen to be closed.
    Persistent,
    /// The answer is being sent.
    Reply,
    /// The answer was sent and the connection is being closed. It makes way after
    /// [`CLOSING_GRACE`], whatever the client sends, so that the answer can arrive.
    Closing,
}

impl Phase {
    /// Returns whether a connection may be closed in this phase to make room.
    pub const fn can_make_way(self) -> bool {
        !matches!(self, Self::Handling | Self::Persistent)
    }
}

/// Whether a request counts as large; large ones cannot use the reserve for small ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Size {
    /// A request with a small body.
    Small,
    /// A request with a large body.
    Large,
}

/// The decision about a connection or a charge.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict<T> {
    /// It fits and is counted from now on.
    Granted(T),
    /// It fits once connections that are being closed have released their share: those listed,
    /// which the embedder has to close now, and those of earlier verdicts.
    Wait(Vec<ConnectionId>),
    /// It does not fit, and closing stalled connections would not make room.
    Refused,
}

/// Which limit was lacking when connections were chosen to be closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Lack {
    Connection,
    Bytes,
}

/// By how many bytes a charge exceeds a pool, and its part for large requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Excess {
    total: u64,
    large: u64,
}

#[derive(Clone, Debug)]
struct Connection {
    class: Class,
    source: IpAddr,
    held: u64,
    size: Size,
    phase: Phase,
    /// When the last byte was received or sent, or the phase began.
    progress: Duration,
    /// Whether a request was completed on it.
    has_completed: bool,
    /// Whether the embedder was told to close it.
    is_closing: bool,
}

/// What the connections of one class hold.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// The bytes held by all connections.
    pub bytes: u64,
    /// The bytes held by connections with a large request.
    pub large_bytes: u64,
    /// The number of connections.
    pub connections: usize,
    /// The bytes held by connections that are being closed.
    pub closing_bytes: u64,
    /// The part of these bytes that is held by connections with a large request.
    pub closing_large: u64,
    /// The number of connections that are being closed.
    pub closing: usize,
}

/// Accounts for the bytes and connections that the clients of a process hold.
#[derive(Clone, Debug)]
pub struct ClientBudget {
    pools: BTreeMap<Class, Pool>,
    usage: BTreeMap<Class, Usage>,
    connections: BTreeMap<ConnectionId, Connection>,
    sources: HashMap<(Class, IpAddr), u64>,
    stall_grace: Duration,
    next_id: u64,
}

impl ClientBudget {
    /// Creates a budget; a class without a pool gets nothing.
    ///
    /// A connection counts as stalled after `stall_grace` without a byte.
    pub fn new(pools: BTreeMap<Class, Pool>, stall_grace: Duration) -> Self {
        let usage = Class::ALL.iter().map(|class| (*class, Usage::default()));
        Self {
            pools,
            usage: usage.collect(),
            connections: BTreeMap::new(),
            sources: HashMap::new(),
            stall_grace,
            next_id: 0,
        }
    }

    /// Returns the limits of a class.
    pub fn pool(&self, class: Class) -> Pool {
        self.pools.get(&class).copied().unwrap_or_default()
    }

    /// Returns what the connections of a class hold.
    pub fn usage(&self, class: Class) -> Usage {
        self.usage[&class]
    }

    /// Opens a connection that holds `cost` bytes from the start.
    pub fn open(
        &mut self,
        now: Duration,
        class: Class,
        source: IpAddr,
        cost: u64,
    ) -> Verdict<ConnectionId> {
        let (pool, usage) = (self.pool(class), self.usage(class));
        if usage.connections >= pool.connections {
            if usage.connections - usage.closing < pool.connections {
                return Verdict::Wait(Vec::new());
            }
            let excess = usage.connections - usage.closing - pool.connections + 1;
            let candidates = self.candidates(now, class, None, Lack::Connection);
            if candidates.len() < excess {
                return Verdict::Refused;
            }
            return Verdict::Wait(self.begin_closing(candidates.into_iter().take(excess)));
        }
        if let Some(verdict) = self.make_room(now, class, None, cost, Size::Small) {
            return verdict;
        }
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let source = source_of(source);
        let connection = Connection {
            class,
            source,
            held: 0,
            size: Size::Small,
            phase: Phase::Head,
            progress: now,
            has_completed: false,
            is_closing: false,
        };
        self.connections.insert(id, connection);
        self.usage_mut(class).connections += 1;
        self.set_held(id, cost, Size::Small);
        Verdict::Granted(id)
    }

    /// Sets the number of bytes that a connection holds, before it allocates or after it has
    /// released them.
    ///
    /// Holding less is always granted. Without a grant, the connection's share is unchanged.
    /// A connection that is unknown or being closed gets nothing more.
    pub fn hold(&mut self, now: Duration, id: ConnectionId, bytes: u64, size: Size) -> Verdict<()> {
        let Some(connection) = self.connections.get(&id) else {
            return Verdict::Refused;
        };
        let (class, held, old_size) = (connection.class, connection.held, connection.size);
        let grows = bytes > held || (old_size, size) == (Size::Small, Size::Large);
        if grows {
            if connection.is_closing {
                return Verdict::Refused;
            }
            if let Some(verdict) = self.make_room(now, class, Some(id), bytes, size) {
                return verdict;
            }
        }
        self.set_held(id, bytes, size);
        Verdict::Granted(())
    }

    /// Records that a connection has received or sent a byte.
    pub fn record_progress(&mut self, now: Duration, id: ConnectionId) {
        let connection = self.connections.get_mut(&id);
        if let Some(connection) = connection.filter(|c| c.phase != Phase::Closing) {
            connection.progress = connection.progress.max(now);
        }
    }

    /// Records what a connection does from now on.
    pub fn enter(&mut self, now: Duration, id: ConnectionId, phase: Phase) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.phase = phase;
            connection.has_completed |= phase == Phase::Idle;
            connection.progress = connection.progress.max(now);
        }
    }

    /// Removes a connection that has been closed, and returns its share.
    pub fn close(&mut self, id: ConnectionId) {
        let size = Size::Small;
        self.set_held(id, 0, size);
        if let Some(connection) = self.connections.remove(&id) {
            let usage = self.usage_mut(connection.class);
            usage.connections -= 1;
            usage.closing -= usize::from(connection.is_closing);
        }
    }

    /// Returns when the next connection of a class will count as stalled, if it stays quiet.
    pub fn next_stall(&self, now: Duration, class: Class) -> Option<Duration> {
        self.next_stall_of(now, class, |c| c.phase.can_make_way())
    }

    /// Returns when the next connection of a class that is being closed will make way.
    pub fn next_closing(&self, now: Duration, class: Class) -> Option<Duration> {
        self.next_stall_of(now, class, |c| c.phase == Phase::Closing)
    }

    fn next_stall_of(
        &self,
        now: Duration,
        class: Class,
        is_meant: impl Fn(&Connection) -> bool,
    ) -> Option<Duration> {
        let open = self.connections.values();
        let meant = open.filter(|c| c.class == class && !c.is_closing && is_meant(c));
        let stalls = meant.map(|c| self.stall_time(c));
        stalls.filter(|stall| *stall > now).min()
    }

    /// Returns when a connection counts as stalled, if it stays quiet.
    fn stall_time(&self, connection: &Connection) -> Duration {
        let grace = match connection.phase {
            Phase::Closing => CLOSING_GRACE.min(self.stall_grace),
            _ => self.stall_grace,
        };
        connection.progress + grace
    }

    /// Chooses the connection of a class to close when the system lacks a descriptor.
    pub fn close_quietest(&mut self, now: Duration, class: Class) -> Option<ConnectionId> {
        let candidates = self.candidates(now, class, None, Lack::Connection);
        self.begin_closing(candidates.into_iter().take(1)).pop()
    }

    /// Returns how long a client that was refused should wait, in whole seconds.
    ///
    /// By then the connections that are idle now count as stalled and make way.
    pub fn retry_after(&self) -> Duration {
        Duration::from_secs(self.stall_grace.as_secs_f64().ceil().max(1.0) as u64)
    }

    /// Returns the phase, the bytes held and the time without progress of a connection.
    pub fn describe(&self, now: Duration, id: ConnectionId) -> Option<(Phase, u64, Duration)> {
        let connection = self.connections.get(&id)?;
        let quiet = now.saturating_sub(connection.progress);
        Some((connection.phase, connection.held, quiet))
    }

    /// Returns a verdict other than a grant if a connection of the class cannot hold `bytes`.
    fn make_room<T>(
        &mut self,
        now: Duration,
        class: Class,
        id: Option<ConnectionId>,
        bytes: u64,
        size: Size,
    ) -> Option<Verdict<T>> {
        let excess = self.excess(class, id, bytes, size);
        if excess == Excess::default() {
            return None;
        }
        let usage = self.usage(class);
        let mut total = excess.total.saturating_sub(usage.closing_bytes);
        let mut large = excess.large.saturating_sub(usage.closing_large);
        let mut chosen = Vec::new();
        for candidate in self.candidates(now, class, id, Lack::Bytes) {
            let connection = &self.connections[&candidate];
            let is_large = connection.size == Size::Large;
            if total > 0 || (large > 0 && is_large) {
                total = total.saturating_sub(connection.held);
                large = large.saturating_sub(if is_large { connection.held } else { 0 });
                chosen.push(candidate);
            }
        }
        if total > 0 || large > 0 {
            return Some(Verdict::Refused);
        }
        Some(Verdict::Wait(self.begin_closing(chosen)))
    }

    /// Returns by how many bytes a connection that holds `bytes` exceeds the pool.
    ///
    /// A large request that is the only one may use the reserve, as nothing else would ever
    /// make room for it.
    fn excess(&self, class: Class, id: Option<ConnectionId>, bytes: u64, size: Size) -> Excess {
        let (pool, usage) = (self.pool(class), self.usage(class));
        let own = id.and_then(|id| self.connections.get(&id));
        let held = own.map_or(0, |c| c.held);
        let total = (usage.bytes - held + bytes).saturating_sub(pool.bytes);
        let own_large = own.filter(|c| c.size == Size::Large).map_or(0, |c| c.held);
        let others = usage.large_bytes - own_large;
        if size == Size::Small || others == 0 {
            return Excess { total, large: 0 };
        }
        let large_limit = pool.bytes.saturating_sub(pool.small_reserve);
        let large = (others + bytes).saturating_sub(large_limit);
        Excess { total, large }
    }

    /// Returns the connections that may be closed, those to close first at the front.
    ///
    /// Those that are closing anyway come first. If a connection is lacking, those that never
    /// completed a request come next, then idle ones, which belong to ordinary clients. If bytes
    /// are lacking, stalled requests come next, as idle connections hold almost nothing. Then
    /// those of the source that holds most come first, and of one source those that have stalled
    /// longest.
    fn candidates(
        &self,
        now: Duration,
        class: Class,
        except: Option<ConnectionId>,
        lack: Lack,
    ) -> Vec<ConnectionId> {
        let mut found: Vec<_> = self
            .connections
            .iter()
            .filter(|(id, c)| {
                Some(**id) != except
                    && c.class == class
                    && !c.is_closing
                    && c.phase.can_make_way()
                    && now >= self.stall_time(c)
            })
            .map(|(id, c)| {
                let rank = match (c.phase, lack) {
                    (Phase::Closing, _) => 0,
                    (_, Lack::Connection) if !c.has_completed => 1,
                    (Phase::Idle, Lack::Connection) => 2,
                    (_, Lack::Connection) => 3,
                    (Phase::Idle, Lack::Bytes) => 3,
                    (_, Lack::Bytes) => 2,
                };
                let by_source = self.sources.get(&(class, c.source)).copied();
                let by_source = std::cmp::Reverse(by_source.unwrap_or(0));
                (rank, by_source, c.progress, *id)
            })
            .collect();
        found.sort_unstable();
        found.into_iter().map(|(.., id)| id).collect()
    }

    fn begin_closing(&mut self, ids: impl IntoIterator<Item = ConnectionId>) -> Vec<ConnectionId> {
        let ids: Vec<_> = ids.into_iter().collect();
        for id in &ids {
            let Some(connection) = self.connections.get_mut(id) else {
                continue;
            };
            connection.is_closing = true;
            let (class, held) = (connection.class, connection.held);
            let is_large = connection.size == Size::Large;
            let usage = self.usage_mut(class);
            usage.closing += 1;
            usage.closing_bytes += held;
            usage.closing_large += if is_large { held } else { 0 };
        }
        ids
    }

    fn set_held(&mut self, id: ConnectionId, bytes: u64, size: Size) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let former = connection.clone();
        (connection.held, connection.size) = (bytes, size);
        let usage = self.usage_mut(former.class);
        usage.bytes = usage.bytes - former.held + bytes;
        let large_of = |size, held| if size == Size::Large { held } else { 0 };
        let (old_large, new_large) = (large_of(former.size, former.held), large_of(size, bytes));
        usage.large_bytes = usage.large_bytes - old_large + new_large;
        if former.is_closing {
            usage.closing_bytes = usage.closing_bytes - former.held + bytes;
            usage.closing_large = usage.closing_large - old_large + new_large;
        }
        let key = (former.class, former.source);
        let source = self.sources.entry(key).or_default();
        *source = *source - former.held + bytes;
        if *source == 0 {
            self.sources.remove(&key);
        }
    }

    fn usage_mut(&mut self, class: Class) -> &mut Usage {
        self.usage.entry(class).or_default()
    }
}

/// Returns the address under which the connections of one client are counted together.
fn source_of(addr: IpAddr) -> IpAddr {
    match addr.to_canonical() {
        IpAddr::V4(addr) => IpAddr::V4(addr),
        IpAddr::V6(addr) => {
            let network = addr.to_bits() >> (128 - V6_SOURCE_BITS) << (128 - V6_SOURCE_BITS);
            IpAddr::V6(Ipv6Addr::from_bits(network))
        }
    }
}
