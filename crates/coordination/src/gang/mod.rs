//! Gang protocol: a member runs only while the accelerators of all members are held.
//!
//! The protocol needs no coordinator log. The placer first sends every worker a
//! *hold* of the gang's accelerators. A hold has a fixed duration, which each
//! worker counts from when it first received the hold. Once all holds are
//! acknowledged, the placer sends every worker a *run* with a duration that is
//! counted from the reception of the same hold. The placer chooses these
//! durations so that every member stops before the first hold can expire,
//! however late a run command arrives. A renewal repeats both steps under a
//! higher sequence number.

mod holds;
mod run;

pub use holds::HoldState;
pub use holds::HoldTable;
pub use holds::Refusal;
pub use run::Command;
pub use run::GangPhase;
pub use run::GangRun;
pub use run::GangTiming;
pub use run::MemberAck;
