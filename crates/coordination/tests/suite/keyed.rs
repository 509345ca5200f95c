//! Tests of requests with idempotency keys, over gateways, owners and a store that all fail.

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

/// The index of an owner and its incarnation.
type Owner = (usize, u32);

/// The claim of the only key: the request that wrote it, its owner and its revision.
#[derive(Clone, Copy, Debug)]
struct Claim {
    writer: usize,
    owner: Owner,
    revision: i64,
}

/// An owner with its gate, and its runs in progress with their end and claim.
struct Sidecar {
    incarnation: u32,
    up: bool,
    gate: KeyGate<u32>,
    running: Vec<(Duration, i64)>,
}

/// A caller's request at a gateway.
struct Request {
    machine: KeyedRequest,
    step: Step<Owner>,
    /// When the gateway acts next; a fault delays this by 3 s.
    next_action: Duration,
    /// When the gateway stops waiting for the owner's answer.
    answer_deadline: Duration,
    sent: bool,
    result: Option<Step<Owner>>,
}

/// A message in transit to an owner.
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
    /// The probability that an owner refuses a run, in percent.
    refusals: u32,
}

impl Sim {
    fn new(seed: u64, network: Network, refusals: u32) -> Self {
        let sidecar = |_| Sidecar {
            incarnation: 1,
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

    fn add_request(&mut self) {
        let mut machine = KeyedRequest::default();
        let step = machine.begin();
        self.requests.push(Request {
            machine,
            step,
            next_action: self.now,
            answer_deadline: Duration::ZERO,
            sent: false,
            result: None,
        });
    }

    fn tick(&mut self) {
        self.now += ms(10);
        self.deliver();
        self.finish_runs();
        self.receive_answers();
        for request in 0..self.requests.len() {
            if self.requests[request].result.is_none()
                && self.now >= self.requests[request].next_action
            {
                self.run_step(request);
            }
        }
    }

    /// Carries out the current step of a request, then pauses the gateway for up to 200 ms.
    fn run_step(&mut self, index: usize) {
        let pause = ms(self.rng.random_range(0..200));
        self.requests[index].next_action = self.now + pause;
        match self.requests[index].step.clone() {
            Step::Claim { revision } => {
                let claimed = self.write_claim(index, revision);
                if let Some(claimed) = claimed {
                    let step = self.requests[index].machine.claimed(claimed);
                    self.set_step(index, step);
                }
            }
            Step::Run { owner, claim } => self.send(index, owner, claim, Mode::Run),
            Step::Repeat { owner, claim } => self.send(index, owner, claim, Mode::Repeat),
            Step::Withdraw { claim } => {
                let withdrawn = self.withdraw(claim);
                let step = self.requests[index].machine.withdrawn(withdrawn);
                self.set_step(index, step);
            }
            result => self.requests[index].result = Some(result),
        }
    }

    /// Withdraws the claim. A lost answer is resolved by reading, which fails in 3% of cases.
    fn withdraw(&mut self, claim: i64) -> Withdrawn<Owner> {
        match self.store {
            Some(stored) if stored.revision == claim => self.store = None,
            Some(stored) => return Withdrawn::Other(stored.owner, stored.revision),
            None => {}
        }
        if self.rng.random_range(0..100) < 3 {
            return Withdrawn::Unknown;
        }
        Withdrawn::Done
    }

    fn set_step(&mut self, index: usize, step: Step<Owner>) {
        if step == Step::NotRun {
            assert_eq!(
                self.runs, 0,
                "request {index} is answered \"not run\" after the key ran"
            );
        }
        let request = &mut self.requests[index];
        request.step = step;
        request.sent = false;
    }

    /// Writes the claim. A lost answer is resolved by reading, which fails in 10% of cases;
    /// the gateway then tries again.
    fn write_claim(&mut self, writer: usize, revision: i64) -> Option<Claimed<Owner>> {
        let up: Vec<usize> = (0..3).filter(|s| self.sidecars[*s].up).collect();
        if up.is_empty() {
            let stored = self.store.map(|c| Claimed::Other(c.owner, c.revision));
            return Some(stored.unwrap_or(Claimed::NoOwner));
        }
        let owner = up[self.rng.random_range(0..up.len())];
        let owner = (owner, self.sidecars[owner].incarnation);
        let stored = self.store.map_or(0, |c| c.revision);
        if stored == revision {
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
            if self.now >= self.requests[index].answer_deadline {
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
        self.requests[index].answer_deadline = self.now + ms(1000);
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
        self.set_step(index, step);
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
            if sidecar.incarnation != packet.owner.1 {
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
                    let run_time = ms(self.rng.random_range(0..500));
                    sidecar.running.push((now + run_time, packet.claim));
                    self.packets.push(Packet {
                        at: now + run_time + ms(10),
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
            let (ended, unfinished): (Vec<_>, Vec<_>) = std::mem::take(&mut sidecar.running)
                .into_iter()
                .partition(|r| r.0 <= now);
            sidecar.running = unfinished;
            for (_, claim) in ended {
                sidecar.gate.answer(&gate_key(claim), 7, 1, now);
            }
        }
    }

    /// Delivers answers; those to an earlier request to an owner are ignored.
    fn receive_answers(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.replies)
            .into_iter()
            .partition(|r| r.0 <= now);
        self.replies = later;
        for (_, index, owner, claim, outcome) in due {
            let expected = match &self.requests[index].step {
                Step::Run { owner, claim } | Step::Repeat { owner, claim } => (*owner, *claim),
                _ => continue,
            };
            if self.requests[index].sent && expected == (owner, claim) {
                self.reply(index, outcome);
            }
        }
    }

    fn inject_fault(&mut self) {
        let sidecar = self.rng.random_range(0..3);
        let request = self.rng.random_range(0..self.requests.len().max(1));
        match self.rng.random_range(0..4) {
            0 => {
                let state = &mut self.sidecars[sidecar];
                state.incarnation += 1;
                state.up = true;
                state.gate = gate();
                state.running.clear();
            }
            1 => self.sidecars[sidecar].up = false,
            2 => self.add_request(),
            _ => {
                if let Some(request) = self.requests.get_mut(request) {
                    request.next_action = self.now + ms(3000);
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

    /// Guards against a key that runs twice and a caller that is told "not run" after a run, when
    /// answers are lost, owners restart or several gateways serve the same key.
    #[test]
    fn key_runs_at_most_once_and_results_are_correct(
        seed in any::<u64>(),
        network in any_network(),
        refusals in 0..60u32,
        faults in prop::collection::vec(0..600usize, 0..10),
    ) {
        let mut sim = Sim::new(seed, network, refusals);
        sim.add_request();
        for step in 0..1200 {
            let due = faults.iter().filter(|at| **at == step).count();
            (0..due).for_each(|_| sim.inject_fault());
            sim.tick();
        }

        prop_assert!(sim.runs <= 1, "the key ran {} times", sim.runs);
        let answered = sim.requests.iter().any(|r| r.result == Some(Step::Answer));
        prop_assert!(!answered || sim.runs == 1, "a request was answered without a run");
    }
}

/// Guards against a run request that arrives after the owner answered "not run" to a repeat.
#[test]
fn repeat_of_an_unknown_key_closes_the_key() {
    let mut gate = gate();
    let key = gate_key(1);

    let repeat = gate.arrive(&key, Mode::Repeat, ms(0));
    let late = gate.arrive(&key, Mode::Run, ms(1));

    assert_eq!((repeat, late), (Arrival::Closed, Arrival::Closed));
}

#[test]
fn answer_is_repeated_while_retained() {
    let mut gate = KeyGate::new(ms(100), 10, 1 << 20);
    let key = gate_key(1);
    assert_eq!(gate.arrive(&key, Mode::Run, ms(0)), Arrival::Run);
    gate.answer(&key, 42, 1, ms(10));

    let retained = gate.arrive(&key, Mode::Repeat, ms(109));
    gate.arrive(&gate_key(2), Mode::Run, ms(111));

    assert_eq!(retained, Arrival::Answer(42));
    assert_eq!(gate.len(), 1);
}

#[test]
fn full_gate_refuses_new_keys_and_answers_retained_ones() {
    let mut gate = KeyGate::new(ms(1000), 1, 1 << 20);
    gate.arrive(&gate_key(1), Mode::Run, ms(0));
    gate.answer(&gate_key(1), 42, 1, ms(1));

    let refused = gate.arrive(&gate_key(2), Mode::Run, ms(2));
    let retained = gate.arrive(&gate_key(1), Mode::Repeat, ms(2));

    assert_eq!((refused, retained), (Arrival::Full, Arrival::Answer(42)));
}
