//! Messages of the membership protocol.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use std::net::SocketAddr;

/// The role of a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Role {
    /// Serves requests of callers and operators.
    Gateway,
    /// Runs beside an upstream.
    Sidecar,
}

/// The state of a member; at equal incarnations, a later variant overrides an earlier one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum State {
    /// Answers probes.
    Alive,
    /// Did not answer a probe, and is declared dead unless it refutes this in time.
    Suspect,
    /// Finishes its work and accepts no more.
    Leaving,
    /// Has stopped or was declared dead.
    Dead,
}

/// What a member announces about itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Info {
    /// The role of the process.
    pub role: Role,
    /// The region that the process runs in.
    pub region: SmolStr,
    /// The address at which peers reach the process over TCP and UDP.
    pub addr: SocketAddr,
    /// The address at which the process serves HTTP.
    pub http: SocketAddr,
    /// Identifies one start of the process, to distinguish restarts under the same name.
    pub life: u64,
    /// The service of its upstream; empty if it has none.
    pub service: SmolStr,
    /// The number of requests that its upstream runs concurrently.
    pub slots: u16,
}

/// The state of a member at one of its incarnations.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberUpdate {
    /// The member's name.
    pub name: SmolStr,
    /// A number that only the member itself raises, to override what others report.
    pub incarnation: u64,
    /// The state of the member.
    pub state: State,
    /// What the member announces about itself.
    pub info: Info,
}

/// The header of each message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// The sender's name.
    pub from: SmolStr,
    /// The sender's configuration generation.
    pub generation: u64,
    /// The highest placer epoch that the sender has seen.
    pub epoch: u64,
    /// A checksum of the sender's view of all members that are not dead.
    pub digest: u32,
}

/// The purpose of a message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Payload {
    /// Asks the receiver for an [`Ack`](Self::Ack).
    Ping {
        /// The sequence number for the answer.
        seq: u64,
    },
    /// Answers a ping or a probe of another member.
    Ack {
        /// The sequence number of the ping or probe.
        seq: u64,
    },
    /// Asks the receiver to probe a third member.
    Probe {
        /// The sequence number for the answer.
        seq: u64,
        /// The member to probe.
        target: SocketAddr,
    },
    /// Announces the sender and asks for a list of all members.
    Join,
    /// Carries updates only.
    Tell,
    /// Answers a join with known members, which the receiver does not forward.
    Members,
}

/// A message, sent as one datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// The sender's name, and the generation, epoch and digest that it has.
    pub header: Header,
    /// The purpose of the message.
    pub payload: Payload,
    /// Updates about members; the first is about the sender.
    pub updates: Vec<MemberUpdate>,
}
