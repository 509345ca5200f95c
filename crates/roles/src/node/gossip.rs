//! The task that owns the gossip socket and the membership state.

use super::Node;
use futures_channel::mpsc;
use futures_channel::oneshot;
use futures_util::StreamExt;
use hibiscusbarrow_adapters::gossip::GossipSocket;
use hibiscusbarrow_coordination::membership::Change;
use hibiscusbarrow_coordination::membership::Member;
use hibiscusbarrow_coordination::membership::Message;
use hibiscusbarrow_coordination::membership::Output;
use hibiscusbarrow_coordination::membership::Role;
use hibiscusbarrow_coordination::membership::State;
use hibiscusbarrow_coordination::membership::Swim;
use hibiscusbarrow_model::event::Event;
use hibiscusbarrow_model::state::MemberView;
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The number of ticks in a probe period.
const TICKS_PER_PERIOD: u64 = 5;

/// An input of the gossip task.
pub(super) enum Command {
    /// A datagram arrived: its sender, its size in bytes, and its message if it is valid.
    Datagram(SocketAddr, usize, Option<Message>),
    /// Joins the cluster through these peers.
    Join(Vec<SocketAddr>),
    /// Announces the configuration generation of this process.
    Generation(u64),
    /// Announces a placer epoch to the region.
    Epoch(u64),
    /// Announces the service of the upstream and its number of slots.
    Service(SmolStr, u16),
    /// Announces that the process accepts no more work.
    Leaving,
    /// Announces that the process has left; the sender is signalled once the announcement
    /// is sent.
    Left(oneshot::Sender<()>),
}

/// A snapshot of the other members, published by the gossip task.
#[derive(Default)]
pub struct MemberTable {
    /// The members, including dead ones until the gossip state drops them.
    pub entries: Vec<Member>,
    /// The role of this process, as operators see it.
    pub role: &'static str,
}

impl MemberTable {
    /// Returns the member of this name, unless it is dead.
    pub fn live(&self, name: &str) -> Option<&Member> {
        let member = self.entries.iter().find(|m| m.latest.name == name)?;
        (member.latest.state != State::Dead).then_some(member)
    }

    /// Lists the sidecars of a service to which requests may be sent.
    ///
    /// Only sidecars that are `allowed` are listed; suspect ones only if none is alive.
    pub fn upstreams(&self, service: &str, allowed: impl Fn(&Member) -> bool) -> Vec<SmolStr> {
        let in_state = |state| {
            let of_service = self.entries.iter().filter(move |m| m.latest.state == state);
            let of_service = of_service.filter(|m| m.latest.info.service == service && allowed(m));
            of_service
                .map(|m| m.latest.name.clone())
                .collect::<Vec<_>>()
        };
        let alive = in_state(State::Alive);
        if alive.is_empty() {
            in_state(State::Suspect)
        } else {
            alive
        }
    }

    /// Returns whether no other member is known to be running.
    pub fn is_alone(&self) -> bool {
        self.entries.iter().all(|m| m.latest.state == State::Dead)
    }

    pub(super) fn views(&self) -> Vec<MemberView> {
        let view = |m: &Member| MemberView {
            name: m.latest.name.clone(),
            role: role_name(m.latest.info.role).into(),
            state: state_name(m.latest.state).into(),
            generation: m.generation,
            service: m.latest.info.service.clone(),
            http: m.latest.info.http,
        };
        self.entries.iter().map(view).collect()
    }
}

fn role_name(role: Role) -> &'static str {
    match role {
        Role::Gateway => "gateway",
        Role::Sidecar => "sidecar",
    }
}

fn state_name(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Leaving => "leaving",
        State::Dead => "dead",
    }
}

/// Starts the task that receives datagrams and the task that owns the membership state.
pub(super) fn spawn(
    node: Rc<Node>,
    socket: GossipSocket,
    swim: Swim,
    commands: mpsc::UnboundedReceiver<Command>,
) {
    let socket = Rc::new(socket);
    compio::runtime::spawn(receive(node.clone(), socket.clone())).detach();
    compio::runtime::spawn(run(node, socket, swim, commands)).detach();
}

