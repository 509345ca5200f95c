//! Requests with a key, over gateways, owners and a store that all fail.

use crate::fixtures::*;
use hibiscusbarrow_coordination::key_gate::Arrival;
use hibiscusbarrow_coordination::key_gate::KeyGate;
use hibiscusbarrow_coordination::key_gate::Mode;
use hibiscusbarrow_coordination::keyed::Claimed;
use hibiscusbarrow_coordination::keyed::KeyedRequest;
use hibiscusbarrow_coordination::keyed::Outcome;
use hibiscusbarrow_coordination::keyed::Step;
use hibiscusbarrow_coordination::keyed::Withdrawn;
use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;
use std::time::Duration;

/// Names an owner and its life.
type Owner = (usize, u32);

/// The claim of the one key: who wrote it, for which owner, at which revision.
#[derive(Clone, Copy, Debug)]
struct Claim {
    writer: usize,
    owner: Owner,
    revision: i64,
}

/// An owner with its gate and the runs in progress, by claim.
struct Sidecar {
    life: u32,
    up: bool,
    gate: KeyGate<u32>,
    running: Vec<(Duration, i64)>,
}

/// A caller's request at a gateway.
struct Request {
    machine: KeyedRequest,
    step: Step<Owner>,
    /// When the gateway acts next; it may be long paused or dead.
    next: Duration,
    /// When the gateway gives the present owner up.
    patience: Duration,
    sent: bool,
    verdict: Option<Step<Owner>>,
}

/// A message on its way to an owner.
struct Packet {
    at: Duration,
    request: usize,
    owner: Owner,
    claim: i64,
    mode: Mode,
}

struct Sim {
    rng: SmallRng,
    network: Network,
    now: Duration,
    store: Option<Claim>,
    revision: i64,
    sidecars: Vec<Sidecar>,
    requests: Vec<Request>,
    packets: Vec<Packet>,
    replies: Vec<(Duration, usize, Owner, i64, Outcome)>,
    runs: u32,
    /// The share of owners' refusals, in percent.
    refusals: u32,
}

impl Sim {
    fn new(seed: u64, network: Network, refusals: u32) -> Self {
        let sidecar = |_| Sidecar {
            life: 1,
            up: true,
            gate: gate(),
            running: Vec::new(),
        };
        Self {
            rng: SmallRng::seed_from_u64(seed),
            network,
            now: Duration::ZERO,
            store: None,
            revision: 0,
            sidecars: (0..3).map(sidecar).collect(),
            requests: Vec::new(),
            packets: Vec::new(),
            replies: Vec::new(),
            runs: 0,
            refusals,
        }
    }

    fn arrive(&mut self) {
        let mut machine = KeyedRequest::default();
        let step = machine.begin();
        self.requests.push(Request {
            machine,
            step,
            next: self.now,
            patience: Duration::ZERO,
            sent: false,
            verdict: None,
        });
    }

    fn tick(&mut self) {
        self.now += ms(10);
        self.deliver();
        self.finish_runs();
        self.hear();
        for request in 0..self.requests.len() {
            if self.requests[request].verdict.is_none() && self.now >= self.requests[request].next {
                self.act(request);
            }
        }
    }

    /// Takes one step of a gateway, which may be slow.
    fn act(&mut self, index: usize) {
        let pause = ms(self.rng.random_range(0..200));
        self.requests[index].next = self.now + pause;
        match self.requests[index].step.clone() {
            Step::Claim { revision } => {
                let claimed = self.write_claim(index, revision);
                if let Some(claimed) = claimed {
                    let step = self.requests[index].machine.claimed(claimed);
                    self.enter(index, step);
                }
            }
            Step::Run { owner, claim } => self.send(index, owner, claim, Mode::Run),
            Step::Repeat { owner, claim } => self.send(index, owner, claim, Mode::Repeat),
            Step::Withdraw { claim } => {
                let withdrawn = self.withdraw(claim);
                let step = self.requests[index].machine.withdrawn(withdrawn);
                self.enter(index, step);
            }
            verdict => self.requests[index].verdict = Some(verdict),
        }
    }

