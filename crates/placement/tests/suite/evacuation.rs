//! Evacuated failure domains: no new work there, running gangs go on, guarantees move.

use crate::fixtures::*;
use hibiscusbarrow_placement::*;
use proptest::prelude::*;
use smol_str::SmolStr;
use std::collections::BTreeSet;

/// Returns a scheduler over two failure domains, `d0` and `d1`, of `count` whole workers each.
fn two_domains(count: usize, accounts: Vec<AccountSpec>, policy: Policy) -> Scheduler {
    let mut scheduler = Scheduler::new(policy);
    for domain in ["d0", "d1"] {
        for i in 0..count {
            let name = format!("{domain}-{i}");
            scheduler.add_worker(WorkerSpec::new(name, domain, domain, 8));
        }
    }
    scheduler.set_accounts(accounts).expect("the accounts fit");
    scheduler
}

/// Evacuates exactly these domains.
fn evacuate(scheduler: &mut Scheduler, domains: &[&str]) {
    scheduler.set_evacuated(domains.iter().map(|d| SmolStr::from(*d)).collect());
}

/// Submits a gang of an account, which runs it if there is room, and returns its key.
fn run(scheduler: &mut Scheduler, name: &str, account: &str, shape: Shape, count: u32) -> JobKey {
    let key = scheduler.submit(Job::new(name, account, shape, count).urgent(true), at(0));
    run_passes(scheduler, at(0));
    key
}

/// Returns the failure domains in which a job has cells.
fn domains_of(scheduler: &Scheduler, key: JobKey) -> BTreeSet<String> {
    let job = scheduler.job(key).expect("the job has not ended");
    let domain = |c: &Cell| scheduler.grid().spec(c.worker).domain.to_string();
    job.cells.iter().map(domain).collect()
}

fn set(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(ToString::to_string).collect()
}

/// Guards against borrowers and claims on workers of an evacuated domain, and against jobs that
/// do not return there after the cancellation.
#[test]
fn new_gangs_go_around_the_domain_until_the_cancellation() {
    let accounts = vec![account("a", &[(Shape::Worker, 1)]), account("b", &[])];
    let mut scheduler = two_domains(2, accounts, guarantees_only());
    evacuate(&mut scheduler, &["d0"]);

    let claim = run(&mut scheduler, "claim", "a", Shape::Worker, 1);
    let borrower = run(&mut scheduler, "borrower", "b", Shape::Quad, 2);
    let waiting = run(&mut scheduler, "waiting", "b", Shape::Worker, 1);
    let wide = run(&mut scheduler, "wide", "b", Shape::Worker, 3);

    assert_eq!(domains_of(&scheduler, claim), set(&["d1"]));
    assert_eq!(domains_of(&scheduler, borrower), set(&["d1"]));
    assert_eq!(domains_of(&scheduler, waiting), set(&[]));
    assert!(scheduler.waiting_reason(waiting).contains("evacuated: d0"));
    let state = &scheduler.job(wide).expect("it waits").state;
    assert!(matches!(state, JobState::Parked(reason) if reason.contains("evacuated: d0")));
    evacuate(&mut scheduler, &[]);
    run_passes(&mut scheduler, at(1));
    assert_eq!(domains_of(&scheduler, waiting), set(&["d0"]));
    let state = &scheduler.job(wide).expect("it waits").state;
    assert_eq!(state, &JobState::Waiting);
}

/// Guards against claims on the rest of a guaranteed cell that is bound in the domain: the
/// account's next gang is covered by its guarantee and must get it elsewhere.
#[test]
fn guarantee_bound_in_the_domain_is_reclaimed_elsewhere() {
    let accounts = vec![account("a", &[(Shape::Worker, 1)]), account("b", &[])];
    let mut scheduler = two_domains(1, accounts, guarantees_only());
    let first = run(&mut scheduler, "first", "a", Shape::Quad, 1);
    let home = domains_of(&scheduler, first).pop_first().expect("it runs");
    let other = if home == "d0" { "d1" } else { "d0" };
    run(&mut scheduler, "borrower", "b", Shape::Worker, 1);

    evacuate(&mut scheduler, &[&home]);
    let second = run(&mut scheduler, "second", "a", Shape::Quad, 1);

    assert_eq!(domains_of(&scheduler, second), set(&[other]));
    assert!(scheduler.job(second).expect("it runs").guaranteed);
    assert_eq!(domains_of(&scheduler, first), set(&[&home]));
}

