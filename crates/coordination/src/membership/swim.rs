//! The membership state machine of one process.

use super::message::Header;
use super::message::Info;
use super::message::MemberUpdate;
use super::message::Message;
use super::message::Payload;
use super::message::Role;
use super::message::State;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The number of members asked to probe a target that did not answer a direct probe.
const INDIRECT_PROBES: usize = 3;
/// The number of updates that fit into one datagram of 1,200 bytes.
const MAX_UPDATES: usize = 8;
/// How many times an update is sent, as a multiple of the logarithm of the number of members.
const RETRANSMIT_FACTOR: u32 = 3;
/// The number of periods for which a dead member is retained.
const TOMBSTONE_PERIODS: u32 = 120;
/// The periods after its start in which a process asks again for a list of all members.
const FULL_SYNC_PERIODS: [u32; 3] = [2, 6, 14];
/// The highest local health score, at which timeouts are eight times as long.
const MAX_HEALTH_SCORE: u32 = 7;
/// How many periods a suspect has to refute, as a multiple of the logarithm of the number of
/// members.
const SUSPICION_FACTOR: u32 = 3;

/// The durations of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct SwimTiming {
    /// The interval between probes.
    pub period: Duration,
    /// The timeout of a direct probe, after which others are asked to probe the target.
    pub timeout: Duration,
}

/// What a process knows about another one.
#[derive(Clone, Debug)]
pub struct Member {
    /// The newest update about the member.
    pub latest: MemberUpdate,
    /// The highest configuration generation that the member reported.
    pub generation: u64,
    /// When the newest update was applied.
    changed_at: Duration,
}

/// A change that the owner of a [`Swim`] may act on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A member is new, or has a new state or new [`Info`].
    Member(SmolStr, State),
    /// The peer at this address has a newer configuration generation.
    Generation(SocketAddr, u64),
    /// A peer in the same region has seen a higher placer epoch.
    Epoch(u64),
}

/// An action that the owner of a [`Swim`] must carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// Sends a message to this address.
    Send(SocketAddr, Message),
    /// Handles a change.
    Change(Change),
}

#[derive(Clone, Debug)]
struct Probe {
    target: SmolStr,
    seq: u64,
    started_at: Duration,
    indirect: bool,
}

/// The membership state of one process.
#[derive(Clone, Debug)]
pub struct Swim {
    local: MemberUpdate,
    generation: u64,
    epoch: u64,
    timing: SwimTiming,
    members: BTreeMap<SmolStr, Member>,
    /// The members whose updates are to be sent, with the number of transmissions left.
    gossip_queue: HashMap<SmolStr, u32>,
    /// The members still to be probed in this round, last one first.
    probe_order: Vec<SmolStr>,
    probe: Option<Probe>,
    /// Pings sent on behalf of others: sequence number of the ping, then the requester's address
    /// and sequence number, and the time of the request.
    relays: HashMap<u64, (SocketAddr, u64, Duration)>,
    /// When the next period starts.
    next_probe: Duration,
    seq: u64,
    /// The local health score of Lifeguard; timeouts are multiplied by one more than this.
    health_score: u32,
    /// The number of periods since the start.
    periods: u32,
    rng: SmallRng,
    outputs: Vec<Output>,
}

impl Swim {
    /// Creates the state of a process that knows no other member.
    pub fn new(name: impl Into<SmolStr>, info: Info, timing: SwimTiming, seed: u64) -> Self {
        let local = MemberUpdate {
            name: name.into(),
            incarnation: info.life,
            state: State::Alive,
            info,
        };
        Self {
            local,
            generation: 0,
            epoch: 0,
            timing,
            members: BTreeMap::new(),
            gossip_queue: HashMap::new(),
            probe_order: Vec::new(),
            probe: None,
            relays: HashMap::new(),
            next_probe: Duration::ZERO,
            seq: 0,
            health_score: 0,
            periods: 0,
            rng: SmallRng::seed_from_u64(seed),
            outputs: Vec::new(),
        }
    }

    /// Returns the update that the process sends about itself.
    pub fn local(&self) -> &MemberUpdate {
        &self.local
    }

    /// Returns the other members, including dead ones that are still retained.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns a member by name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Raises the configuration generation that the process reports; a lower one is ignored.
    pub fn set_generation(&mut self, generation: u64) {
        self.generation = self.generation.max(generation);
    }

    /// Raises the placer epoch that the process passes on; a lower one is ignored.
    pub fn set_epoch(&mut self, epoch: u64) {
        self.epoch = self.epoch.max(epoch);
    }

