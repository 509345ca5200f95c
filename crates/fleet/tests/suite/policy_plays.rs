//! Drawn workloads under policies: jobs that have room start, whatever the policy service is like.

use crate::fixtures::Cluster;
use crate::fixtures::cluster;
use crate::fixtures::job;
use crate::fixtures::step;
use crate::fixtures::worker;
use crate::policy_service::PolicyService;
use hibiscusbarrow_fleet::job::Job;
use hibiscusbarrow_fleet::job::Policy;
use hibiscusbarrow_fleet::job::Step;
use hibiscusbarrow_fleet::record::State;
use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use std::collections::BTreeSet;
use std::time::Duration;

const RUN_TIME: Duration = Duration::from_secs(1);
/// The longest time from a free worker to the start of a job without a policy.
const PLAIN_START: Duration = Duration::from_secs(2);
const WORKER_GPUS: u64 = 8;
/// The most workers that one request names. The tokens of two answers may never be valid together,
/// so that a gang on more workers cannot always start.
const NAMED_AT_ONCE: u32 = 100;

/// The parts of a play that are drawn from its seed.
struct Play {
    rng: SmallRng,
    cluster: Cluster,
    stated: Policy,
    workers: u32,
    allowed: u32,
    /// The jobs under a policy that some workers may run.
    jobs: Vec<SmolStr>,
    /// The time that the service takes for a request that names the most workers.
    longest_request: Duration,
}

fn draw(seed: u64) -> Play {
    let mut rng = SmallRng::seed_from_u64(seed);
    let workers = rng.random_range(1_u32..=12).pow(2);
    let stated = Policy {
        decision_ms: rng.random_range(0..300),
        per_worker_ms: rng.random_range(0..5),
        valid_ms: rng.random_range(1..12) * 500,
    };
    // Half of the services are slower than stated, up to 30 times.
    let slowness = if rng.random() {
        1
    } else {
        rng.random_range(2..30)
    };
    let decision_ms = (stated.decision_ms * slowness).min(2_000);
    let per_worker_ms = (stated.per_worker_ms * slowness).min(10);
    let mut service = PolicyService::new(decision_ms, per_worker_ms);
    service.validity = Duration::from_millis(stated.valid_ms);
    service.skips_given_up = rng.random();
    let mut cluster = cluster();
    for n in 0..workers {
        cluster.add_worker(&format!("n{n:03}"), worker(&format!("w{n:03}"), "r1"));
    }
    let mut ids: Vec<u32> = (0..workers).collect();
    let denied = if rng.random() {
        0
    } else {
        rng.random_range(0..workers)
    };
    for _ in 0..denied {
        let n = ids.swap_remove(rng.random_range(0..ids.len()));
        service.denied.insert(format_smolstr!("w{n:03}"));
    }
    let longest_request = service.decision + service.per_worker * workers.min(100);
    cluster.policy = Some(service);
    cluster.run_time = Some(RUN_TIME);
    cluster.advance(Duration::from_millis(300));
    Play {
        rng,
        cluster,
        stated,
        workers,
        allowed: workers - denied,
        jobs: Vec::new(),
        longest_request,
    }
}

impl Play {
    /// Submits jobs under a policy in a burst or one after the other, beside some that it denies
    /// all workers.
    fn submit(&mut self) {
        let pause = if self.rng.random() { 0 } else { 1_000 };
        for number in 0..self.rng.random_range(1..20) {
            let is_denied = self.rng.random_range(0..3) == 0;
            let id = format_smolstr!("job{number}");
            let gpus = self.rng.random_range(1..=WORKER_GPUS);
            let gang = self.rng.random_range(0..4) == 0;
            let most = if gang { NAMED_AT_ONCE } else { u32::MAX };
            let capacity = self.allowed.min(most) * (WORKER_GPUS / gpus) as u32;
            let drawn = Step {
                gang,
                ..step(self.rng.random_range(1..=capacity.min(200)), gpus)
            };
            self.cluster.submit(Job {
                account: if is_denied {
                    "denied".into()
                } else {
                    "agency".into()
                },
                policy: Some(self.stated),
                ..job(&id, vec![drawn])
            });
            if is_denied {
                let service = self.cluster.policy.as_mut();
                service.expect("it exists").denied_jobs.insert(id);
            } else {
                self.jobs.push(id);
            }
            let pause = self.rng.random_range(0..=pause);
            self.cluster.advance(Duration::from_millis(pause));
        }
        if self.rng.random_range(0..4) == 0 {
            self.cluster.replace_placer();
        }
    }

    /// Returns how long all jobs may take: each asks about all workers and once more for tokens,
    /// the denied ones between, and they run one after the other.
    fn time_limit(&self) -> Duration {
        let requests = self.workers.div_ceil(30) + 2;
        let jobs = self.cluster.stored.len() as u32;
        let approvals = (self.longest_request + Duration::from_millis(100)) * requests * 2 * jobs;
        let runs = (RUN_TIME + PLAIN_START) * 4 * jobs;
        Duration::from_secs(20) + approvals + runs
    }

    fn open_jobs(&self) -> BTreeSet<&SmolStr> {
        let is_open = |id: &&SmolStr| self.cluster.state(id) != State::Completed;
        self.jobs.iter().filter(is_open).collect()
    }
}

fn play(seed: u64) -> Result<(), TestCaseError> {
    let mut play = draw(seed);

    play.submit();
    let end = play.cluster.now + play.time_limit();
    while play.cluster.now < end && !play.open_jobs().is_empty() {
        play.cluster.advance(Duration::from_secs(1));
    }

    let open = play.open_jobs();
    let (workers, allowed) = (play.workers, play.allowed);
    prop_assert!(
        open.is_empty(),
        "{} workers, {} allowed, {:?}, a request takes up to {:?}: open are {:?}",
        workers,
        allowed,
        play.stated,
        play.longest_request,
        open
    );
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: crate::model::cases() / 4, ..ProptestConfig::default() })]

    /// Requests to the policy service that did not follow what it manages to do, or what steps can
    /// use, kept jobs from starting.
    #[test]
    fn jobs_under_a_policy_start_whatever_its_service_is_like(seed in any::<u64>()) {
        play(seed)?;
    }
}