/// Guards against an evacuation that stops what runs, and against one that counts a running
/// gang's cells as free once it has ended there.
#[test]
fn running_gangs_go_on_and_their_cells_stay_closed() {
    let accounts = vec![account("a", &[(Shape::Worker, 2)]), account("b", &[])];
    let mut scheduler = two_domains(1, accounts, guarantees_only());
    let wide = run(&mut scheduler, "wide", "a", Shape::Worker, 2);

    evacuate(&mut scheduler, &["d0"]);
    run(&mut scheduler, "next", "b", Shape::Accelerator, 1);

    assert_eq!(scheduler.pass(at(1)), []);
    assert_eq!(
        scheduler.job(wide).expect("it runs").state,
        JobState::Placed
    );
    assert_eq!(domains_of(&scheduler, wide), set(&["d0", "d1"]));
    scheduler.finished(wide, at(2));
    assert_eq!(run_passes(&mut scheduler, at(2)), ["next"]);
    let next = scheduler.key("next").expect("it runs");
    assert_eq!(domains_of(&scheduler, next), set(&["d1"]));
}

/// Guards against a gang that keeps cells claimed in the domain while borrowers on them stop,
/// and starts there when they have.
#[test]
fn claimed_gang_that_has_not_started_is_placed_elsewhere() {
    let accounts = vec![account("a", &[(Shape::Worker, 1)]), account("b", &[])];
    let mut scheduler = two_domains(1, accounts, guarantees_only());
    run(&mut scheduler, "b0", "b", Shape::Worker, 1);
    run(&mut scheduler, "b1", "b", Shape::Worker, 1);
    let key = scheduler.submit(Job::new("claim", "a", Shape::Worker, 1).urgent(true), at(1));
    scheduler.pass(at(1));
    let claimed = domains_of(&scheduler, key).pop_first().expect("it claims");
    let other = if claimed == "d0" { "d1" } else { "d0" };

    evacuate(&mut scheduler, &[&claimed]);
    for name in ["b0", "b1"] {
        let borrower = scheduler.key(name).expect("it runs");
        scheduler.released(borrower);
    }
    run_passes(&mut scheduler, at(2));

    assert_eq!(domains_of(&scheduler, key), set(&[other]));
}

/// Guards against a gang that was placed before the request and started in the domain after it,
/// and against a start of a part of it.
#[test]
fn placed_gang_that_has_not_started_is_withdrawn_whole() {
    let mut scheduler = two_domains(2, vec![account("a", &[])], guarantees_only());
    let key = run(&mut scheduler, "wide", "a", Shape::Worker, 3);
    evacuate(&mut scheduler, &["d0"]);

    scheduler.withdraw(key);

    let reason = "domain evacuated";
    assert_eq!(scheduler.pass(at(1)), [Decision::Stop { job: key, reason }]);
    scheduler.released(key);
    assert_eq!(run_passes(&mut scheduler, at(1)), Vec::<String>::new());
    evacuate(&mut scheduler, &[]);
    assert_eq!(run_passes(&mut scheduler, at(2)), ["wide"]);
}

/// Guards against a reservation in the domain, which keeps the oldest gang waiting for cells
/// that it never gets.
#[test]
fn reservation_in_the_domain_is_given_up() {
    let policy = Policy {
        preempt_after: None,
        ..Policy::default()
    };
    let mut scheduler = two_domains(2, vec![account("a", &[])], policy);
    let small: Vec<JobKey> = (0..4)
        .map(|i| run(&mut scheduler, &format!("s{i}"), "a", Shape::Worker, 1))
        .collect();
    let wide = run(&mut scheduler, "wide", "a", Shape::Worker, 2);
    run_passes(&mut scheduler, at(100));

    evacuate(&mut scheduler, &["d0"]);
    scheduler.submit(Job::new("late", "a", Shape::Worker, 1), at(101));
    run_passes(&mut scheduler, at(101));
    let in_d1 = |key: &&JobKey| domains_of(&scheduler, **key) == set(&["d1"]);
    let ended: Vec<JobKey> = small.iter().filter(in_d1).copied().collect();
    for (i, key) in ended.iter().enumerate() {
        scheduler.finished(*key, at(102 + i as u64));
        run_passes(&mut scheduler, at(102 + i as u64));
    }

    assert_eq!(domains_of(&scheduler, wide), set(&["d1"]));
}

