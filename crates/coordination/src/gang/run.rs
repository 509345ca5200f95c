//! The placer's side: holds, runs, renewals and stops of one gang.

use std::time::Duration;

/// The share by which clocks may drift apart, in parts per thousand.
const DRIFT_PER_MILLE: u32 = 10;

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
        self.hold - self.hold * DRIFT_PER_MILLE / 1000
    }

    /// Returns the time after which a hold has lapsed on every clock.
    pub fn max_hold(&self) -> Duration {
        self.hold + self.hold * DRIFT_PER_MILLE / 1000
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
    sent: Option<Duration>,
    /// When the present hold was known to be received.
    acked: Option<Duration>,
    ran: bool,
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
    bound: Option<Duration>,
    /// The time by which every hold sent so far has lapsed.
    lapsed: Duration,
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
            bound: None,
            lapsed: Duration::ZERO,
            renewing: false,
        }
    }

    /// Takes over a gang that another placer started, of which `seq` is the highest hold.
    ///
    /// Members may run for one more life of a hold without a renewal.
    pub fn adopt(size: usize, seq: u64, timing: GangTiming, now: Duration) -> Self {
        let horizon = now + timing.max_hold();
        Self {
            phase: GangPhase::Running,
            seq: seq + 1,
            bound: Some(horizon),
            lapsed: horizon,
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
            GangPhase::Holding | GangPhase::Running => self.poll_live(now),
            GangPhase::Stopping => self.pending(|m| !m.stopped, Command::Stop),
            GangPhase::Releasing => self.pending(|m| !m.released, Command::Release),
            GangPhase::Released => Vec::new(),
        }
    }

    fn pending(&self, wants: impl Fn(&Member) -> bool, command: Command) -> Vec<(usize, Command)> {
        let members = self.members.iter().enumerate();
        members
            .filter(|(_, m)| wants(m))
            .map(|(i, _)| (i, command))
            .collect()
    }

    fn poll_live(&mut self, now: Duration) -> Vec<(usize, Command)> {
        let due = self
            .bound
            .is_some_and(|b| now + self.timing.hold * 2 / 3 >= b);
        if self.phase == GangPhase::Running && !self.renewing && due {
            self.next_round();
        }
        if let Some(common) = self.common_bound() {
            return self.order_runs(common, now);
        }
        let mut commands = Vec::new();
        for (i, member) in self.members.iter_mut().enumerate() {
            if member.acked.is_none() {
                member.sent.get_or_insert(now);
                self.lapsed = self.lapsed.max(now + self.timing.max_hold());
                commands.push((i, Command::Hold { seq: self.seq }));
            }
        }
        commands
    }

    /// Returns the time before which no hold of this round lapses, once all are acknowledged.
    fn common_bound(&self) -> Option<Duration> {
        let acked = self.members.iter().all(|m| m.acked.is_some());
        let first = self.members.iter().filter_map(|m| m.sent).min()?;
        acked.then(|| first + self.timing.min_hold())
    }

    fn order_runs(&mut self, common: Duration, now: Duration) -> Vec<(usize, Command)> {
        let latest = self.members.iter().filter_map(|m| m.acked).max();
        let shortest = common.saturating_sub(latest.unwrap_or(now));
        let worthwhile = now + self.timing.min_run <= common && shortest >= self.timing.min_run;
        if self.phase == GangPhase::Holding && !worthwhile {
            self.next_round();
            return self.poll_live(now);
        }
        self.phase = GangPhase::Running;
        self.renewing = false;
        self.bound = Some(self.bound.map_or(common, |b| b.max(common)));
        let seq = self.seq;
        let order = |(i, m): (usize, &Member)| {
            let until = common.saturating_sub(m.acked?);
            (!m.ran).then_some((i, Command::Run { seq, until }))
        };
        self.members.iter().enumerate().filter_map(order).collect()
    }

    fn next_round(&mut self) {
        self.seq += 1;
        self.renewing = true;
        for member in &mut self.members {
            member.sent = None;
            member.acked = None;
            member.ran = false;
        }
    }

    /// Records the answer of a member.
    pub fn ack(&mut self, member: usize, ack: MemberAck, now: Duration) {
        let seq = self.seq;
        let state = &mut self.members[member];
        match ack {
            MemberAck::Held(s) if s == seq => {
                state.acked.get_or_insert(now);
            }
            MemberAck::Running(s) if s == seq => state.ran = true,
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
        let outrun = self.bound.is_none_or(|bound| now >= bound);
        if self.phase == GangPhase::Running && self.bound.is_some_and(|b| now >= b) {
            self.phase = GangPhase::Stopping;
        }
        let stopped = self.members.iter().all(|m| m.stopped);
        if self.phase == GangPhase::Stopping && (stopped || outrun) {
            self.phase = GangPhase::Releasing;
        }
        let released = self.members.iter().all(|m| m.released);
        if self.phase == GangPhase::Releasing && (released || now >= self.lapsed) {
            self.phase = GangPhase::Released;
        }
    }
}