    /// Announces a new service or number of slots of the upstream.
    pub fn set_service(&mut self, service: impl Into<SmolStr>, slots: u16) {
        self.local.info.service = service.into();
        self.local.info.slots = slots;
        self.announce();
    }

    /// Announces that the process accepts no more work.
    ///
    /// Gateways are notified directly, all others by gossip.
    pub fn announce_leaving(&mut self) -> Vec<Output> {
        self.local.state = State::Leaving;
        self.announce();
        self.send_to_gateways();
        std::mem::take(&mut self.outputs)
    }

    /// Announces that the process has left.
    ///
    /// Gateways are notified directly, all others by gossip.
    pub fn announce_left(&mut self) -> Vec<Output> {
        self.local.state = State::Dead;
        self.announce();
        self.send_to_gateways();
        std::mem::take(&mut self.outputs)
    }

    /// Sends the update about this process to every gateway that is not dead.
    pub fn notify_gateways(&mut self) -> Vec<Output> {
        self.send_to_gateways();
        std::mem::take(&mut self.outputs)
    }

    fn announce(&mut self) {
        self.local.incarnation += 1;
        self.enqueue(self.local.name.clone());
    }

    fn send_to_gateways(&mut self) {
        let is_gateway = |m: &&Member| m.latest.info.role == Role::Gateway;
        let live = self.members.values().filter(is_gateway);
        let live = live.filter(|m| m.latest.state != State::Dead);
        let addrs: Vec<SocketAddr> = live.map(|m| m.latest.info.addr).collect();
        for addr in addrs {
            self.send(addr, Payload::Tell);
        }
    }

    /// Announces the process at known addresses and asks them for a list of all members.
    pub fn join(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) -> Vec<Output> {
        for seed in seeds {
            if seed != self.local.info.addr {
                self.send(seed, Payload::Join);
            }
        }
        std::mem::take(&mut self.outputs)
    }

    /// Runs the timers that are due at `now`.
    pub fn tick(&mut self, now: Duration) -> Vec<Output> {
        self.check_probe(now);
        self.expire(now);
        if now >= self.next_probe {
            self.next_probe = now + self.timing.period;
            self.end_probe(now);
            self.begin_probe(now);
            self.request_sync();
        }
        std::mem::take(&mut self.outputs)
    }

    /// Asks a random live member for a list of all members, in [`FULL_SYNC_PERIODS`].
    fn request_sync(&mut self) {
        self.periods = self.periods.saturating_add(1);
        if !FULL_SYNC_PERIODS.contains(&self.periods) {
            return;
        }
        let live = self
            .members
            .values()
            .filter(|m| m.latest.state == State::Alive);
        let addrs: Vec<SocketAddr> = live.map(|m| m.latest.info.addr).collect();
        if let Some(addr) = addrs.choose(&mut self.rng) {
            self.send(*addr, Payload::Join);
        }
    }

    /// Handles a message that was received from `addr`.
    pub fn receive(&mut self, addr: SocketAddr, message: Message, now: Duration) -> Vec<Output> {
        let forward = message.payload != Payload::Members;
        for update in message.updates {
            if self.apply_update(&update, now) && forward {
                self.enqueue(update.name);
            }
        }
        self.apply_header(addr, &message.header);
        match message.payload {
            Payload::Ping { seq } => self.handle_ping(addr, seq, message.header.digest),
            Payload::Ack { seq } => self.handle_ack(seq),
            Payload::Probe { seq, target } => {
                self.seq += 1;
                let relay_seq = self.seq;
                self.relays.insert(relay_seq, (addr, seq, now));
                self.send(target, Payload::Ping { seq: relay_seq });
            }
            Payload::Join => self.handle_join(addr),
            Payload::Tell | Payload::Members => {}
        }
        std::mem::take(&mut self.outputs)
    }

    fn apply_header(&mut self, addr: SocketAddr, header: &Header) {
        if let Some(member) = self.members.get_mut(&header.from) {
            member.generation = member.generation.max(header.generation);
        }
        if header.generation > self.generation {
            let change = Change::Generation(addr, header.generation);
            self.outputs.push(Output::Change(change));
        }
        let sender = self.members.get(&header.from);
        let same_region = sender.is_some_and(|m| m.latest.info.region == self.local.info.region);
        if same_region && header.epoch > self.epoch {
            self.epoch = header.epoch;
            self.outputs
                .push(Output::Change(Change::Epoch(header.epoch)));
        }
    }

