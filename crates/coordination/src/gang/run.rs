//! The placer's side: holds, runs, renewals and stops of one gang.

use std::time::Duration;

/// The share by which clocks may drift apart, in parts per thousand.
const MAX_DRIFT_PER_MILLE: u32 = 10;

/// Holds the durations of the gang protocol.
#[derive(Clone, Copy, Debug)]
pub struct GangTiming {
    /// The life of a hold.
    pub hold: Duration,
    /// The shortest run worth ordering.
    pub min_run: Duration,
}

impl GangTiming {
    /// Returns the part of a hold's life that is certain despite drift.
    fn min_hold(&self) -> Duration {
        self.hold - self.hold * MAX_DRIFT_PER_MILLE / 1000
    }

    /// Returns the time after which a hold has lapsed on every clock.
    pub fn max_hold(&self) -> Duration {
        self.hold + self.hold * MAX_DRIFT_PER_MILLE / 1000
    }
}

/// Enumerates the phases of a gang.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GangPhase {
    /// Holds are being taken.
    Holding,
    /// Members run or are about to.
    Running,
    /// Members are being stopped; accelerators stay held.
    Stopping,
    /// No member runs; accelerators are being given up.
    Releasing,
    /// Every accelerator is free.
    Released,
}

/// Orders one member to do something.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Command {
    /// Holds accelerators for the life of a hold.
    Hold {
        /// The sequence number.
        seq: u64,
    },
    /// Runs until `until` after the reception of hold `seq`.
    Run {
        /// The sequence number.
        seq: u64,
        /// The length of the run.
        until: Duration,
    },
    /// Stops and keeps the accelerators.
    Stop,
    /// Gives the accelerators up.
    Release,
}

/// Reports how a member answered a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberAck {
    /// Hold `seq` stands.
    Held(u64),
    /// The run under hold `seq` was taken.
    Running(u64),
    /// The run under hold `seq` was refused; an earlier one may still go on.
    Refused(u64),
    /// The member is stopped.
    Stopped,
    /// The accelerators are free.
    Released,
    /// The member does not run and never will again.
    Lost,
}

#[derive(Clone, Copy, Debug, Default)]
struct Member {
    /// When the present hold was first sent.
    sent_at: Option<Duration>,
    /// When the present hold was known to be received.
    acked_at: Option<Duration>,
    run_acked: bool,
    stopped: bool,
    released: bool,
}

/// Drives one gang; members are numbered from 0.
#[derive(Clone, Debug)]
pub struct GangRun {
    timing: GangTiming,
    phase: GangPhase,
    seq: u64,
    members: Vec<Member>,
    /// The time by which every member has stopped unless it is renewed.
    run_end: Option<Duration>,
    /// The time by which every hold sent so far has lapsed.
    holds_end: Duration,
    renewing: bool,
}

impl GangRun {
    /// Creates a gang of `size` members of which nothing is held.
    pub fn new(size: usize, timing: GangTiming) -> Self {
        Self {
            timing,
            phase: GangPhase::Holding,
            seq: 1,
            members: vec![Member::default(); size],
            run_end: None,
            holds_end: Duration::ZERO,
            renewing: false,
        }
    }

    /// Takes over a gang that another placer started, of which `seq` is the highest hold.
    ///
    /// Members may run for one more life of a hold without a renewal.
    pub fn adopt(size: usize, seq: u64, timing: GangTiming, now: Duration) -> Self {
        let max_end = now + timing.max_hold();
        Self {
            phase: GangPhase::Running,
            seq: seq + 1,
            run_end: Some(max_end),
            holds_end: max_end,
            renewing: true,
            ..Self::new(size, timing)
        }
    }

    /// Returns the phase.
    pub fn phase(&self) -> GangPhase {
        self.phase
    }

    /// Returns the commands that members now need; repeated until acknowledged.
    pub fn poll(&mut self, now: Duration) -> Vec<(usize, Command)> {
        self.advance(now);
        match self.phase {
            GangPhase::Holding | GangPhase::Running => self.poll_active(now),
            GangPhase::Stopping => self.pending(|m| !m.stopped, Command::Stop),
            GangPhase::Releasing => self.pending(|m| !m.released, Command::Release),
            GangPhase::Released => Vec::new(),
        }
    }

