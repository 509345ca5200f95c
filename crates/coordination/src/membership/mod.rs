//! Gossip membership with the SWIM protocol, at a constant cost per process.
//!
//! In each period a process probes one member, first directly and then through
//! others. Updates about members are piggybacked on probes and answers. The local
//! health multiplier of Lifeguard lengthens the timeouts of a process that is
//! itself slow. Sources: Das, Gupta, Motivala: SWIM (DSN 2002); Dadgar, Phillips,
//! Currey: Lifeguard (DSN-W 2018).

mod message;
mod swim;

pub use message::Header;
pub use message::Info;
pub use message::MemberUpdate;
pub use message::Message;
pub use message::Payload;
pub use message::Role;
pub use message::State;
pub use swim::Change;
pub use swim::Member;
pub use swim::Output;
pub use swim::Swim;
pub use swim::SwimTiming;
