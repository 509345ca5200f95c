//! Tests of membership over a simulated network with a virtual clock.

use crate::fixtures::*;
use hibiscusbarrow_coordination::membership::*;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

const PERIOD: Duration = Duration::from_millis(1000);

struct Sim {
    rng: SmallRng,
    network: Network,
    now: Duration,
    nodes: Vec<Swim>,
    /// The nodes that neither send nor receive.
    down: BTreeSet<usize>,
    packets: Vec<(Duration, usize, SocketAddr, Message)>,
    /// Observers, with the name of the member that they saw die.
    deaths: Vec<(usize, String)>,
    /// The highest configuration generation that each node has.
    generations: Vec<u64>,
}

fn addr(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + index as u16))
}

fn info(index: usize) -> Info {
    Info {
        role: if index < 3 {
            Role::Gateway
        } else {
            Role::Sidecar
        },
        region: "r".into(),
        addr: addr(index),
        http: addr(index),
        life: 1,
        service: "s".into(),
        slots: 8,
    }
}

impl Sim {
    fn new(size: usize, seed: u64, network: Network) -> Self {
        let timing = SwimTiming {
            period: PERIOD,
            timeout: PERIOD / 2,
        };
        let node = |i: usize| Swim::new(format!("n{i}"), info(i), timing, seed ^ i as u64);
        let mut sim = Self {
            rng: SmallRng::seed_from_u64(seed),
            network,
            now: Duration::ZERO,
            nodes: (0..size).map(node).collect(),
            down: BTreeSet::new(),
            packets: Vec::new(),
            deaths: Vec::new(),
            generations: vec![0; size],
        };
        for i in 1..size {
            let outputs = sim.nodes[i].join([addr(0)]);
            sim.apply(i, outputs);
        }
        sim
    }

    fn apply(&mut self, from: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(to, message) => {
                    for delay in self.network.arrivals(&mut self.rng) {
                        let at = self.now + delay;
                        self.packets.push((at, from, to, message.clone()));
                    }
                }
                Output::Change(Change::Member(name, State::Dead)) => {
                    self.deaths.push((from, name.to_string()));
                }
                Output::Change(Change::Generation(_, generation)) => {
                    self.generations[from] = self.generations[from].max(generation);
                    self.nodes[from].set_generation(generation);
                }
                Output::Change(_) => {}
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += ms(50);
            let now = self.now;
            let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.packets)
                .into_iter()
                .partition(|p| p.0 <= now);
            self.packets = later;
            for (_, from, to, message) in due {
                let target = usize::from(to.port()) - 10_000;
                if !self.down.contains(&target) && !self.down.contains(&from) {
                    let outputs = self.nodes[target].receive(addr(from), message, now);
                    self.apply(target, outputs);
                }
            }
            for i in 0..self.nodes.len() {
                if self.down.contains(&i) {
                    continue;
                }
                let outputs = self.nodes[i].tick(now);
                self.apply(i, outputs);
                if self.nodes[i].members().next().is_none() {
                    let outputs = self.nodes[i].join([addr(0)]);
                    self.apply(i, outputs);
                }
            }
        }
    }

    fn sees(&self, observer: usize, subject: usize, state: State) -> bool {
        let member = self.nodes[observer].member(&format!("n{subject}"));
        member.is_some_and(|m| m.latest.state == state)
    }

    fn all_see(&self, subject: usize, state: State) -> bool {
        let live = (0..self.nodes.len()).filter(|i| *i != subject && !self.down.contains(i));
        live.into_iter().all(|i| self.sees(i, subject, state))
    }
}

fn lan() -> Network {
    Network {
        loss: 0,
        repeat: 0,
        delay: 2,
    }
}

#[test]
fn members_that_join_learn_of_all_others() {
    let mut sim = Sim::new(60, 1, lan());

    sim.run(PERIOD * 20);

    let complete = (0..60)
        .filter(|i| sim.nodes[*i].members().count() == 59)
        .count();
    assert_eq!(complete, 60);
}

