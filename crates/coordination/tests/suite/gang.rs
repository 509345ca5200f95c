//! Gangs under lost, late and repeated orders, dead and paused placers and workers.

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
const ALL: u64 = 0xff;

fn timing() -> GangTiming {
    GangTiming {
        hold: HOLD,
        min_run: HOLD / 3,
    }
}

/// A worker whose clock runs a little fast or slow.
struct Worker {
    ledger: Ledger,
    fence: Fence,
    /// The rate of the clock in thousandths.
    rate: u32,
    paused_until: Duration,
    /// How often it lost its memory.
    lives: u32,
}

impl Worker {
    fn clock(&self, now: Duration) -> Duration {
        now * self.rate / 1000
    }
}

/// A placer with its gangs, by name.
struct Placer {
    epoch: u64,
    gangs: BTreeMap<SmolStr, GangRun>,
    heard: BTreeMap<usize, BTreeMap<SmolStr, u64>>,
    next: u32,
    paused_until: Duration,
    serving: bool,
}

#[derive(Clone)]
enum Packet {
    Order {
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
    Hello {
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
    /// The lives of the workers when a gang was first seen to run.
    births: BTreeMap<SmolStr, Vec<u32>>,
    runs: usize,
}

impl Sim {
    fn new(seed: u64, network: Network) -> Self {
        let worker = |rate| Worker {
            ledger: Ledger::default(),
            fence: Fence::default(),
            rate,
            paused_until: Duration::ZERO,
            lives: 0,
        };
        Self {
            rng: SmallRng::seed_from_u64(seed),
            network,
            now: Duration::ZERO,
            workers: vec![worker(995), worker(1000), worker(1005)],
            placers: vec![placer(1, true)],
            packets: Vec::new(),
            births: BTreeMap::new(),
            runs: 0,
        }
    }

    fn post(&mut self, packet: Packet) {
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
                Packet::Order { worker, .. } | Packet::Hello { worker, .. }
                    if now < self.workers[worker].paused_until =>
                {
                    let until = self.workers[worker].paused_until;
                    self.packets.push((until, packet));
                }
                Packet::Order {
                    placer,
                    epoch,
                    worker,
                    gang,
                    command,
                } => {
                    if let Some(ack) = self.obey(worker, epoch, &gang, command) {
                        self.post(Packet::Ack {
                            placer,
                            worker,
                            gang,
                            ack,
                        });
                    }
                }
                Packet::Hello {
                    placer,
                    epoch,
                    worker,
                } => {
                    let state = &mut self.workers[worker];
                    if state.fence.admit(epoch) {
                        let clock = state.clock(now);
                        state.ledger.expire(clock);
                        let grants = state.ledger.grants();
                        let gangs = grants.map(|(g, grant)| (g.clone(), grant.seq)).collect();
                        self.post(Packet::Report {
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
                    self.placers[placer].heard.insert(worker, gangs);
                }
            }
        }
    }

    fn obey(
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
                let held = state.ledger.hold(gang, seq, ALL, HOLD, clock);
                held.ok().map(|()| MemberAck::Held(seq))
            }
            Command::Run { seq, until } => match state.ledger.run(gang, seq, until, clock) {
                Ok(_) => Some(MemberAck::Running(seq)),
                Err(_) => Some(MemberAck::Refused(seq)),
            },
            Command::Stop => {
                state.ledger.stop(gang, clock);
                Some(MemberAck::Stopped)
            }
            Command::Release => {
                state.ledger.release(gang);
                Some(MemberAck::Released)
            }
        }
    }

    fn run_placer(&mut self, index: usize) {
        self.take_over(index);
        let placer = &mut self.placers[index];
        if placer.serving && placer.gangs.is_empty() {
            placer.next += 1;
            let name = format!("g{}-{}", placer.epoch, placer.next);
            placer
                .gangs
                .insert(name.into(), GangRun::new(WORKERS, timing()));
        }
        let mut orders = Vec::new();
        for (gang, run) in &mut placer.gangs {
            if self.rng.random_range(0..1000) < 3 {
                run.stop();
            }
            for (worker, command) in run.poll(self.now) {
                orders.push((gang.clone(), worker, command));
            }
        }
        placer
            .gangs
            .retain(|_, run| run.phase() != GangPhase::Released);
        let epoch = placer.epoch;
        for (gang, worker, command) in orders {
            self.post(Packet::Order {
                placer: index,
                epoch,
                worker,
                gang,
                command,
            });
        }
    }

    /// Lets a new placer hear every worker, then adopt or stop what it finds.
    fn take_over(&mut self, index: usize) {
        if self.placers[index].serving {
            return;
        }
        let epoch = self.placers[index].epoch;
        for worker in 0..WORKERS {
            if !self.placers[index].heard.contains_key(&worker) {
                self.post(Packet::Hello {
                    placer: index,
                    epoch,
                    worker,
                });
            }
        }
        let now = self.now;
        let placer = &mut self.placers[index];
        if placer.heard.len() < WORKERS {
            return;
        }
        placer.serving = true;
        let mut found: BTreeMap<SmolStr, Vec<u64>> = BTreeMap::new();
        for gangs in placer.heard.values() {
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

    /// While a member of a gang runs, every other member's accelerators are held for it.
    fn check(&mut self) {
        let now = self.now;
        let mut running: BTreeMap<SmolStr, Vec<usize>> = BTreeMap::new();
        for (index, worker) in self.workers.iter_mut().enumerate() {
            let clock = worker.clock(now);
            worker.ledger.expire(clock);
            for (gang, grant) in worker.ledger.grants() {
                if grant.state == HoldState::Running {
                    running.entry(gang.clone()).or_default().push(index);
                }
            }
        }
        let lives: Vec<u32> = self.workers.iter().map(|w| w.lives).collect();
        for (gang, members) in running {
            let births = self
                .births
                .entry(gang.clone())
                .or_insert_with(|| lives.clone());
            if members.len() == WORKERS {
                self.runs += 1;
            }
            for (index, worker) in self.workers.iter().enumerate() {
                if worker.lives == births[index] {
                    let held = worker.ledger.grant(&gang).is_some();
                    assert!(
                        held,
                        "at {now:?} {gang} runs on {members:?}, not held on {index}"
                    );
                }
            }
        }
    }

    /// Brings about one random failure.
    fn disturb(&mut self) {
        let pause = ms(self.rng.random_range(0..4000));
        let worker = self.rng.random_range(0..WORKERS);
        let placer = self.rng.random_range(0..self.placers.len());
        match self.rng.random_range(0..5) {
            0 => self.placers[placer].paused_until = self.now + pause,
            1 => self.placers[placer].paused_until = Duration::MAX,
            2 => self.workers[worker].paused_until = self.now + pause,
            3 => {
                let state = &mut self.workers[worker];
                state.ledger = Ledger::default();
                state.fence = Fence::default();
                state.lives += 1;
            }
            _ => {
                let epoch = self.placers.len() as u64 + 1;
                self.placers.push(placer_of(epoch));
            }
        }
    }
}

fn placer(epoch: u64, serving: bool) -> Placer {
    Placer {
        epoch,
        gangs: BTreeMap::new(),
        heard: BTreeMap::new(),
        next: 0,
        paused_until: Duration::ZERO,
        serving,
    }
}

fn placer_of(epoch: u64) -> Placer {
    placer(epoch, false)
}

proptest! {
    #![proptest_config(fixed(400))]

    #[test]
    fn gang_holds_all_while_any_member_runs(
        seed in any::<u64>(),
        network in any_network(),
        disturbances in prop::collection::vec(0..1500usize, 0..8),
    ) {
        let mut sim = Sim::new(seed, network);
        for step in 0..1500 {
            let due = disturbances.iter().filter(|at| **at == step).count();
            (0..due).for_each(|_| sim.disturb());
            sim.step();
        }
    }
}

#[test]
fn gang_runs_on_without_a_gap_on_a_good_network() {
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
            .expect("it lives")
            .poll(sim.now);
        for (worker, command) in commands {
            let gang = "g".into();
            sim.post(Packet::Order {
                placer: 0,
                epoch: 1,
                worker,
                gang,
                command,
            });
        }
        sim.check();
        let running = |w: &Worker| {
            w.ledger
                .grant(&"g".into())
                .is_some_and(|g| g.state == HoldState::Running)
        };
        gaps += usize::from(step > 20 && !sim.workers.iter().all(running));
    }

    assert_eq!(gaps, 0);
}

#[test]
fn late_order_to_run_is_refused_after_the_bound() {
    let mut ledger = Ledger::default();
    ledger
        .hold(&"g".into(), 1, ALL, HOLD, ms(0))
        .expect("it is free");

    let late = ledger.run(&"g".into(), 1, ms(500), ms(600));

    assert_eq!(late, Err(Refusal::NoHold));
}

#[test]
fn repeated_hold_does_not_extend_its_life() {
    let mut ledger = Ledger::default();
    ledger
        .hold(&"g".into(), 1, ALL, HOLD, ms(0))
        .expect("it is free");

    ledger
        .hold(&"g".into(), 1, ALL, HOLD, ms(900))
        .expect("it is ours");
    ledger.expire(ms(1000));

    assert!(ledger.grant(&"g".into()).is_none());
}

#[test]
fn hold_that_comes_after_the_release_is_refused() {
    let mut ledger = Ledger::default();
    ledger
        .hold(&"g".into(), 1, ALL, HOLD, ms(0))
        .expect("it is free");
    ledger.release(&"g".into());

    let late = ledger.hold(&"g".into(), 2, ALL, HOLD, ms(10));

    assert_eq!(late, Err(Refusal::NoHold));
}
