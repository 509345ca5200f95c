//! Gangs that hold all their accelerators or none, without a coordinator's log.
//!
//! A placer first has every worker *hold* the gang's accelerators for a fixed
//! life, counted by each worker from when it first received that hold. Only
//! when all holds are acknowledged does it let members *run*, each until a time
//! that the worker counts from the reception of the same hold. The placer
//! chooses these times so that every member stops before the first hold can
//! lapse, however late the order to run arrives. Renewal repeats both steps
//! under a higher sequence number.

mod ledger;
mod run;

pub use ledger::HoldState;
pub use ledger::Ledger;
pub use ledger::Refusal;
pub use run::Command;
pub use run::GangPhase;
pub use run::GangRun;
pub use run::GangTiming;
pub use run::MemberAck;
