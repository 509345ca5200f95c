//! Tests of the gang protocol under message loss, delay and repetition, and under paused, stopped
//! and restarted placers and workers.

use crate::fixtures::*;
use hibiscusbarrow_coordination::fence::Fence;
use hibiscusbarrow_coordination::gang::*;
use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::time::Duration;

const WORKERS: usize = 3;
const HOLD: Duration = Duration::from_millis(1000);
const STEP: Duration = Duration::from_millis(10);
const ALL_ACCELERATORS: u64 = 0xff;

fn timing() -> GangTiming {
    GangTiming {
        hold: HOLD,
        min_run: HOLD / 3,
    }
}

/// A worker whose clock runs a little fast or slow.
struct Worker {
    holds: HoldTable,
    fence: Fence,
    /// The rate of the clock, in parts per thousand.
    rate: u32,
    paused_until: Duration,
    /// How often the worker restarted with empty state.
    incarnation: u32,
}

impl Worker {
    fn clock(&self, now: Duration) -> Duration {
        now * self.rate / 1000
    }
}

/// A placer with its gangs by name, and the gangs that each worker reported.
struct Placer {
    epoch: u64,
    gangs: BTreeMap<SmolStr, GangRun>,
    reports: BTreeMap<usize, BTreeMap<SmolStr, u64>>,
    next_gang: u32,
    paused_until: Duration,
    serving: bool,
}

#[derive(Clone)]
enum Packet {
    Command {
        placer: usize,
        epoch: u64,
        worker: usize,
        gang: SmolStr,
        command: Command,
    },
    Ack {
        placer: usize,
        worker: usize,
        gang: SmolStr,
        ack: MemberAck,
    },
    Poll {
        placer: usize,
        epoch: u64,
        worker: usize,
    },
    Report {
        placer: usize,
        worker: usize,
        gangs: BTreeMap<SmolStr, u64>,
    },
}

struct Sim {
    rng: SmallRng,
    network: Network,
    now: Duration,
    workers: Vec<Worker>,
    placers: Vec<Placer>,
    packets: Vec<(Duration, Packet)>,
    /// The incarnations of the workers when a gang was first observed running.
    initial_incarnations: BTreeMap<SmolStr, Vec<u32>>,
    runs: usize,
}

impl Sim {
    fn new(seed: u64, network: Network) -> Self {
        let worker = |rate| Worker {
            holds: HoldTable::default(),
            fence: Fence::default(),
            rate,
            paused_until: Duration::ZERO,
            incarnation: 0,
        };
        Self {
            rng: SmallRng::seed_from_u64(seed),
            network,
            now: Duration::ZERO,
            workers: vec![worker(995), worker(1000), worker(1005)],
            placers: vec![placer(1, true)],
            packets: Vec::new(),
            initial_incarnations: BTreeMap::new(),
            runs: 0,
        }
    }

    fn send(&mut self, packet: Packet) {
        for delay in self.network.arrivals(&mut self.rng) {
            self.packets.push((self.now + delay, packet.clone()));
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for placer in 0..self.placers.len() {
            if self.now >= self.placers[placer].paused_until {
                self.run_placer(placer);
            }
        }
        self.check();
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.packets)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.packets = later;
        for (_, packet) in due {
            match packet {
                Packet::Command { worker, .. } | Packet::Poll { worker, .. }
                    if now < self.workers[worker].paused_until =>
                {
                    let until = self.workers[worker].paused_until;
                    self.packets.push((until, packet));
                }
                Packet::Command {
                    placer,
                    epoch,
                    worker,
                    gang,
                    command,
                } => {
                    if let Some(ack) = self.handle_command(worker, epoch, &gang, command) {
                        self.send(Packet::Ack {
                            placer,
                            worker,
                            gang,
                            ack,
                        });
                    }
                }
                Packet::Poll {
                    placer,
                    epoch,
                    worker,
                } => {
                    let state = &mut self.workers[worker];
                    if state.fence.admit(epoch) {
                        let clock = state.clock(now);
                        state.holds.expire(clock);
                        let grants = state.holds.grants();
                        let gangs = grants.map(|(g, grant)| (g.clone(), grant.seq)).collect();
                        self.send(Packet::Report {
                            placer,
                            worker,
                            gangs,
                        });
                    }
                }
                Packet::Ack {
                    placer,
                    worker,
                    gang,
                    ack,
                } => {
                    if let Some(run) = self.placers[placer].gangs.get_mut(&gang) {
                        run.ack(worker, ack, now);
                    }
                }
                Packet::Report {
                    placer,
                    worker,
                    gangs,
                } => {
                    self.placers[placer].reports.insert(worker, gangs);
                }
            }
        }
    }

