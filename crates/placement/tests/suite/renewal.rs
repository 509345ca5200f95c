//! Renewals of guarantees, which may only grow, within what the hardware can pack.

use crate::fixtures::*;
use hibiscusbarrow_placement::*;

#[test]
fn renewal_that_shrinks_one_shape_is_refused_whole() {
    let current = account("a", &[(Shape::Quad, 2)]);
    let mut scheduler = scheduler(&[8, 8], vec![current], guarantees_only());
    let requested = account("a", &[(Shape::Quad, 1), (Shape::Worker, 1)]);

    let result = scheduler.set_accounts(vec![requested]);

    assert!(matches!(
        result,
        Err(QuotaError::Shrinks {
            current: 2,
            requested: 1,
            ..
        })
    ));
    assert_eq!(scheduler.quotas().unbound().get(Shape::Quad), 2);
}

#[test]
fn renewal_that_omits_a_guaranteed_account_is_refused() {
    let current = vec![account("a", &[(Shape::Pair, 1)]), account("b", &[])];
    let mut scheduler = scheduler(&[8], current, guarantees_only());

    let result = scheduler.set_accounts(vec![account("b", &[])]);

    assert!(matches!(
        result,
        Err(QuotaError::Shrinks { requested: 0, .. })
    ));
}

#[test]
fn renewal_beyond_the_hardware_reports_what_is_missing() {
    let mut scheduler = scheduler(&[8, 4], vec![], guarantees_only());

    let result = scheduler.set_accounts(vec![account("a", &[(Shape::Worker, 2)])]);

    let missing = ShapeCount {
        shape: Shape::Worker,
        count: 1,
    };
    assert_eq!(result, Err(QuotaError::ExceedsHardware(vec![missing])));
}

#[test]
fn shrinking_and_oversized_renewals_are_distinguished() {
    let accounts = vec![account("a", &[(Shape::Quad, 3)]), account("b", &[])];
    let mut scheduler = scheduler(&[8, 8], accounts, guarantees_only());
    for i in 0..3 {
        scheduler.submit(Job::new(format!("q{i}"), "a", Shape::Quad, 1), at(0));
    }
    run_passes(&mut scheduler, at(0));
    let on_first_worker = |job: &Job| job.cells[0].worker == WorkerKey(0);
    let (key, _) = scheduler
        .jobs()
        .find(|(_, j)| on_first_worker(j))
        .expect("a job runs on the first worker");
    scheduler.finished(key, at(1));
    run_passes(&mut scheduler, at(1));

    let requested = account("a", &[(Shape::Quad, 2), (Shape::Worker, 1)]);
    let grown = account("a", &[(Shape::Quad, 3), (Shape::Worker, 1)]);

    assert!(matches!(
        scheduler.set_accounts(vec![requested]),
        Err(QuotaError::Shrinks { .. })
    ));
    assert!(matches!(
        scheduler.set_accounts(vec![grown]),
        Err(QuotaError::ExceedsHardware(_))
    ));
}

#[test]
fn lost_worker_is_a_shortfall_until_it_returns() {
    let current = account("a", &[(Shape::Worker, 2)]);
    let mut scheduler = scheduler(&[8, 8], vec![current], guarantees_only());
    let lost = WorkerKey(1);

    scheduler.fail_worker(lost);
    let missing = scheduler
        .quotas()
        .shortfall(scheduler.grid())
        .get(Shape::Worker);
    let spec = scheduler.grid().spec(lost).clone();
    scheduler.add_worker(spec);
    let restored = scheduler.quotas().shortfall(scheduler.grid());

    assert_eq!(missing, 1);
    assert_eq!(restored, CellCounts::default());
}