/// Passes received datagrams to the gossip task; waits 10 ms after a socket error.
async fn receive(node: Rc<Node>, socket: Rc<GossipSocket>) {
    loop {
        match socket.receive().await {
            Ok((addr, size, message)) => {
                let command = Command::Datagram(addr, size, message);
                if node.gossip.unbounded_send(command).is_err() {
                    return;
                }
            }
            Err(_) => compio::time::sleep(Duration::from_millis(10)).await,
        }
    }
}

async fn run(
    node: Rc<Node>,
    socket: Rc<GossipSocket>,
    mut swim: Swim,
    mut commands: mpsc::UnboundedReceiver<Command>,
) {
    let interval = Duration::from_millis(node.settings.timing.probe_ms / TICKS_PER_PERIOD);
    publish(&node, &swim);
    let mut next_tick = node.clock.now();
    loop {
        let wait = next_tick.saturating_sub(node.clock.now());
        let command = compio::time::timeout(wait, commands.next()).await;
        let (outputs, done) = match command {
            Ok(Some(command)) => execute(&node, &mut swim, command),
            Ok(None) => return,
            Err(_) => {
                next_tick = node.clock.now() + interval;
                (swim.tick(node.clock.now()), None)
            }
        };
        apply_outputs(&node, &socket, &swim, outputs).await;
        if let Some(done) = done {
            let _ = done.send(());
        }
    }
}

/// Executes a command; returns the outputs and the sender to signal once they are sent.
fn execute(
    node: &Node,
    swim: &mut Swim,
    command: Command,
) -> (Vec<Output>, Option<oneshot::Sender<()>>) {
    let now = node.clock.now();
    let outputs = match command {
        Command::Datagram(addr, size, Some(message)) => {
            node.metrics.count_control_bytes("gossip_in", size);
            swim.receive(addr, message, now)
        }
        Command::Datagram(addr, _, None) => {
            node.log
                .emit(Event::PeerRefused, addr.to_string(), "datagram");
            Vec::new()
        }
        Command::Join(seeds) => swim.join(seeds),
        Command::Generation(generation) => {
            swim.set_generation(generation);
            swim.notify_gateways()
        }
        Command::Epoch(epoch) => {
            swim.set_epoch(epoch);
            Vec::new()
        }
        Command::Service(service, slots) => {
            swim.set_service(service, slots);
            swim.notify_gateways()
        }
        Command::Leaving => swim.announce_leaving(),
        Command::Left(done) => return (swim.announce_left(), Some(done)),
    };
    (outputs, None)
}

async fn apply_outputs(node: &Rc<Node>, socket: &GossipSocket, swim: &Swim, outputs: Vec<Output>) {
    let mut changed = false;
    for output in outputs {
        match output {
            Output::Send(addr, message) => {
                if let Ok(size) = socket.send(addr, message).await {
                    node.metrics.count_control_bytes("gossip_out", size);
                }
            }
            Output::Change(Change::Member(name, state)) => {
                changed = true;
                log_member(node, swim, name, state);
            }
            Output::Change(Change::Generation(addr, generation)) => {
                node.clone().handle_generation(addr, generation);
            }
            Output::Change(Change::Epoch(epoch)) => {
                node.epoch.set(node.epoch.get().max(epoch));
            }
        }
    }
    if changed {
        publish(node, swim);
    }
}

fn log_member(node: &Node, swim: &Swim, name: SmolStr, state: State) {
    let event = match state {
        State::Alive => Event::MemberJoined,
        State::Suspect => Event::MemberSuspected,
        State::Leaving => Event::MemberLeft,
        State::Dead => Event::MemberDied,
    };
    if let Some(member) = swim.member(&name).filter(|_| state == State::Dead) {
        node.rpc.disconnect(member.latest.info.addr);
    }
    node.log.emit(event, name, "");
}

fn publish(node: &Rc<Node>, swim: &Swim) {
    let table = MemberTable {
        entries: swim.members().cloned().collect(),
        role: role_name(swim.local().info.role),
    };
    node.metrics
        .set_gauge("members", table.entries.len() as u64);
    *node.members.borrow_mut() = Rc::new(table);
    if swim.local().info.role == Role::Gateway {
        node.locate_sidecars();
    }
}
