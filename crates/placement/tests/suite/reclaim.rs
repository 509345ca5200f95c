//! Guarantees under random operations, checked against an exhaustive search.

use crate::fixtures::*;
use hibiscusbarrow_placement::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

/// A worker fails and returns before the gang on it has stopped, and another gang claims the
/// cell in the meantime. The late end of the first gang must not release that claim.
#[test]
fn late_release_of_a_lost_gang_keeps_the_claim_of_its_successor() {
    let accounts = vec![
        account("a", &[(Shape::Worker, 1)]),
        account("b", &[(Shape::Worker, 1)]),
    ];
    let policy = Policy {
        borrow_first: false,
        ..guarantees_only()
    };
    let mut scheduler = scheduler(&[8, 8], accounts, policy);
    let first = scheduler.submit(Job::new("first", "a", Shape::Worker, 1), at(0));
    run_passes(&mut scheduler, at(0));
    let worker = scheduler.job(first).expect("it runs").cells[0].worker;
    scheduler.fail_worker(worker);
    let _stops = scheduler.pass(at(1));
    let spec = scheduler.grid().spec(worker).clone();
    scheduler.add_worker(spec);
    for name in ["second", "third"] {
        let account = if name == "second" { "a" } else { "b" };
        scheduler.submit(Job::new(name, account, Shape::Worker, 1), at(2));
    }
    scheduler.pass(at(2));
    let claimed = scheduler.grid().claimed_mask(worker);

    scheduler.released(first);

    assert_eq!(claimed, 0xff, "no gang claims the returned worker");
    assert_eq!(scheduler.grid().claimed_mask(worker), claimed);
}

/// One operation of a random history.
#[derive(Clone, Debug)]
enum Step {
    Submit {
        account: usize,
        shape: Shape,
        count: u32,
    },
    Finish(usize),
    Cancel(usize),
    Fail(usize),
    Restore(usize),
    Renew {
        account: usize,
        shape: Shape,
    },
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..3usize, any_shape(), 1..4u32)
            .prop_map(|(account, shape, count)| Step::Submit { account, shape, count }),
        4 => (0..40usize).prop_map(Step::Finish),
        1 => (0..40usize).prop_map(Step::Cancel),
        1 => (0..4usize).prop_map(Step::Fail),
        2 => (0..4usize).prop_map(Step::Restore),
        1 => (0..2usize, any_shape()).prop_map(|(account, shape)| Step::Renew { account, shape }),
    ]
}

/// Applies operations to a scheduler and records the accepted quotas.
struct History {
    scheduler: Scheduler,
    accounts: Vec<AccountSpec>,
    submitted: usize,
    now: u64,
}

impl History {
    fn new(borrow_first: bool) -> Self {
        let policy = Policy {
            borrow_first,
            ..guarantees_only()
        };
        let accounts = vec![
            account("a", &[(Shape::Worker, 1), (Shape::Pair, 1)]),
            account("b", &[(Shape::Quad, 2)]),
            account("c", &[]),
        ];
        Self {
            scheduler: scheduler(&[8, 8, 8, 4], accounts.clone(), policy),
            accounts,
            submitted: 0,
            now: 0,
        }
    }

    fn step(&mut self, step: &Step) {
        self.now += 10;
        let now = at(self.now);
        match step {
            Step::Submit {
                account,
                shape,
                count,
            } => {
                self.submitted += 1;
                let name = format!("j{}", self.submitted);
                let account = self.accounts[*account].name.clone();
                self.scheduler
                    .submit(Job::new(name, account, *shape, *count), now);
            }
            Step::Finish(n) => {
                if let Some(key) = self.pick(*n, |j| j.state == JobState::Placed) {
                    self.scheduler.finished(key, now);
                }
            }
            Step::Cancel(n) => {
                if let Some(key) = self.pick(*n, |_| true) {
                    self.scheduler.cancel(key);
                }
            }
            Step::Fail(w) => {
                let key = WorkerKey(*w as u32);
                if self.scheduler.grid().is_up(key) {
                    self.scheduler.fail_worker(key);
                }
            }
            Step::Restore(w) => {
                let spec = self.scheduler.grid().spec(WorkerKey(*w as u32)).clone();
                self.scheduler.add_worker(spec);
            }
            Step::Renew { account, shape } => self.renew(*account, *shape),
        }
        run_passes(&mut self.scheduler, now);
    }

