//! Messages of the membership protocol.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use std::net::SocketAddr;

/// Enumerates the roles of processes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Role {
    /// Serves callers and operators.
    Gateway,
    /// Stands beside an upstream.
    Sidecar,
}

/// Enumerates the states of a member, from weak to strong at equal incarnation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum State {
    /// Answers probes.
    Alive,
    /// Did not answer; has time to object.
    Suspect,
    /// Finishes its work and takes no more.
    Leaving,
    /// Is gone.
    Dead,
}

/// Describes what a member offers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Info {
    /// The role.
    pub role: Role,
    /// The region.
    pub region: SmolStr,
    /// Where peers reach it over TCP and UDP.
    pub addr: SocketAddr,
    /// Where it serves HTTP.
    pub http: SocketAddr,
    /// Distinguishes the lives of a process of one name.
    pub life: u64,
    /// The service of its upstream; empty without one.
    pub service: SmolStr,
    /// Requests that its upstream runs at once.
    pub slots: u16,
}

/// Tells the state of a member as of an incarnation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberUpdate {
    /// The member's name.
    pub name: SmolStr,
    /// Raised by the member alone, to override what others say.
    pub incarnation: u64,
    /// The state.
    pub state: State,
    /// What the member offers.
    pub info: Info,
}

/// Stands at the head of each message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// The sender's name.
    pub from: SmolStr,
    /// The configuration generation that the sender has.
    pub generation: u64,
    /// The highest placer epoch that the sender has heard of.
    pub epoch: u64,
    /// A checksum of the sender's view of all members.
    pub digest: u32,
}

/// Enumerates the purposes of a message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Payload {
    /// Asks for an answer.
    Ping {
        /// The number to answer with.
        seq: u64,
    },
    /// Answers a ping, maybe on behalf of another.
    Ack {
        /// The number of the ping.
        seq: u64,
    },
    /// Asks to probe a third member.
    Probe {
        /// The number to answer with.
        seq: u64,
        /// The member to probe.
        target: SocketAddr,
    },
    /// Introduces a newcomer, which wants to hear of all members.
    Join,
    /// Only carries news.
    Tell,
    /// Introduces known members to a newcomer, who need not pass them on.
    Members,
}

/// Is sent as one datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// Who sends, and what it has.
    pub header: Header,
    /// Why it is sent.
    pub payload: Payload,
    /// Updates about members; the first is about the sender.
    pub updates: Vec<MemberUpdate>,
}