    /// Answers a ping, with a few random members added if the sender has a different view.
    fn handle_ping(&mut self, addr: SocketAddr, seq: u64, digest: u32) {
        let ack = Payload::Ack { seq };
        if digest == self.digest() {
            self.send(addr, ack);
            return;
        }
        let mut updates = self.select_updates();
        let all: Vec<&Member> = self.members.values().collect();
        let free_slots = MAX_UPDATES.saturating_sub(updates.len());
        let extra: Vec<MemberUpdate> = all
            .choose_multiple(&mut self.rng, free_slots)
            .map(|m| m.latest.clone())
            .collect();
        updates.extend(extra);
        self.send_updates(addr, ack, updates);
    }

    fn handle_ack(&mut self, seq: u64) {
        if let Some((addr, origin_seq, _)) = self.relays.remove(&seq) {
            self.send(addr, Payload::Ack { seq: origin_seq });
        }
        if self.probe.as_ref().is_some_and(|p| p.seq == seq) {
            self.probe = None;
            self.health_score = self.health_score.saturating_sub(1);
        }
    }

    fn handle_join(&mut self, addr: SocketAddr) {
        let all: Vec<MemberUpdate> = self
            .members
            .values()
            .filter(|m| m.latest.state != State::Dead)
            .map(|m| m.latest.clone())
            .collect();
        self.send(addr, Payload::Tell);
        for chunk in all.chunks(MAX_UPDATES - 1) {
            let mut updates = vec![self.local.clone()];
            updates.extend_from_slice(chunk);
            self.send_updates(addr, Payload::Members, updates);
        }
    }

    /// Applies an update; returns whether it was newer than what was known.
    fn apply_update(&mut self, update: &MemberUpdate, now: Duration) -> bool {
        if update.name == self.local.name {
            self.refute(update);
            return false;
        }
        let known = self.members.get(&update.name);
        let is_newer = known.is_none_or(|m| {
            (update.incarnation, update.state) > (m.latest.incarnation, m.latest.state)
        });
        if !is_newer || (known.is_none() && update.state == State::Dead) {
            return false;
        }
        let generation = known
            .filter(|m| m.latest.info.life == update.info.life)
            .map_or(0, |m| m.generation);
        let change = Change::Member(update.name.clone(), update.state);
        if known.is_none_or(|m| m.latest.state != update.state || m.latest.info != update.info) {
            self.outputs.push(Output::Change(change));
        }
        let member = Member {
            latest: update.clone(),
            generation,
            changed_at: now,
        };
        self.members.insert(member.latest.name.clone(), member);
        true
    }

    /// Overrides an incorrect update about this process.
    fn refute(&mut self, update: &MemberUpdate) {
        let differs = update.state != self.local.state || update.info.life != self.local.info.life;
        if update.incarnation < self.local.incarnation || !differs {
            return;
        }
        if update.state > self.local.state {
            self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
        }
        self.local.incarnation = self.local.incarnation.max(update.incarnation);
        self.announce();
    }

    fn enqueue(&mut self, name: SmolStr) {
        let transmits = RETRANSMIT_FACTOR * self.log_size();
        self.gossip_queue.insert(name, transmits);
    }

    /// Returns the rounded-up binary logarithm of the number of members.
    fn log_size(&self) -> u32 {
        (self.members.len() as u32 + 2).ilog2() + 1
    }

    fn begin_probe(&mut self, now: Duration) {
        let Some(target) = self.next_target() else {
            return;
        };
        self.seq += 1;
        let seq = self.seq;
        let addr = self.members[&target].latest.info.addr;
        self.probe = Some(Probe {
            target,
            seq,
            started_at: now,
            indirect: false,
        });
        self.send(addr, Payload::Ping { seq });
    }

    fn next_target(&mut self) -> Option<SmolStr> {
        let is_live = |m: &Member| m.latest.state != State::Dead;
        for _ in 0..2 {
            while let Some(name) = self.probe_order.pop() {
                if self.members.get(&name).is_some_and(is_live) {
                    return Some(name);
                }
            }
            self.probe_order = self.members.keys().cloned().collect();
            self.probe_order.shuffle(&mut self.rng);
        }
        None
    }

