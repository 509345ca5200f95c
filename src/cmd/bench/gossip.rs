//! Measures gossip for increasing numbers of members, on a virtual clock without sockets.

use super::table::Table;
use anyhow::Result;
use hibiscusbarrow_adapters::gossip::DatagramCodec;
use hibiscusbarrow_coordination::membership::*;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// The numbers of members.
const SIZES: [usize; 5] = [10, 30, 100, 300, 1000];
/// The number of gateways among the members; all others are sidecars.
const GATEWAYS: usize = 10;
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// The time between ticks of a member.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// The time that members have to discover one another before the measurement.
const WARM_UP: Duration = Duration::from_secs(60);
/// The time over which traffic and processor time are measured.
const MEASUREMENT_TIME: Duration = Duration::from_secs(30);
/// The timeout for an update to reach all members that must see it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(300);

/// Measures traffic, processor time and memory of a member, and how long updates take to spread.
pub fn measure() -> Result<Vec<Table>> {
    let mut table = Table::new(
        "Gossip by members",
        &[
            "members",
            "bytes/s out",
            "messages/s out",
            "cpu us/s",
            "generation s",
            "leave s",
            "death s",
            "state KB",
        ],
    );
    for size in SIZES {
        table.push(measure_size(size));
    }
    Ok(vec![table])
}

/// A simulated network that delivers datagrams between members without loss.
struct Network {
    now: Duration,
    nodes: Vec<Swim>,
    /// A member that neither sends nor receives.
    unresponsive: Option<usize>,
    packets: Vec<(usize, SocketAddr, Message)>,
    generations: Vec<u64>,
    codec: DatagramCodec,
    bytes: usize,
    messages: usize,
}

fn addr(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + index as u16))
}

impl Network {
    fn new(size: usize) -> Self {
        let timing = SwimTiming {
            period: PROBE_PERIOD,
            timeout: PROBE_PERIOD / 2,
        };
        let node = |i: usize| {
            let info = Info {
                role: if i < GATEWAYS {
                    Role::Gateway
                } else {
                    Role::Sidecar
                },
                region: "quebec".into(),
                addr: addr(i),
                http: addr(i),
                life: 1_796_374_103_957,
                service: "jumelage".into(),
                slots: 8,
            };
            Swim::new(format!("sidecar-montreal-{i}"), info, timing, i as u64)
        };
        let mut network = Self {
            now: Duration::ZERO,
            nodes: (0..size).map(node).collect(),
            unresponsive: None,
            packets: Vec::new(),
            generations: vec![0; size],
            codec: DatagramCodec::new("a secret for measurements"),
            bytes: 0,
            messages: 0,
        };
        for i in 1..size {
            let outputs = network.nodes[i].join([addr(0)]);
            network.apply_outputs(i, outputs);
        }
        network
    }

    /// Queues the datagrams that a member sends, and sets the generation that it learnt of.
    fn apply_outputs(&mut self, from: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(to, message) => {
                    self.bytes += self.codec.encode(message.clone()).len();
                    self.messages += 1;
                    self.packets.push((from, to, message));
                }
                Output::Change(Change::Generation(_, generation)) => {
                    self.generations[from] = generation;
                    self.nodes[from].set_generation(generation);
                }
                Output::Change(_) => {}
            }
        }
    }

    /// Advances the clock by a tick and delivers datagrams and the responses to them.
    fn step(&mut self) {
        self.now += TICK_INTERVAL;
        let now = self.now;
        for i in 0..self.nodes.len() {
            if self.unresponsive != Some(i) {
                let outputs = self.nodes[i].tick(now);
                self.apply_outputs(i, outputs);
            }
        }
        for _ in 0..2 {
            for (from, to, message) in std::mem::take(&mut self.packets) {
                let target = usize::from(to.port()) - 10_000;
                if self.unresponsive != Some(target) {
                    let outputs = self.nodes[target].receive(addr(from), message, now);
                    self.apply_outputs(target, outputs);
                }
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until a condition holds or [`WAIT_TIMEOUT`] has passed; returns the seconds taken.
    fn run_until(&mut self, condition: impl Fn(&Self) -> bool) -> f64 {
        let started_at = self.now;
        while !condition(self) && self.now < started_at + WAIT_TIMEOUT {
            self.step();
        }
        (self.now - started_at).as_secs_f64()
    }

    /// Returns whether all observers other than the subject see the subject in a state.
    fn all_see(&self, observers: std::ops::Range<usize>, subject: usize, state: State) -> bool {
        let name = &self.nodes[subject].local().name;
        let sees = |i: usize| {
            let member = self.nodes[i].member(name);
            i == subject || member.is_some_and(|m| m.latest.state == state)
        };
        observers.into_iter().all(sees)
    }
}

fn measure_size(size: usize) -> Vec<f64> {
    let memory_before = super::table::resident_bytes();
    let mut network = Network::new(size);
    network.run(WARM_UP);
    let state_kb = (super::table::resident_bytes() - memory_before).max(0.0) / size as f64 / 1e3;
    (network.bytes, network.messages) = (0, 0);
    let started_at = Instant::now();
    network.run(MEASUREMENT_TIME);
    let node_seconds = MEASUREMENT_TIME.as_secs_f64() * size as f64;
    let cpu_us = started_at.elapsed().as_secs_f64() * 1e6 / node_seconds;
    let (bytes, messages) = (
        network.bytes as f64 / node_seconds,
        network.messages as f64 / node_seconds,
    );

    network.nodes[0].set_generation(9);
    network.generations[0] = 9;
    let outputs = network.nodes[0].notify_gateways();
    network.apply_outputs(0, outputs);
    let generation_s = network.run_until(|n| n.generations.iter().all(|g| *g == 9));

    let leaver = size - 1;
    let outputs = network.nodes[leaver].announce_leaving();
    network.apply_outputs(leaver, outputs);
    let gateways = GATEWAYS.min(size - 2);
    let leave_s = network.run_until(|n| n.all_see(0..gateways, leaver, State::Leaving));

    network.unresponsive = Some(size - 2);
    let death_s = network.run_until(|n| n.all_see(0..gateways, size - 2, State::Dead));
    vec![
        size as f64,
        bytes,
        messages,
        cpu_us,
        generation_s,
        leave_s,
        death_s,
        state_kb,
    ]
}