    fn handle_command(
        &mut self,
        worker: usize,
        epoch: u64,
        gang: &SmolStr,
        command: Command,
    ) -> Option<MemberAck> {
        let state = &mut self.workers[worker];
        if !state.fence.admit(epoch) {
            return None;
        }
        let clock = state.clock(self.now);
        match command {
            Command::Hold { seq } => {
                let held = state.holds.hold(gang, seq, ALL_ACCELERATORS, HOLD, clock);
                held.ok().map(|()| MemberAck::Held(seq))
            }
            Command::Run { seq, until } => match state.holds.run(gang, seq, until, clock) {
                Ok(_) => Some(MemberAck::Running(seq)),
                Err(_) => Some(MemberAck::Refused(seq)),
            },
            Command::Stop => {
                state.holds.stop(gang, clock);
                Some(MemberAck::Stopped)
            }
            Command::Release => {
                state.holds.release(gang);
                Some(MemberAck::Released)
            }
        }
    }

    fn run_placer(&mut self, index: usize) {
        self.take_over(index);
        let placer = &mut self.placers[index];
        if placer.serving && placer.gangs.is_empty() {
            placer.next_gang += 1;
            let name = format!("g{}-{}", placer.epoch, placer.next_gang);
            placer
                .gangs
                .insert(name.into(), GangRun::new(WORKERS, timing()));
        }
        let mut commands = Vec::new();
        for (gang, run) in &mut placer.gangs {
            if self.rng.random_range(0..1000) < 3 {
                run.stop();
            }
            for (worker, command) in run.poll(self.now) {
                commands.push((gang.clone(), worker, command));
            }
        }
        placer
            .gangs
            .retain(|_, run| run.phase() != GangPhase::Released);
        let epoch = placer.epoch;
        for (gang, worker, command) in commands {
            self.send(Packet::Command {
                placer: index,
                epoch,
                worker,
                gang,
                command,
            });
        }
    }

    /// Has a new placer poll every worker, and then adopt or stop the gangs that it finds.
    fn take_over(&mut self, index: usize) {
        if self.placers[index].serving {
            return;
        }
        let epoch = self.placers[index].epoch;
        for worker in 0..WORKERS {
            if !self.placers[index].reports.contains_key(&worker) {
                self.send(Packet::Poll {
                    placer: index,
                    epoch,
                    worker,
                });
            }
        }
        let now = self.now;
        let placer = &mut self.placers[index];
        if placer.reports.len() < WORKERS {
            return;
        }
        placer.serving = true;
        let mut found: BTreeMap<SmolStr, Vec<u64>> = BTreeMap::new();
        for gangs in placer.reports.values() {
            for (gang, seq) in gangs {
                found.entry(gang.clone()).or_default().push(*seq);
            }
        }
        for (gang, seqs) in found {
            let highest = seqs.iter().copied().max().unwrap_or(0);
            let mut run = GangRun::adopt(WORKERS, highest, timing(), now);
            if seqs.len() < WORKERS {
                run.stop();
            }
            placer.gangs.insert(gang, run);
        }
    }

    /// Asserts that while a member of a gang runs, the accelerators of all others are held for it.
    ///
    /// A worker that restarted since the gang was first observed is exempt.
    fn check(&mut self) {
        let now = self.now;
        let mut running: BTreeMap<SmolStr, Vec<usize>> = BTreeMap::new();
        for (index, worker) in self.workers.iter_mut().enumerate() {
            let clock = worker.clock(now);
            worker.holds.expire(clock);
            for (gang, grant) in worker.holds.grants() {
                if grant.state == HoldState::Running {
                    running.entry(gang.clone()).or_default().push(index);
                }
            }
        }
        let incarnations: Vec<u32> = self.workers.iter().map(|w| w.incarnation).collect();
        for (gang, members) in running {
            let initial_incarnations = self
                .initial_incarnations
                .entry(gang.clone())
                .or_insert_with(|| incarnations.clone());
            if members.len() == WORKERS {
                self.runs += 1;
            }
            for (index, worker) in self.workers.iter().enumerate() {
                if worker.incarnation == initial_incarnations[index] {
                    let held = worker.holds.grant(&gang).is_some();
                    assert!(
                        held,
                        "at {now:?} {gang} runs on {members:?} but worker {index} has no hold"
                    );
                }
            }
        }
    }

