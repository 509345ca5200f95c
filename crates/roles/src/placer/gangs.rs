//! Active gangs: the orders to their members, and the results and reports of these.

use super::workers::SentCommand;
use hibiscusbarrow_coordination::gang::Command;
use hibiscusbarrow_coordination::gang::GangPhase;
use hibiscusbarrow_coordination::gang::GangRun;
use hibiscusbarrow_coordination::gang::MemberAck;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::order::MemberState;
use hibiscusbarrow_model::order::Order;
use hibiscusbarrow_placement::Cell;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::time::Duration;

/// The member of a gang on one worker.
#[derive(Debug)]
pub(super) struct Member {
    /// The index of the worker's link.
    pub link: usize,
    /// The accelerators of the worker that the member holds, one bit each.
    pub mask: u8,
    /// Whether the worker has reported the gang.
    pub reported: bool,
    /// Whether the worker is known to have started the member.
    pub started: bool,
    /// Whether the task of the member succeeded.
    pub done: bool,
}

/// A gang that is being started, runs or is being stopped.
#[derive(Debug)]
pub(super) struct Gang {
    pub name: SmolStr,
    pub job: SmolStr,
    pub account: SmolStr,
    pub run: GangRun,
    pub members: Vec<Member>,
    /// The declared run time of the job.
    pub runtime: Duration,
    /// How long a hold of the accelerators lasts.
    pub hold_ttl: Duration,
    /// Whether the end of the job is being stored.
    pub storing_end: bool,
    /// Whether all members have started, which is logged once.
    pub started: bool,
}

/// The consequence of a member's report for its gang.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum GangChange {
    /// Nothing needs to be done.
    None,
    /// The member's task failed.
    Failed,
    /// The tasks of all members succeeded.
    Finished,
}

/// Merges the cells of a gang into one member for each worker.
///
/// Returns `None` if the worker of a cell has no link.
pub(super) fn members_of(
    cells: &[Cell],
    link: impl Fn(&Cell) -> Option<usize>,
) -> Option<Vec<Member>> {
    let mut masks = BTreeMap::new();
    for cell in cells {
        *masks.entry(link(cell)?).or_insert(0) |= cell.mask;
    }
    let member = |(link, mask)| Member {
        link,
        mask,
        reported: false,
        started: false,
        done: false,
    };
    Some(masks.into_iter().map(member).collect())
}

/// Returns the name of a gang, made of its job and the number of the attempt.
pub(super) fn gang_name(job: &str, attempt: u32) -> SmolStr {
    smol_str::format_smolstr!("{job}~{attempt}")
}

/// Returns the job in the name of a gang.
pub(super) fn job_of(gang: &str) -> &str {
    gang.rsplit_once('~').map_or(gang, |(job, _)| job)
}

impl Gang {
    /// Returns the order that carries a command to a member.
    pub fn order(&self, index: usize, command: Command) -> Order {
        let gang = self.name.clone();
        match command {
            Command::Hold { seq } => Order::Hold {
                gang,
                seq,
                accelerators: bits(self.members[index].mask),
                ttl_ms: self.hold_ttl.as_millis() as u64,
            },
            Command::Run { seq, until } => Order::Run {
                gang,
                seq,
                until_ms: until.as_millis() as u64,
                work_ms: self.runtime.as_millis() as u64,
            },
            Command::Stop => Order::Stop { gang },
            Command::Release => Order::Release { gang },
        }
    }

    /// Returns whether a command prepares or makes the start of a member that has not started.
    pub fn starts_member(&self, index: usize, command: Command) -> bool {
        let starts = matches!(command, Command::Hold { .. } | Command::Run { .. });
        starts && !self.members[index].started
    }

    /// Handles the result of a command.
    pub fn handle_result(&mut self, sent: &SentCommand, code: Code, now: Duration) {
        let ack = match (sent.command, code) {
            (Command::Hold { seq }, Code::Done) => MemberAck::Held(seq),
            (Command::Run { seq, .. }, Code::Done) => {
                self.members[sent.member].started = true;
                MemberAck::Running(seq)
            }
            (Command::Stop, Code::Done) => MemberAck::Stopped,
            (Command::Release, Code::Done) => MemberAck::Released,
            (Command::Run { seq, .. }, Code::NoHold) => MemberAck::Refused(seq),
            _ => return,
        };
        self.run.ack(sent.member, ack, now);
    }

    /// Handles a worker's report of a member; `state` is `None` if it does not know the gang.
    ///
    /// A worker that has reported the gang before and no longer knows it has
    /// released the accelerators.
    pub fn handle_report(
        &mut self,
        index: usize,
        state: Option<MemberState>,
        now: Duration,
    ) -> GangChange {
        let member = &mut self.members[index];
        let Some(state) = state else {
            if member.reported && self.run.phase() != GangPhase::Releasing {
                self.run.ack(index, MemberAck::Lost, now);
            }
            if member.reported {
                self.run.ack(index, MemberAck::Released, now);
            }
            return GangChange::None;
        };
        member.reported = true;
        member.started |= has_started(state);
        match state {
            MemberState::Failed => return GangChange::Failed,
            MemberState::Done => member.done = true,
            MemberState::Stopped if self.run.phase() == GangPhase::Running => {
                self.run.ack(index, MemberAck::Lost, now);
            }
            MemberState::Held | MemberState::Running | MemberState::Stopped => {}
        }
        if self.members.iter().all(|m| m.done) {
            return GangChange::Finished;
        }
        GangChange::None
    }
}

/// Returns whether a member in this state has been started.
pub(super) fn has_started(state: MemberState) -> bool {
    matches!(
        state,
        MemberState::Running | MemberState::Done | MemberState::Failed
    )
}

/// Returns the indices of the bits of a mask.
pub(super) fn bits(mask: u8) -> Vec<u16> {
    (0..8).filter(|bit| mask >> bit & 1 == 1).collect()
}

/// Returns the mask of accelerator indices; indices of 8 and above are ignored.
pub(super) fn mask_of(accelerators: &[u16]) -> u8 {
    let valid = accelerators.iter().filter(|i| **i < 8);
    valid.fold(0, |mask, i| mask | 1 << i)
}