    fn pending(&self, needs: impl Fn(&Member) -> bool, command: Command) -> Vec<(usize, Command)> {
        let members = self.members.iter().enumerate();
        members
            .filter(|(_, m)| needs(m))
            .map(|(i, _)| (i, command))
            .collect()
    }

    fn poll_active(&mut self, now: Duration) -> Vec<(usize, Command)> {
        let due = self
            .run_end
            .is_some_and(|end| now + self.timing.hold * 2 / 3 >= end);
        if self.phase == GangPhase::Running && !self.renewing && due {
            self.next_sequence();
        }
        if let Some(run_end) = self.common_run_end() {
            return self.run_commands(run_end, now);
        }
        let mut commands = Vec::new();
        for (i, member) in self.members.iter_mut().enumerate() {
            if member.acked_at.is_none() {
                member.sent_at.get_or_insert(now);
                self.holds_end = self.holds_end.max(now + self.timing.max_hold());
                commands.push((i, Command::Hold { seq: self.seq }));
            }
        }
        commands
    }

    /// Returns the time before which no hold of this round lapses, once all are acknowledged.
    fn common_run_end(&self) -> Option<Duration> {
        let all_acked = self.members.iter().all(|m| m.acked_at.is_some());
        let first_sent = self.members.iter().filter_map(|m| m.sent_at).min()?;
        all_acked.then(|| first_sent + self.timing.min_hold())
    }

    fn run_commands(&mut self, run_end: Duration, now: Duration) -> Vec<(usize, Command)> {
        let last_acked = self.members.iter().filter_map(|m| m.acked_at).max();
        let shortest_run = run_end.saturating_sub(last_acked.unwrap_or(now));
        let long_enough =
            now + self.timing.min_run <= run_end && shortest_run >= self.timing.min_run;
        if self.phase == GangPhase::Holding && !long_enough {
            self.next_sequence();
            return self.poll_active(now);
        }
        self.phase = GangPhase::Running;
        self.renewing = false;
        self.run_end = Some(self.run_end.map_or(run_end, |end| end.max(run_end)));
        let seq = self.seq;
        let command = |(i, m): (usize, &Member)| {
            let until = run_end.saturating_sub(m.acked_at?);
            (!m.run_acked).then_some((i, Command::Run { seq, until }))
        };
        self.members
            .iter()
            .enumerate()
            .filter_map(command)
            .collect()
    }

    fn next_sequence(&mut self) {
        self.seq += 1;
        self.renewing = true;
        for member in &mut self.members {
            member.sent_at = None;
            member.acked_at = None;
            member.run_acked = false;
        }
    }

    /// Records the answer of a member.
    pub fn ack(&mut self, member: usize, ack: MemberAck, now: Duration) {
        let seq = self.seq;
        let state = &mut self.members[member];
        match ack {
            MemberAck::Held(s) if s == seq => {
                state.acked_at.get_or_insert(now);
            }
            MemberAck::Running(s) if s == seq => state.run_acked = true,
            MemberAck::Refused(s) if s == seq => self.stop(),
            MemberAck::Held(_) | MemberAck::Running(_) | MemberAck::Refused(_) => {}
            MemberAck::Stopped => state.stopped = true,
            MemberAck::Released => {
                state.stopped = true;
                state.released = true;
            }
            MemberAck::Lost => {
                state.stopped = true;
                self.stop();
            }
        }
        self.advance(now);
    }

    /// Stops the gang; its accelerators are given up once no member runs.
    pub fn stop(&mut self) {
        if matches!(self.phase, GangPhase::Holding | GangPhase::Running) {
            self.phase = GangPhase::Stopping;
        }
    }

    fn advance(&mut self, now: Duration) {
        let run_ended = self.run_end.is_none_or(|end| now >= end);
        if self.phase == GangPhase::Running && self.run_end.is_some_and(|end| now >= end) {
            self.phase = GangPhase::Stopping;
        }
        let stopped = self.members.iter().all(|m| m.stopped);
        if self.phase == GangPhase::Stopping && (stopped || run_ended) {
            self.phase = GangPhase::Releasing;
        }
        let released = self.members.iter().all(|m| m.released);
        if self.phase == GangPhase::Releasing && (released || now >= self.holds_end) {
            self.phase = GangPhase::Released;
        }
    }
}
