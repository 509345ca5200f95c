//! A digest of all decisions in drawn workloads, which stays the same while no optional part is on.

use crate::fixtures::Cluster;
use crate::fixtures::START_UNIX_MS;
use crate::fixtures::cluster;
use crate::fixtures::job;
use crate::fixtures::step;
use crate::fixtures::worker;
use hibiscusbarrow_fleet::job::Job;
use hibiscusbarrow_fleet::job::Objective;
use hibiscusbarrow_fleet::job::Step;
use hibiscusbarrow_fleet::ledger::LearnedTimes;
use hibiscusbarrow_fleet::worker::End;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

/// The digests by seed, from the code before run times were learned.
const DIGESTS: [(u64, u64); 4] = [
    (1, 0xbc4b_8189_01c1_601b),
    (2, 0x679e_99bc_1ab1_f664),
    (3, 0x7647_2e7a_fd51_d2d7),
    (4, 0x13aa_e037_73dd_5ad3),
];

/// Guards against changed decisions in a deployment that does not use learned run times.
#[test]
fn decisions_stay_the_same_while_no_learned_time_is_used() {
    for (seed, expected) in DIGESTS {
        let digest = digest(&mut play(cluster(), seed, GangEnds::Apart));
        assert_eq!(digest, expected, "seed {seed}");
    }
}

/// Guards against jobs that never start, and against starts that break a rule, with all uses of
/// learned run times on.
#[test]
fn all_jobs_end_with_all_uses_of_learned_run_times() {
    let uses = LearnedTimes {
        order: true,
        backfill: true,
        placement: true,
        preemption: true,
        stall: true,
    };
    for seed in 1..4 {
        let mut cluster = play(cluster().with_learned_times(uses), seed, GangEnds::Together);
        cluster.run_time = Some(Duration::from_secs(1));
        cluster.advance(Duration::from_secs(90));

        for (id, (record, _)) in &cluster.stored {
            assert!(record.is_over(), "seed {seed}: {id}");
        }
        assert!(cluster.overfull.is_empty(), "seed {seed}");
        assert!(!cluster.ledger.run_times().is_empty());
    }
}

/// How the members of a gang end.
#[derive(Clone, Copy, Eq, PartialEq)]
enum GangEnds {
    /// Each at its own time; the workers of the others are overfull until they end.
    Apart,
    /// All at once.
    Together,
}

/// Plays a drawn workload of gangs, urgent, guaranteed and late jobs, stops and failures.
fn play(cluster: Cluster, seed: u64, gang_ends: GangEnds) -> Cluster {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut cluster = cluster;
    for n in 0..6 {
        let id = format!("n{n}");
        cluster.add_worker(&id, worker(&format!("w{n}"), &format!("r{}", n % 2)));
    }
    cluster.set_guarantee("agency", 16);
    let mut ends = BTreeMap::new();
    for tick in 0..1_200 {
        if tick < 900 && rng.random_range(0..6) == 0 {
            let number = cluster.stored.len();
            cluster.submit(draw_job(&mut rng, number, cluster.now));
        }
        end_runs(&mut cluster, &mut ends, &mut rng, gang_ends);
        cluster.advance(Duration::from_millis(50));
    }
    cluster
}

fn draw_job(rng: &mut SmallRng, number: usize, now: Duration) -> Job {
    let mut steps = Vec::new();
    for i in 0..rng.random_range(1..4_u32) {
        let after = if i > 0 { vec![i - 1] } else { Vec::new() };
        let rack = if rng.random_range(0..4) == 0 {
            "r1"
        } else {
            ""
        };
        steps.push(Step {
            runtime: rng.random_range(0..6) * 700,
            gang: rng.random_range(0..4) == 0,
            checkpoints: rng.random_range(0..3) == 0,
            rack: rack.into(),
            after,
            ..step(rng.random_range(1..5), rng.random_range(0..6))
        });
    }
    let objective = Objective {
        stretch_percent: 300,
        base_ms: 2_000,
    };
    Job {
        priority: rng.random_range(0..3),
        account: ["agency", "other", "third"][rng.random_range(0..3)].into(),
        objective: (rng.random_range(0..2) == 0).then_some(objective),
        accepted_at: START_UNIX_MS + now.as_millis() as u64,
        ..job(&format!("j{number:04}"), steps)
    }
}

/// Ends each run at a time that is drawn when it is first seen.
fn end_runs(
    cluster: &mut Cluster,
    ends: &mut BTreeMap<(String, u64), Duration>,
    rng: &mut SmallRng,
    gang_ends: GangEnds,
) {
    let now = cluster.now;
    let mut ended = Vec::new();
    for fake in cluster.workers.values_mut() {
        let runs: Vec<_> = fake.running.keys().cloned().collect();
        for run in runs {
            let name = (format!("{:?}", run.0), run.1);
            let drawn = Duration::from_millis(rng.random_range(200..6_000));
            let end = *ends.entry(name).or_insert(now + drawn);
            if now >= end {
                let failed = rng.random_range(0..20) == 0;
                fake.end_run(&run, if failed { End::Failed } else { End::Done });
                ended.push(run);
            }
        }
    }
    if gang_ends == GangEnds::Together {
        for (task, run) in ended {
            cluster.break_gang(&task, run);
        }
    }
}

/// Returns a digest of all starts and stops in their order.
fn digest(cluster: &mut Cluster) -> u64 {
    let mut hasher = Fnv(0xcbf2_9ce4_8422_2325);
    assert!(cluster.starts.len() > 100, "the workload starts too little");
    for (sidecar, start) in &cluster.starts {
        (sidecar.as_str(), format!("{:?}", start.task), start.run).hash(&mut hasher);
    }
    for (sidecar, _, task) in &cluster.stops {
        (sidecar.as_str(), format!("{task:?}")).hash(&mut hasher);
    }
    hasher.finish()
}

/// FNV-1a; unlike the hasher of the standard library, it is the same in all versions.
struct Fnv(u64);

impl Hasher for Fnv {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}