/// Guards against a shortfall that is not reported, and one that stays after the cancellation.
#[test]
fn guarantees_that_no_longer_fit_are_reported_as_shortfall() {
    let accounts = vec![account("a", &[(Shape::Worker, 3)])];
    let mut scheduler = two_domains(2, accounts, guarantees_only());
    let lacking = |s: &Scheduler| s.quotas().shortfall(s.grid()).accelerators();
    assert_eq!(lacking(&scheduler), 0);

    evacuate(&mut scheduler, &["d1"]);
    let while_evacuated = lacking(&scheduler);
    evacuate(&mut scheduler, &[]);

    assert_eq!((while_evacuated, lacking(&scheduler)), (8, 0));
}

/// Guards against a guaranteed gang that goes through an evacuation and is preempted after it
/// by another account's claim, as if it had borrowed its cells.
#[test]
fn gang_that_ran_through_the_evacuation_has_its_guarantee_again() {
    let quota = [(Shape::Worker, 1)];
    let accounts = vec![
        account("a", &quota),
        account("b", &quota),
        account("c", &[]),
    ];
    let mut scheduler = two_domains(1, accounts, guarantees_only());
    let kept = run(&mut scheduler, "kept", "a", Shape::Worker, 1);
    let home = domains_of(&scheduler, kept).pop_first().expect("it runs");
    run(&mut scheduler, "borrower", "c", Shape::Worker, 1);

    evacuate(&mut scheduler, &[&home]);
    run_passes(&mut scheduler, at(1));
    evacuate(&mut scheduler, &[]);
    let claim = run(&mut scheduler, "claim", "b", Shape::Worker, 1);

    let job = scheduler.job(kept).expect("it runs");
    assert_eq!(
        (job.state.clone(), job.guaranteed),
        (JobState::Placed, true)
    );
    assert_ne!(domains_of(&scheduler, claim), set(&[&home]));
    assert_eq!(scheduler.quotas().unbound().accelerators(), 0);
}

/// Guards against a gang that ends during the evacuation and, when it is released at last,
/// takes away the claim of the next gang on its cells.
#[test]
fn late_release_keeps_the_claim_of_the_next_gang() {
    let quota = [(Shape::Worker, 1)];
    let accounts = vec![account("a", &quota), account("b", &quota)];
    let mut scheduler = two_domains(1, accounts, guarantees_only());
    let first = run(&mut scheduler, "first", "a", Shape::Worker, 1);
    run(&mut scheduler, "beside", "b", Shape::Worker, 1);
    let home = domains_of(&scheduler, first).pop_first().expect("it runs");
    scheduler.finished(first, at(1));
    scheduler.pass(at(1));

    evacuate(&mut scheduler, &[&home]);
    evacuate(&mut scheduler, &[]);
    let next = scheduler.submit(Job::new("next", "a", Shape::Worker, 1).urgent(true), at(2));
    scheduler.pass(at(2));
    scheduler.released(first);
    run_passes(&mut scheduler, at(3));

    let cell = scheduler.job(next).expect("it runs").cells[0];
    assert_eq!(scheduler.grid().claimed_mask(cell.worker), 0xff);
}

/// Guards against a gang that is released before a pass has returned its stop: the stop would
/// undo the next start, and the job would hold its cells without ever running.
#[test]
fn gang_released_before_its_stop_is_passed_starts_again() {
    let mut scheduler = two_domains(1, vec![account("a", &[])], guarantees_only());
    let key = run(&mut scheduler, "early", "a", Shape::Worker, 1);
    scheduler.withdraw(key);

    scheduler.released(key);

    assert_eq!(run_passes(&mut scheduler, at(1)), ["early"]);
}

/// Guards against a new placer that forgets the guarantee of a gang that reaches into the
/// domain, and against a worker that joins there and gets work.
#[test]
fn new_placer_adopts_gangs_and_closes_workers_that_join() {
    let accounts = vec![account("a", &[(Shape::Worker, 2)]), account("b", &[])];
    let mut scheduler = two_domains(1, accounts, guarantees_only());
    evacuate(&mut scheduler, &["d0"]);
    let held = |worker| Cell {
        worker: WorkerKey(worker),
        mask: 0xff,
    };

    let job = Job::new("wide", "a", Shape::Worker, 2);
    let wide = scheduler.adopt(job, vec![held(0), held(1)], at(0));
    scheduler.add_worker(WorkerSpec::new("d0-9", "d0", "d0", 8));
    let waiting = run(&mut scheduler, "waiting", "b", Shape::Accelerator, 1);

    assert!(scheduler.job(wide).expect("it runs").guaranteed);
    assert_eq!(scheduler.grid().claimed_mask(WorkerKey(1)), 0xff);
    assert_eq!(domains_of(&scheduler, waiting), set(&[]));
}

