//! The placer's side of the gang protocol: holds, runs, renews and stops one gang.

use std::time::Duration;

/// The largest drift between two clocks, in parts per thousand.
const MAX_DRIFT_PER_MILLE: u32 = 10;

/// The durations of the gang protocol.
#[derive(Clone, Copy, Debug)]
pub struct GangTiming {
    /// How long a hold lasts after a worker first receives it.
    pub hold: Duration,
    /// The shortest run worth starting.
    pub min_run: Duration,
}

impl GangTiming {
    /// Returns the shortest time after which a hold can expire, given clock drift.
    fn min_hold(&self) -> Duration {
        self.hold - self.hold * MAX_DRIFT_PER_MILLE / 1000
    }

    /// Returns the time after which a hold has expired on every clock, given clock drift.
    pub fn max_hold(&self) -> Duration {
        self.hold + self.hold * MAX_DRIFT_PER_MILLE / 1000
    }
}

/// The phase of a gang, as the placer sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GangPhase {
    /// Holds are being sent and acknowledged.
    Holding,
    /// Members run or are about to start.
    Running,
    /// Members are being stopped; accelerators stay held.
    Stopping,
    /// No member runs; accelerators are being released.
    Releasing,
    /// Every accelerator of the gang is free.
    Released,
}

/// A command to one member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Command {
    /// Holds the accelerators for [`GangTiming::hold`].
    Hold {
        /// The sequence number of the hold.
        seq: u64,
    },
    /// Runs the member under hold `seq`.
    Run {
        /// The sequence number of the hold.
        seq: u64,
        /// When the run ends, counted from the first reception of the hold.
        until: Duration,
    },
    /// Stops the member and keeps the accelerators held.
    Stop,
    /// Releases the accelerators.
    Release,
}

/// A member's answer to a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberAck {
    /// The hold with this sequence number is in force.
    Held(u64),
    /// The run under this hold was accepted.
    Running(u64),
    /// The run under this hold was refused; a run under an earlier hold may continue.
    Refused(u64),
    /// The member has stopped.
    Stopped,
    /// The accelerators are free.
    Released,
    /// The member does not run and will not run again.
    Lost,
}

#[derive(Clone, Copy, Debug, Default)]
struct Member {
    /// When the current hold was first sent.
    sent_at: Option<Duration>,
    /// When the first acknowledgement of the current hold arrived.
    acked_at: Option<Duration>,
    run_acked: bool,
    stopped: bool,
    released: bool,
}

/// Drives the protocol of one gang; members are numbered from 0.
#[derive(Clone, Debug)]
pub struct GangRun {
    timing: GangTiming,
    phase: GangPhase,
    seq: u64,
    members: Vec<Member>,
    /// The time by which every member has stopped, unless it is renewed.
    run_end: Option<Duration>,
    /// The time by which every hold sent so far has expired.
    holds_end: Duration,
    renewing: bool,
}

impl GangRun {
    /// Creates a gang of `size` members that holds no accelerators yet.
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

    /// Takes over a gang that another placer started; `seq` is the highest sequence number known
    /// of its holds.
    ///
    /// Members may run without a renewal until [`GangTiming::max_hold`] from now.
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

    /// Returns the phase, which advances with each [`poll`](Self::poll) and [`ack`](Self::ack).
    pub fn phase(&self) -> GangPhase {
        self.phase
    }

    /// Returns the commands to send now; a command is repeated until it is acknowledged.
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

    /// Returns the time before which no current hold can expire, once all are acknowledged.
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

    /// Records the answer of a member; answers to an earlier hold are ignored.
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

    /// Stops the gang; its accelerators are released once no member runs.
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