    /// Withdraws the claim; a lost answer is resolved by reading.
    fn withdraw(&mut self, claim: i64) -> Withdrawn<Owner> {
        match self.store {
            Some(held) if held.revision == claim => self.store = None,
            Some(held) => return Withdrawn::Other(held.owner, held.revision),
            None => {}
        }
        if self.rng.random_range(0..100) < 3 {
            return Withdrawn::Unknown;
        }
        Withdrawn::Done
    }

    fn enter(&mut self, index: usize, step: Step<Owner>) {
        if step == Step::NotRun {
            assert_eq!(
                self.runs, 0,
                "request {index} is told \"not run\" after a run"
            );
        }
        let request = &mut self.requests[index];
        request.step = step;
        request.sent = false;
    }

    /// Writes the claim; a lost answer is resolved by reading.
    fn write_claim(&mut self, writer: usize, revision: i64) -> Option<Claimed<Owner>> {
        let up: Vec<usize> = (0..3).filter(|s| self.sidecars[*s].up).collect();
        if up.is_empty() {
            let held = self.store.map(|c| Claimed::Other(c.owner, c.revision));
            return Some(held.unwrap_or(Claimed::NoOwner));
        }
        let owner = up[self.rng.random_range(0..up.len())];
        let owner = (owner, self.sidecars[owner].life);
        let held = self.store.map_or(0, |c| c.revision);
        if held == revision {
            self.revision += 1;
            self.store = Some(Claim {
                writer,
                owner,
                revision: self.revision,
            });
        }
        if self.rng.random_range(0..100) < 10 {
            return None;
        }
        let claim = self.store?;
        if claim.writer == writer {
            return Some(Claimed::Mine(claim.owner, claim.revision));
        }
        Some(Claimed::Other(claim.owner, claim.revision))
    }

    fn send(&mut self, index: usize, owner: Owner, claim: i64, mode: Mode) {
        if self.requests[index].sent {
            if self.now >= self.requests[index].patience {
                self.reply(index, Outcome::Unconfirmed);
            }
            return;
        }
        let reachable = self.sidecars[owner.0].up && self.rng.random_range(0..100) >= 10;
        if !reachable {
            self.reply(index, Outcome::NotSent);
            return;
        }
        self.requests[index].sent = true;
        self.requests[index].patience = self.now + ms(1000);
        for delay in self.network.arrivals(&mut self.rng) {
            self.packets.push(Packet {
                at: self.now + delay,
                request: index,
                owner,
                claim,
                mode,
            });
        }
    }

    fn reply(&mut self, index: usize, outcome: Outcome) {
        let retry = self.rng.random_range(0..100) < 70;
        let step = self.requests[index].machine.replied(outcome, retry);
        self.enter(index, step);
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.packets)
            .into_iter()
            .partition(|p| p.at <= now);
        self.packets = later;
        for packet in due {
            let refuse = self.rng.random_range(0..100) < self.refusals;
            let sidecar = &mut self.sidecars[packet.owner.0];
            if !sidecar.up {
                continue;
            }
            if sidecar.life != packet.owner.1 {
                self.answer(&packet, Outcome::Unconfirmed);
                continue;
            }
            let key = gate_key(packet.claim);
            match sidecar.gate.arrive(&key, packet.mode, now) {
                Arrival::Run if refuse => {
                    sidecar.gate.close(&key, now);
                    self.answer(&packet, Outcome::Refused);
                }
                Arrival::Run => {
                    self.runs += 1;
                    let takes = ms(self.rng.random_range(0..500));
                    sidecar.running.push((now + takes, packet.claim));
                    self.packets.push(Packet {
                        at: now + takes + ms(10),
                        mode: Mode::Repeat,
                        ..packet
                    });
                }
                Arrival::Join => self.packets.push(Packet {
                    at: now + ms(50),
                    ..packet
                }),
                Arrival::Answer(_) => self.answer(&packet, Outcome::Answer),
                Arrival::Closed => self.answer(&packet, Outcome::Refused),
                Arrival::Full => self.answer(&packet, Outcome::Unconfirmed),
            }
        }
    }

    fn answer(&mut self, packet: &Packet, outcome: Outcome) {
        for delay in self.network.arrivals(&mut self.rng) {
            let at = self.now + delay;
            self.replies
                .push((at, packet.request, packet.owner, packet.claim, outcome));
        }
    }

    fn finish_runs(&mut self) {
        let now = self.now;
        for sidecar in &mut self.sidecars {
            let (ended, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut sidecar.running)
                .into_iter()
                .partition(|r| r.0 <= now);
            sidecar.running = rest;
            for (_, claim) in ended {
                sidecar.gate.answer(&gate_key(claim), 7, 1, now);
            }
        }
    }

    /// Hears answers; those to an earlier question are ignored.
    fn hear(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.replies)
            .into_iter()
            .partition(|r| r.0 <= now);
        self.replies = later;
        for (_, index, owner, claim, outcome) in due {
            let asked = match &self.requests[index].step {
                Step::Run { owner, claim } | Step::Repeat { owner, claim } => (*owner, *claim),
                _ => continue,
            };
            if self.requests[index].sent && asked == (owner, claim) {
                self.reply(index, outcome);
            }
        }
    }

    fn disturb(&mut self) {
        let sidecar = self.rng.random_range(0..3);
        let request = self.rng.random_range(0..self.requests.len().max(1));
        match self.rng.random_range(0..4) {
            0 => {
                let state = &mut self.sidecars[sidecar];
                state.life += 1;
                state.up = true;
                state.gate = gate();
                state.running.clear();
            }
            1 => self.sidecars[sidecar].up = false,
            2 => self.arrive(),
            _ => {
                if let Some(request) = self.requests.get_mut(request) {
                    request.next = self.now + ms(3000);
                }
            }
        }
    }
}