    fn check_probe(&mut self, now: Duration) {
        let timeout = self.timing.timeout * (self.health_score + 1);
        let Some(probe) = self.probe.as_mut() else {
            return;
        };
        if probe.indirect || now < probe.started_at + timeout {
            return;
        }
        probe.indirect = true;
        let (seq, name) = (probe.seq, probe.target.clone());
        let Some(target) = self.members.get(&name).map(|m| m.latest.info.addr) else {
            return;
        };
        let is_helper = |m: &&Member| m.latest.state == State::Alive && m.latest.name != name;
        let helpers: Vec<SocketAddr> = self
            .members
            .values()
            .filter(is_helper)
            .map(|m| m.latest.info.addr)
            .collect();
        let chosen: Vec<SocketAddr> = helpers
            .choose_multiple(&mut self.rng, INDIRECT_PROBES)
            .copied()
            .collect();
        for helper in chosen {
            self.send(helper, Payload::Probe { seq, target });
        }
        self.send(target, Payload::Ping { seq });
    }

    fn end_probe(&mut self, now: Duration) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        let timeout = self.timing.timeout * (self.health_score + 1);
        if now < probe.started_at + timeout {
            self.probe = Some(probe);
            return;
        }
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
        let Some(member) = self.members.get(&probe.target) else {
            return;
        };
        if matches!(member.latest.state, State::Alive | State::Leaving) {
            let mut update = member.latest.clone();
            update.state = match update.state {
                State::Leaving => State::Dead,
                _ => State::Suspect,
            };
            self.apply_and_enqueue(update, now);
        }
    }

    /// Applies and sends an update that this process produced itself.
    fn apply_and_enqueue(&mut self, update: MemberUpdate, now: Duration) {
        if self.apply_update(&update, now) {
            self.enqueue(update.name);
        }
    }

    fn expire(&mut self, now: Duration) {
        let suspicion_timeout =
            self.timing.period * SUSPICION_FACTOR * self.log_size() * (self.health_score + 1);
        let suspects = self
            .members
            .values()
            .filter(|m| m.latest.state == State::Suspect);
        let expired = suspects.filter(|m| now >= m.changed_at + suspicion_timeout);
        let dead: Vec<MemberUpdate> = expired
            .map(|m| MemberUpdate {
                state: State::Dead,
                ..m.latest.clone()
            })
            .collect();
        for update in dead {
            self.apply_and_enqueue(update, now);
        }
        let tombstone_time = self.timing.period * TOMBSTONE_PERIODS;
        self.members
            .retain(|_, m| m.latest.state != State::Dead || now < m.changed_at + tombstone_time);
        self.relays
            .retain(|_, (_, _, at)| now < *at + self.timing.period * 4);
    }

    fn digest(&self) -> u32 {
        let live = self
            .members
            .values()
            .filter(|m| m.latest.state != State::Dead);
        let others = live.map(|m| checksum(&m.latest));
        others.fold(checksum(&self.local), |sum, c| sum ^ c)
    }

    fn select_updates(&mut self) -> Vec<MemberUpdate> {
        let mut names: Vec<(u32, SmolStr)> = self
            .gossip_queue
            .iter()
            .map(|(n, transmits)| (*transmits, n.clone()))
            .collect();
        names.sort_unstable_by(|a, b| b.cmp(a));
        names.truncate(MAX_UPDATES - 1);
        let mut updates = vec![self.local.clone()];
        for (_, name) in names {
            if let Some(transmits) = self.gossip_queue.get_mut(&name) {
                *transmits -= 1;
            }
            if let Some(member) = self.members.get(&name) {
                updates.push(member.latest.clone());
            }
        }
        self.gossip_queue.retain(|_, transmits| *transmits > 0);
        updates
    }

    fn send(&mut self, addr: SocketAddr, payload: Payload) {
        let updates = self.select_updates();
        self.send_updates(addr, payload, updates);
    }

    fn send_updates(&mut self, addr: SocketAddr, payload: Payload, updates: Vec<MemberUpdate>) {
        let header = Header {
            from: self.local.name.clone(),
            generation: self.generation,
            epoch: self.epoch,
            digest: self.digest(),
        };
        let message = Message {
            header,
            payload,
            updates,
        };
        self.outputs.push(Output::Send(addr, message));
    }

    /// Returns a random number from the seeded generator of the state machine.
    pub fn random(&mut self) -> u64 {
        self.rng.random()
    }
}

/// Returns a checksum of a member's name, incarnation and state (FNV-1a).
fn checksum(update: &MemberUpdate) -> u32 {
    let state = update.state as u8;
    let bytes = update
        .name
        .bytes()
        .chain(update.incarnation.to_le_bytes())
        .chain([state]);
    bytes.fold(0x811c_9dc5, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    })
}
