//! Gangs under way: commands to their members and what comes back.

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

/// Holds the part of a gang on one worker.
#[derive(Debug)]
pub(super) struct Member {
    /// The index of the worker's link.
    pub link: usize,
    pub mask: u8,
    /// Whether the worker reported the gang.
    pub reported: bool,
    pub done: bool,
}

/// Holds a gang under way.
#[derive(Debug)]
pub(super) struct Gang {
    pub name: SmolStr,
    pub job: SmolStr,
    pub account: SmolStr,
    pub run: GangRun,
    pub members: Vec<Member>,
    pub runtime: Duration,
    pub hold_ttl: Duration,
    /// Whether its end is being stored.
    pub storing_end: bool,
    pub started: bool,
}

/// Tells what a member's report means for its gang.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum GangChange {
    /// Nothing new.
    None,
    /// The member's task failed.
    Failed,
    /// Every member's task ended well.
    Finished,
}

/// Merges the cells of a gang into one part for each worker.
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
        done: false,
    };
    Some(masks.into_iter().map(member).collect())
}

/// Returns the name of a gang: its job and the number of the attempt.
pub(super) fn gang_name(job: &str, attempt: u32) -> SmolStr {
    smol_str::format_smolstr!("{job}~{attempt}")
}

/// Returns the job of a gang's name.
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

    /// Takes in how a command ended.
    pub fn handle_result(&mut self, sent: &SentCommand, code: Code, now: Duration) {
        let ack = match (sent.command, code) {
            (Command::Hold { seq }, Code::Done) => MemberAck::Held(seq),
            (Command::Run { seq, .. }, Code::Done) => MemberAck::Running(seq),
            (Command::Stop, Code::Done) => MemberAck::Stopped,
            (Command::Release, Code::Done) => MemberAck::Released,
            (Command::Run { seq, .. }, Code::NoHold) => MemberAck::Refused(seq),
            _ => return,
        };
        self.run.ack(sent.member, ack, now);
    }

    /// Takes in what a worker reports of a member; nothing if it does not know the gang.
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

/// Returns the indices of the bits of a mask.
pub(super) fn bits(mask: u8) -> Vec<u16> {
    (0..8).filter(|bit| mask >> bit & 1 == 1).collect()
}

/// Returns the mask of accelerator indices.
pub(super) fn mask_of(accelerators: &[u16]) -> u8 {
    let valid = accelerators.iter().filter(|i| **i < 8);
    valid.fold(0, |mask, i| mask | 1 << i)
}