    fn renew(&mut self, account: usize, shape: Shape) {
        let mut accounts = self.accounts.clone();
        accounts[account].quota.push(ShapeCount { shape, count: 1 });
        if self.scheduler.set_accounts(accounts.clone()).is_ok() {
            self.accounts = accounts;
        }
    }

    fn pick(&self, n: usize, wanted: impl Fn(&Job) -> bool) -> Option<JobKey> {
        let live: Vec<JobKey> = self
            .scheduler
            .jobs()
            .filter(|(_, job)| wanted(job))
            .map(|(key, _)| key)
            .collect();
        (!live.is_empty()).then(|| live[n % live.len()])
    }

    /// Returns whether all unbound guaranteed shapes fit outside the bindings, by search.
    fn is_safe_by_search(&self) -> bool {
        let grid = self.scheduler.grid();
        let free: Vec<u8> = grid.workers().map(|w| grid.unbound_mask(w)).collect();
        fits_by_search(&free, &expand(self.scheduler.quotas().unbound()))
    }

    /// Checks that each accelerator has at most one user and each gang has all its cells.
    fn check_gangs(&self) -> Result<(), TestCaseError> {
        let mut assigned = BTreeMap::new();
        for (key, job) in self.scheduler.jobs() {
            if !matches!(job.state, JobState::Placed | JobState::Claimed) {
                prop_assert!(
                    job.cells.is_empty(),
                    "{} has cells but is neither claimed nor placed",
                    job.name
                );
                continue;
            }
            prop_assert_eq!(
                job.cells.len() as u32,
                job.count,
                "{} does not have all its cells",
                job.name
            );
            for cell in &job.cells {
                let users = self.scheduler.grid().users(*cell);
                prop_assert_eq!(users, vec![key], "{} does not hold its cell", job.name);
                let used = assigned.entry(cell.worker).or_insert(0u8);
                prop_assert_eq!(*used & cell.mask, 0, "accelerators are assigned twice");
                *used |= cell.mask;
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(fixed_seed(1000))]

    #[test]
    fn gangs_are_whole_and_is_safe_agrees_with_search(
        steps in prop::collection::vec(any_step(), 1..40),
        borrow_first in any::<bool>(),
    ) {
        let mut history = History::new(borrow_first);
        for step in &steps {
            history.step(step);

            let grid = history.scheduler.grid();
            let safe = history.scheduler.quotas().is_safe(grid);
            prop_assert_eq!(safe, history.is_safe_by_search());
            history.check_gangs()?;
        }
    }

    #[test]
    fn state_stays_safe_while_no_worker_fails(
        steps in prop::collection::vec(any_step(), 1..40),
        borrow_first in any::<bool>(),
    ) {
        let mut history = History::new(borrow_first);
        for step in steps.iter().filter(|s| !matches!(s, Step::Fail(_))) {
            history.step(step);

            let grid = history.scheduler.grid();
            prop_assert!(history.scheduler.quotas().is_safe(grid));
        }
    }

    /// A new placer knows the cells of running gangs but not the bindings of the old
    /// one; bindings chosen badly could leave a guarantee that cannot be packed.
    #[test]
    fn adopted_gangs_keep_the_state_safe(
        steps in prop::collection::vec(any_step(), 1..40),
        borrow_first in any::<bool>(),
    ) {
        let mut history = History::new(borrow_first);
        for step in steps.iter().filter(|s| !matches!(s, Step::Fail(_))) {
            history.step(step);
        }
        let mut successor = scheduler(&[8, 8, 8, 4], vec![], guarantees_only());
        successor.restore_accounts(history.accounts.clone()).expect("nothing shrinks");

        for (_, job) in history.scheduler.jobs().filter(|(_, j)| j.state == JobState::Placed) {
            let copy = Job::new(job.name.clone(), job.account.clone(), job.shape, job.count);
            successor.adopt(copy, job.cells.clone(), at(history.now));
        }

        prop_assert!(successor.quotas().is_safe(successor.grid()));
        history.scheduler = successor;
        history.check_gangs()?;
    }

    #[test]
    fn unclaimed_guarantees_can_all_be_claimed_at_once(
        steps in prop::collection::vec(any_step(), 1..30),
        borrow_first in any::<bool>(),
    ) {
        let mut history = History::new(borrow_first);
        for step in &steps {
            history.step(step);
        }
        (0..4).for_each(|w| history.step(&Step::Restore(w)));
        let grid = history.scheduler.grid();
        prop_assume!(history.scheduler.quotas().is_safe(grid));
        let now = at(history.now);
        let mut claims = Vec::new();
        for name in ["a", "b"] {
            for shape in expand(&history.scheduler.quotas().unbound_of(name)) {
                let id = format!("claim-{name}-{}", claims.len());
                history.scheduler.submit(Job::new(id.clone(), name, shape, 1).urgent(true), now);
                claims.push(id);
            }
        }

        run_passes(&mut history.scheduler, now);

        for id in claims {
            let key = history.scheduler.key(&id).expect("the claim is live");
            let placed = history.scheduler.job(key).expect("the claim is live");
            prop_assert!(placed.guaranteed, "{id} does not run under its guarantee");
            prop_assert_eq!(&placed.state, &JobState::Placed);
        }
    }
}

#[test]
fn claim_preempts_borrowers_and_starts_after_their_release() {
    let accounts = vec![account("a", &[(Shape::Worker, 1)]), account("b", &[])];
    let mut scheduler = scheduler(&[8], accounts, guarantees_only());
    let borrower = scheduler.submit(Job::new("borrower", "b", Shape::Pair, 4), at(0));
    run_passes(&mut scheduler, at(0));

    scheduler.submit(Job::new("claim", "a", Shape::Worker, 1), at(1));
    let first = scheduler.pass(at(1));
    scheduler.released(borrower);
    let second = scheduler.pass(at(2));

    let stop = Decision::Stop {
        job: borrower,
        reason: "a guarantee was claimed",
    };
    assert_eq!(first, vec![stop]);
    assert!(matches!(
        second[0],
        Decision::Start {
            guaranteed: true,
            ..
        }
    ));
}

#[test]
fn guaranteed_gang_is_never_preempted_by_another_guarantee() {
    let accounts = vec![
        account("a", &[(Shape::Quad, 2)]),
        account("b", &[(Shape::Quad, 2)]),
    ];
    let mut scheduler = scheduler(&[8, 8], accounts, guarantees_only());
    scheduler.submit(Job::new("a1", "a", Shape::Quad, 2).urgent(true), at(0));
    run_passes(&mut scheduler, at(0));

    scheduler.submit(Job::new("b1", "b", Shape::Quad, 2).urgent(true), at(1));
    let decisions = scheduler.pass(at(1));

    assert!(matches!(
        decisions[..],
        [Decision::Start {
            guaranteed: true,
            ..
        }]
    ));
}

/// The borrower starts on an idle cell first; the claim then needs the whole worker
/// and preempts it before its start is returned.
#[test]
fn borrower_whose_cells_are_claimed_in_the_same_pass_is_not_started() {
    let accounts = vec![account("b", &[]), account("a", &[(Shape::Worker, 1)])];
    let mut scheduler = scheduler(&[8], accounts, guarantees_only());
    let borrower = scheduler.submit(Job::new("borrower", "b", Shape::Accelerator, 1), at(0));
    let claim = scheduler.submit(Job::new("claim", "a", Shape::Worker, 1), at(0));

    let decisions = scheduler.pass(at(0));

    let started: Vec<JobKey> = decisions.iter().map(Decision::job).collect();
    assert_eq!(started, vec![claim]);
    assert_eq!(
        scheduler
            .job(borrower)
            .expect("the job has not ended")
            .state,
        JobState::Waiting
    );
}

#[test]
fn idle_cells_are_borrowed_before_a_shape_is_bound() {
    let accounts = vec![account("a", &[(Shape::Worker, 1)])];
    let mut scheduler = scheduler(&[8, 8], accounts, guarantees_only());

    scheduler.submit(Job::new("small", "a", Shape::Accelerator, 1), at(0));
    let decisions = scheduler.pass(at(0));

    assert!(matches!(
        decisions[..],
        [Decision::Start {
            guaranteed: false,
            ..
        }]
    ));
    assert_eq!(scheduler.quotas().unbound().get(Shape::Worker), 1);
}