    /// Injects one random fault.
    fn inject_fault(&mut self) {
        let pause = ms(self.rng.random_range(0..4000));
        let worker = self.rng.random_range(0..WORKERS);
        let placer = self.rng.random_range(0..self.placers.len());
        match self.rng.random_range(0..5) {
            0 => self.placers[placer].paused_until = self.now + pause,
            1 => self.placers[placer].paused_until = Duration::MAX,
            2 => self.workers[worker].paused_until = self.now + pause,
            3 => {
                let state = &mut self.workers[worker];
                state.holds = HoldTable::default();
                state.fence = Fence::default();
                state.incarnation += 1;
            }
            _ => {
                let epoch = self.placers.len() as u64 + 1;
                self.placers.push(new_placer(epoch));
            }
        }
    }
}

fn placer(epoch: u64, serving: bool) -> Placer {
    Placer {
        epoch,
        gangs: BTreeMap::new(),
        reports: BTreeMap::new(),
        next_gang: 0,
        paused_until: Duration::ZERO,
        serving,
    }
}

fn new_placer(epoch: u64) -> Placer {
    placer(epoch, false)
}

proptest! {
    #![proptest_config(fixed(400))]

    /// Guards against a member that runs while another member's hold has expired or was released,
    /// because commands were lost or late, processes paused or the placer changed.
    #[test]
    fn all_accelerators_are_held_while_any_member_runs(
        seed in any::<u64>(),
        network in any_network(),
        faults in prop::collection::vec(0..1500usize, 0..8),
    ) {
        let mut sim = Sim::new(seed, network);
        for step in 0..1500 {
            let due = faults.iter().filter(|at| **at == step).count();
            (0..due).for_each(|_| sim.inject_fault());
            sim.step();
        }
    }
}

/// Guards against renewals that are sent too late, so that members stop without a fault.
#[test]
fn gang_runs_without_gaps_on_a_reliable_network() {
    let network = Network {
        loss: 0,
        repeat: 0,
        delay: 5,
    };
    let mut sim = Sim::new(1, network);
    sim.placers[0]
        .gangs
        .insert("g".into(), GangRun::new(WORKERS, timing()));
    let mut gaps = 0;
    for step in 0..2000 {
        sim.now += STEP;
        sim.deliver();
        let commands = sim.placers[0]
            .gangs
            .get_mut("g")
            .expect("the gang exists")
            .poll(sim.now);
        for (worker, command) in commands {
            let gang = "g".into();
            sim.send(Packet::Command {
                placer: 0,
                epoch: 1,
                worker,
                gang,
                command,
            });
        }
        sim.check();
        let running = |w: &Worker| {
            w.holds
                .grant(&"g".into())
                .is_some_and(|g| g.state == HoldState::Running)
        };
        gaps += usize::from(step > 20 && !sim.workers.iter().all(running));
    }

    assert_eq!(gaps, 0);
}

/// Guards against a delayed command that starts a member that the placer counts as stopped.
#[test]
fn run_command_is_refused_after_the_end_of_its_run() {
    let mut holds = HoldTable::default();
    holds
        .hold(&"g".into(), 1, ALL_ACCELERATORS, HOLD, ms(0))
        .expect("the accelerators are free");

    let late = holds.run(&"g".into(), 1, ms(500), ms(600));

    assert_eq!(late, Err(Refusal::NoHold));
}

/// Guards against a repeated message that keeps accelerators held longer than the placer computes.
#[test]
fn repeated_hold_does_not_extend_the_hold() {
    let mut holds = HoldTable::default();
    holds
        .hold(&"g".into(), 1, ALL_ACCELERATORS, HOLD, ms(0))
        .expect("the accelerators are free");

    holds
        .hold(&"g".into(), 1, ALL_ACCELERATORS, HOLD, ms(900))
        .expect("the gang holds the accelerators");
    holds.expire(ms(1000));

    assert!(holds.grant(&"g".into()).is_none());
}

/// Guards against a delayed hold that takes accelerators for a gang that has already ended.
#[test]
fn hold_that_arrives_after_the_release_is_refused() {
    let mut holds = HoldTable::default();
    holds
        .hold(&"g".into(), 1, ALL_ACCELERATORS, HOLD, ms(0))
        .expect("the accelerators are free");
    holds.release(&"g".into());

    let late = holds.hold(&"g".into(), 2, ALL_ACCELERATORS, HOLD, ms(10));

    assert_eq!(late, Err(Refusal::NoHold));
}