fn gate() -> KeyGate<u32> {
    KeyGate::new(Duration::from_secs(3600), 1000, 1 << 20)
}

fn gate_key(claim: i64) -> SmolStr {
    format!("key@{claim}").into()
}

proptest! {
    #![proptest_config(fixed(2000))]

    #[test]
    fn key_runs_at_most_once_and_verdicts_are_true(
        seed in any::<u64>(),
        network in any_network(),
        refusals in 0..60u32,
        disturbances in prop::collection::vec(0..600usize, 0..10),
    ) {
        let mut sim = Sim::new(seed, network, refusals);
        sim.arrive();
        for step in 0..1200 {
            let due = disturbances.iter().filter(|at| **at == step).count();
            (0..due).for_each(|_| sim.disturb());
            sim.tick();
        }

        prop_assert!(sim.runs <= 1, "the key ran {} times", sim.runs);
        let answered = sim.requests.iter().any(|r| r.verdict == Some(Step::Answer));
        prop_assert!(!answered || sim.runs == 1, "an answer came without a run");
    }
}

#[test]
fn owner_that_never_saw_a_key_closes_it() {
    let mut gate = gate();
    let key = gate_key(1);

    let repeat = gate.arrive(&key, Mode::Repeat, ms(0));
    let late = gate.arrive(&key, Mode::Run, ms(1));

    assert_eq!((repeat, late), (Arrival::Closed, Arrival::Closed));
}

#[test]
fn answer_is_repeated_while_remembered() {
    let mut gate = KeyGate::new(ms(100), 10, 1 << 20);
    let key = gate_key(1);
    assert_eq!(gate.arrive(&key, Mode::Run, ms(0)), Arrival::Run);
    gate.answer(&key, 42, 1, ms(10));

    let remembered = gate.arrive(&key, Mode::Repeat, ms(109));
    gate.arrive(&gate_key(2), Mode::Run, ms(111));

    assert_eq!(remembered, Arrival::Answer(42));
    assert_eq!(gate.len(), 1);
}

#[test]
fn full_gate_refuses_new_keys_and_keeps_old_ones() {
    let mut gate = KeyGate::new(ms(1000), 1, 1 << 20);
    gate.arrive(&gate_key(1), Mode::Run, ms(0));
    gate.answer(&gate_key(1), 42, 1, ms(1));

    let refused = gate.arrive(&gate_key(2), Mode::Run, ms(2));
    let kept = gate.arrive(&gate_key(1), Mode::Repeat, ms(2));

    assert_eq!((refused, kept), (Arrival::Full, Arrival::Answer(42)));
}