/// One step of a random history.
#[derive(Clone, Debug)]
enum Step {
    Submit(usize, Shape, u32, bool),
    Finish(usize),
    Withdraw(usize),
    Evacuate(bool, bool),
    Fail(u32),
    Join(u32),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..2usize, any_shape(), 1..4u32, any::<bool>())
            .prop_map(|(a, s, c, u)| Step::Submit(a, s, c, u)),
        3 => any::<usize>().prop_map(Step::Finish),
        1 => any::<usize>().prop_map(Step::Withdraw),
        2 => (any::<bool>(), any::<bool>()).prop_map(|(a, b)| Step::Evacuate(a, b)),
        1 => (0..4u32).prop_map(Step::Fail),
        1 => (0..4u32).prop_map(Step::Join),
    ]
}

/// Runs passes to the end, and checks that no gang starts on an evacuated worker.
fn checked_passes(scheduler: &mut Scheduler, now: std::time::Duration) {
    loop {
        let decisions = scheduler.pass(now);
        if decisions.is_empty() {
            return;
        }
        for decision in decisions {
            match decision {
                Decision::Start { cells, .. } => {
                    let closed = |c: &Cell| scheduler.grid().is_evacuated(c.worker);
                    assert!(!cells.iter().any(closed), "a gang starts in the domain");
                }
                Decision::Stop { job, .. } => scheduler.released(job),
            }
        }
    }
}

proptest! {
    #![proptest_config(fixed_seed(600))]

    /// Guards against starts in evacuated domains in any order of events, and against claims
    /// and bindings that are lost or counted twice: in the end every guarantee is unbound.
    #[test]
    fn no_order_of_events_starts_work_there_or_leaks_a_guarantee(
        steps in prop::collection::vec(any_step(), 1..40),
    ) {
        let accounts = vec![
            account("a", &[(Shape::Worker, 1), (Shape::Quad, 1)]),
            account("b", &[(Shape::Pair, 2)]),
        ];
        let mut scheduler = two_domains(2, accounts, Policy::default());
        let guaranteed = scheduler.quotas().unbound().accelerators();
        for (i, step) in steps.into_iter().enumerate() {
            let now = at(20 * i as u64);
            let live: Vec<JobKey> = scheduler.jobs().map(|(key, _)| key).collect();
            let chosen = |index: usize| live.get(index % live.len().max(1)).copied();
            match step {
                Step::Submit(account, shape, count, urgent) => {
                    let job = Job::new(format!("j{i}"), ["a", "b"][account], shape, count);
                    scheduler.submit(job.urgent(urgent), now);
                }
                Step::Finish(index) => {
                    if let Some(key) = chosen(index) {
                        scheduler.finished(key, now);
                    }
                }
                Step::Withdraw(index) => {
                    if let Some(key) = chosen(index) {
                        scheduler.withdraw(key);
                    }
                }
                Step::Evacuate(first, second) => {
                    let domains = [("d0", first), ("d1", second)];
                    let chosen = domains.iter().filter(|d| d.1);
                    scheduler.set_evacuated(chosen.map(|d| d.0.into()).collect());
                }
                Step::Fail(worker) => scheduler.fail_worker(WorkerKey(worker)),
                Step::Join(worker) => {
                    let spec = scheduler.grid().spec(WorkerKey(worker)).clone();
                    scheduler.add_worker(spec);
                }
            }
            checked_passes(&mut scheduler, now);
        }
        let live: Vec<JobKey> = scheduler.jobs().map(|(key, _)| key).collect();
        for key in live {
            scheduler.cancel(key);
        }
        checked_passes(&mut scheduler, at(10_000));
        evacuate(&mut scheduler, &[]);
        let grid = scheduler.grid();
        prop_assert_eq!(scheduler.quotas().unbound().accelerators(), guaranteed);
        for worker in grid.workers() {
            prop_assert_eq!(grid.bound_mask(worker) | grid.claimed_mask(worker), 0);
            prop_assert_eq!(grid.used_mask(worker), 0);
        }
    }
}