#[test]
fn every_gateway_sees_a_leaving_member_within_two_seconds() {
    let mut sim = Sim::new(40, 2, lan());
    sim.run(PERIOD * 20);

    let outputs = sim.nodes[30].announce_leaving();
    sim.apply(30, outputs);
    sim.run(Duration::from_secs(2));

    assert!((0..3).all(|gateway| sim.sees(gateway, 30, State::Leaving)));
}

#[test]
fn all_members_detect_a_dead_member_without_the_store() {
    let mut sim = Sim::new(30, 3, lan());
    sim.run(PERIOD * 20);

    sim.down.insert(17);
    sim.run(PERIOD * 60);

    assert!(sim.all_see(17, State::Dead));
    assert!(
        sim.deaths.iter().all(|(_, name)| name == "n17"),
        "{:?}",
        sim.deaths
    );
}

#[test]
fn paused_member_becomes_alive_again() {
    let mut sim = Sim::new(20, 4, lan());
    sim.run(PERIOD * 20);
    sim.down.insert(9);
    sim.run(PERIOD * 60);

    sim.down.remove(&9);
    sim.run(PERIOD * 40);

    assert!(sim.all_see(9, State::Alive));
}

#[test]
fn generation_reaches_every_member_within_thirteen_seconds() {
    let mut sim = Sim::new(100, 5, lan());
    sim.run(PERIOD * 20);

    sim.nodes[0].set_generation(7);
    let outputs = sim.nodes[0].notify_gateways();
    sim.apply(0, outputs);
    sim.generations[0] = 7;
    sim.run(Duration::from_secs(13));

    assert_eq!(sim.generations.iter().filter(|g| **g == 7).count(), 100);
}

#[test]
fn message_carries_a_bounded_number_of_updates() {
    let mut sim = Sim::new(200, 6, lan());
    sim.run(PERIOD * 10);

    let most = sim.packets.iter().map(|(_, _, _, m)| m.updates.len()).max();

    assert!(most.unwrap_or(0) <= 8, "{most:?}");
}

proptest! {
    #![proptest_config(fixed(24))]

    /// Guards against false suspicions that end in death when a member only pauses for up to two
    /// periods, or messages are lost.
    #[test]
    fn loss_and_short_pauses_lead_to_no_deaths(
        seed in any::<u64>(),
        loss in 0..15u32,
        pauses in prop::collection::vec((0..12usize, 1..3u32), 0..6),
    ) {
        let network = Network { loss, repeat: 10, delay: 100 };
        let mut sim = Sim::new(12, seed, network);
        sim.run(PERIOD * 30);
        sim.deaths.clear();
        for (node, periods) in pauses {
            sim.down.insert(node);
            sim.run(PERIOD * periods);
            sim.down.remove(&node);
            sim.run(PERIOD * 15);
        }
        sim.run(PERIOD * 60);
        sim.network = lan();
        sim.run(PERIOD * 30);

        prop_assert!(sim.deaths.is_empty(), "{:?}", sim.deaths);
        prop_assert!((0..12).all(|i| sim.all_see(i, State::Alive)));
    }

    #[test]
    fn incarnations_never_decrease(
        seed in any::<u64>(),
        network in any_network(),
        outages in prop::collection::vec(0..8usize, 0..6),
    ) {
        let mut sim = Sim::new(8, seed, network);
        let mut seen = [0u64; 8];
        for (index, outage) in outages.iter().enumerate() {
            sim.down.insert(*outage);
            sim.nodes[(outage + 1) % 8].set_generation(index as u64 + 1);
            sim.run(PERIOD * 10);
            sim.down.clear();
            sim.run(PERIOD * 10);
            for (observer, seen) in seen.iter_mut().enumerate() {
                for member in sim.nodes[observer].members().filter(|m| m.latest.name == "n0") {
                    prop_assert!(member.latest.incarnation >= *seen);
                    *seen = member.latest.incarnation;
                }
            }
        }
    }
}
