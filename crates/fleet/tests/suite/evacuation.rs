//! Failure domains that operators evacuate: from the bound after a request until its cancellation,
//! nothing starts there.

use crate::fixtures::Cluster;
use crate::fixtures::FakeWorker;
use crate::fixtures::cluster;
use crate::fixtures::job;
use crate::fixtures::step;
use crate::fixtures::worker;
use hibiscusbarrow_fleet::job::Job;
use hibiscusbarrow_fleet::job::Policy;
use hibiscusbarrow_fleet::job::Step;
use hibiscusbarrow_fleet::ledger::Decision;
use hibiscusbarrow_fleet::ledger::Effect;
use hibiscusbarrow_fleet::record::State;
use hibiscusbarrow_fleet::worker::Answer;
use hibiscusbarrow_fleet::worker::Boot;
use hibiscusbarrow_fleet::worker::End;
use hibiscusbarrow_fleet::worker::Order;
use hibiscusbarrow_fleet::worker::Refusal;
use smol_str::SmolStr;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// The stated bound.
const BOUND: Duration = Duration::from_secs(5);
const TICK: Duration = Duration::from_millis(50);
/// Time for the placer to plan and send what it can.
const SETTLE_TIME: Duration = Duration::from_secs(1);

fn worker_in(domain: &str, id: &str) -> FakeWorker {
    FakeWorker {
        domain: domain.into(),
        ..worker(id, "r1")
    }
}

/// Returns a cluster with two workers of 8 accelerators in each of the domains a and b.
fn two_domains() -> Cluster {
    cluster()
        .with_evacuations(BOUND)
        .with_worker("a0", worker_in("a", "wa0"))
        .with_worker("a1", worker_in("a", "wa1"))
        .with_worker("b0", worker_in("b", "wb0"))
        .with_worker("b1", worker_in("b", "wb1"))
}

fn gang(id: &str, count: u32, gpus: u64) -> Job {
    let step = Step {
        gang: true,
        ..step(count, gpus)
    };
    job(id, vec![step])
}

fn domains(names: &[&str]) -> BTreeSet<SmolStr> {
    names.iter().map(|n| SmolStr::from(*n)).collect()
}

/// Returns the number of starts that were sent to workers of a domain.
fn starts_in(cluster: &Cluster, domain: &str) -> usize {
    let sent = cluster.starts.iter();
    sent.filter(|(sidecar, _)| cluster.workers[sidecar].domain == domain)
        .count()
}

fn has_logged(cluster: &Cluster, decision: Decision) -> bool {
    cluster.notes.iter().any(|n| n.decision == decision)
}

/// Returns the sidecars of the starts among effects.
fn started_on(effects: &[Effect]) -> Vec<SmolStr> {
    let start = |e: &Effect| match e {
        Effect::Send {
            sidecar,
            order: Order::Start(_),
            ..
        } => Some(sidecar.clone()),
        _ => None,
    };
    effects.iter().filter_map(start).collect()
}

/// Makes a plan and stores it, and returns the effects instead of carrying them out.
fn planned_effects(cluster: &mut Cluster) -> Vec<Effect> {
    cluster.ledger.plan(cluster.now, 0);
    cluster.commit_all();
    cluster.ledger.take_effects()
}

/// Hands the requests of operators to the placer as if they were confirmed now.
fn set_evacuated(cluster: &mut Cluster, names: &[&str]) {
    cluster.evacuated = domains(names);
    cluster.read_evacuations();
}

/// Guards against starts in a domain that is to be emptied, and against a domain that stays empty
/// after the cancellation.
#[test]
fn nothing_starts_in_an_evacuated_domain_until_the_cancellation() {
    let mut cluster = two_domains();
    cluster.evacuated = domains(&["a"]);

    cluster.submit(job("wide", vec![step(4, 8)]));
    cluster.advance(SETTLE_TIME);

    assert_eq!((starts_in(&cluster, "a"), starts_in(&cluster, "b")), (0, 2));
    assert!(
        !has_logged(&cluster, Decision::Lost),
        "a start was withdrawn"
    );
    cluster.evacuated.clear();
    cluster.advance(SETTLE_TIME);
    assert_eq!((starts_in(&cluster, "a"), starts_in(&cluster, "b")), (2, 2));
    assert!(has_logged(&cluster, Decision::EvacuationBegan));
    assert!(has_logged(&cluster, Decision::EvacuationEnded));
}

/// Stopping work would discard its progress; the request only forbids new work.
#[test]
fn runs_in_an_evacuated_domain_go_on() {
    let mut cluster = two_domains();
    let lasting = Step {
        long_running: true,
        max_per_worker: 1,
        ..step(4, 1)
    };
    cluster.submit(job("lasting", vec![lasting]));
    cluster.submit(gang("gang", 2, 6));
    cluster.advance(SETTLE_TIME);
    let before = (cluster.placements("lasting"), cluster.placements("gang"));

    cluster.evacuated = domains(&["a"]);
    cluster.advance(Duration::from_secs(20));

    let after = (cluster.placements("lasting"), cluster.placements("gang"));
    assert_eq!(before, after);
    assert!(cluster.stops.is_empty(), "{:?}", cluster.stops);
    assert_eq!(cluster.starts.len(), 6);
}

/// A long-running task that ends by itself has to move to another domain, not back.
#[test]
fn long_running_task_that_ends_starts_again_in_another_domain() {
    let mut cluster = cluster()
        .with_evacuations(BOUND)
        .with_worker("a0", worker_in("a", "wa0"));
    let lasting = Step {
        long_running: true,
        ..step(1, 1)
    };
    cluster.submit(job("lasting", vec![lasting]));
    cluster.advance(SETTLE_TIME);
    cluster.add_worker("b0", worker_in("b", "wb0"));
    cluster.evacuated = domains(&["a"]);
    cluster.advance(SETTLE_TIME);

    cluster.end_run("a0", "lasting", 0, End::Failed);
    cluster.advance(Duration::from_secs(5));

    assert_eq!(cluster.placements("lasting"), [(0, "b0".into())]);
}

/// A gang of which some members may not start must not hold the accelerators of the others.
#[test]
fn gang_is_placed_whole_in_other_domains_or_not_at_all() {
    let mut cluster = two_domains();
    cluster.evacuated = domains(&["a"]);

    cluster.submit(gang("fits", 2, 5));
    cluster.submit(gang("too-wide", 4, 3));
    cluster.advance(Duration::from_secs(5));

    assert_eq!(cluster.placements("fits").len(), 2);
    assert_eq!(starts_in(&cluster, "a"), 0);
    assert_eq!(cluster.placements("too-wide"), []);
    let members = cluster.starts.iter();
    let members = members.filter(|(_, s)| s.task.job == "too-wide");
    assert_eq!(members.count(), 0);
}

/// The record with the intent is stored between plan and order. A request that becomes known in
/// that time has to prevent the order, and the record must not name the worker any more.
#[test]
fn start_whose_domain_is_evacuated_while_its_record_is_stored_is_not_sent() {
    let mut cluster = cluster()
        .with_evacuations(BOUND)
        .with_worker("a0", worker_in("a", "wa0"));
    cluster.advance(TICK);
    cluster.submit(job("j", vec![step(1, 1)]));
    cluster.ledger.plan(cluster.now, 0);

    set_evacuated(&mut cluster, &["a"]);
    cluster.commit_all();
    cluster.deliver_orders();

    assert!(cluster.starts.is_empty());
    let progress = cluster.stored["j"].0.progress(0, 0, 0).cloned();
    assert!(progress.is_some_and(|p| p.placement.is_none()));
    cluster.add_worker("b0", worker_in("b", "wb0"));
    cluster.advance(SETTLE_TIME);
    assert_eq!(cluster.placements("j"), [(0, "b0".into())]);
}

/// Orders wait in the placer while its lease is not renewed, and the request may come then.
#[test]
fn order_that_waits_in_the_placer_is_withdrawn() {
    let mut cluster = cluster()
        .with_evacuations(BOUND)
        .with_worker("a0", worker_in("a", "wa0"))
        .with_worker("b0", worker_in("b", "wb0"));
    cluster.read_evacuations();
    cluster.advance(TICK);
    cluster.submit(job("two", vec![step(2, 8)]));
    let queued = planned_effects(&mut cluster);
    assert_eq!(started_on(&queued).len(), 2);

    set_evacuated(&mut cluster, &["a"]);
    let kept = cluster.ledger.recheck_starts(queued, cluster.now);

    assert_eq!(started_on(&kept), ["b0"]);
    cluster.commit_all();
    let named = (0..2).filter_map(|i| cluster.stored["two"].0.progress(0, 0, i));
    let named: Vec<SmolStr> = named
        .filter_map(|p| Some(p.placement.as_ref()?.sidecar.clone()))
        .collect();
    assert_eq!(named, ["b0"]);
}

/// Of a gang with members in two domains, none may be sent once one of the domains is evacuated.
#[test]
fn waiting_orders_of_a_gang_are_withdrawn_together() {
    let mut cluster = cluster()
        .with_evacuations(BOUND)
        .with_worker("a0", worker_in("a", "wa0"))
        .with_worker("b0", worker_in("b", "wb0"));
    cluster.read_evacuations();
    cluster.advance(TICK);
    cluster.submit(gang("gang", 2, 8));
    let queued = planned_effects(&mut cluster);
    assert_eq!(started_on(&queued).len(), 2);

    set_evacuated(&mut cluster, &["a"]);
    let kept = cluster.ledger.recheck_starts(queued, cluster.now);

    assert!(started_on(&kept).is_empty(), "{kept:?}");
    let later = cluster.ledger.take_effects();
    let is_send = |e: &&Effect| matches!(e, Effect::Send { .. });
    assert_eq!(later.iter().filter(is_send).count(), 0, "{later:?}");
    cluster.evacuated.clear();
    cluster.advance(SETTLE_TIME);
    assert_eq!(cluster.placements("gang").len(), 2);
}

/// A placer that cannot read the requests does not know of a new one, and has to stop starting work
/// in time: an order that it sends can be in transit for 2,400 ms, and the worker takes 500 ms.
#[test]
fn placer_starts_nothing_while_its_knowledge_is_too_old() {
    let mut cluster = two_domains();
    cluster.advance(SETTLE_TIME);
    let confirmed = cluster.now;
    cluster.is_cut_off = true;
    let mut last = None;

    for number in 0..100 {
        cluster.submit(job(&format!("j{number}"), vec![step(1, 0)]));
        let before = cluster.starts.len();
        cluster.advance(TICK);
        if cluster.starts.len() > before {
            last = Some(cluster.now);
        }
    }

    let last = last.expect("some jobs started");
    assert!(last - confirmed >= Duration::from_millis(2_000), "{last:?}");
    assert!(
        last - confirmed < BOUND - Duration::from_millis(2_900),
        "{last:?}"
    );
    assert!(has_logged(&cluster, Decision::StartsPaused));
    cluster.is_cut_off = false;
    cluster.advance(SETTLE_TIME);
    assert_eq!(cluster.starts.len(), 100);
    assert!(has_logged(&cluster, Decision::StartsResumed));
}

/// Orders that wait in the placer must not be sent once its knowledge has become too old.
#[test]
fn order_that_waits_until_the_knowledge_is_too_old_is_withdrawn() {
    let mut cluster = two_domains();
    cluster.advance(TICK);
    cluster.submit(job("j", vec![step(1, 1)]));
    let queued = planned_effects(&mut cluster);
    assert_eq!(started_on(&queued).len(), 1);

    let later = cluster.now + Duration::from_millis(2_200);
    let kept = cluster.ledger.recheck_starts(queued, later);

    assert!(started_on(&kept).is_empty(), "{kept:?}");
}

/// A new placer that has not read the requests yet would start work in a domain that was evacuated
/// before it took over.
#[test]
fn new_placer_starts_nothing_before_it_has_read_the_requests() {
    let mut cluster = two_domains();
    cluster.evacuated = domains(&["a"]);
    cluster.advance(SETTLE_TIME);
    cluster.is_cut_off = true;

    cluster.replace_placer();
    cluster.submit(job("wide", vec![step(4, 8)]));
    cluster.advance(SETTLE_TIME);

    assert_eq!(cluster.starts.len(), 0);
    // A plan without knowledge would also be withdrawn, after writes to the store at each attempt.
    assert!(!has_logged(&cluster, Decision::Placed));
    cluster.is_cut_off = false;
    cluster.advance(SETTLE_TIME);
    assert_eq!((starts_in(&cluster, "a"), starts_in(&cluster, "b")), (0, 2));
}

/// An order can be sent just before the request is known, and be delayed on a link. Its latest time
/// lies within the bound after the reading, whatever the worker's clock shows.
#[test]
fn latest_time_of_a_start_lies_within_the_bound_after_the_reading() {
    let mut cluster = two_domains();
    cluster.advance(SETTLE_TIME);
    let confirmed = cluster.now;
    cluster.is_cut_off = true;

    cluster.advance(Duration::from_millis(1_900));
    cluster.submit(job("j", vec![step(1, 1)]));
    cluster.advance(TICK);

    let (_, start) = &cluster.starts[0];
    // The clock of the fixture's workers is that of the placer.
    let latest = Duration::from_millis(start.latest.expect("the start has a latest time"));
    let handover = Duration::from_millis(500);
    assert!(latest + handover <= confirmed + BOUND, "{latest:?}");
    assert!(
        latest >= cluster.now + Duration::from_millis(2_300),
        "{latest:?}"
    );
}

/// A start that the sidecar refuses as too late has to be given up and placed again, and must not
/// count as a failed attempt.
#[test]
fn task_whose_start_is_refused_as_too_late_starts_again() {
    let mut cluster = two_domains();
    cluster.advance(TICK);
    cluster.submit(job("j", vec![step(1, 1)]));
    let queued = planned_effects(&mut cluster);
    let Some(Effect::Send {
        sidecar,
        boot,
        order,
    }) = queued
        .iter()
        .find(|e| !started_on(std::slice::from_ref(*e)).is_empty())
    else {
        panic!("no start: {queued:?}");
    };

    let late = Answer::Refused(Refusal::Late);
    let now = cluster.now;
    cluster
        .ledger
        .handle_answer(sidecar, boot, order, &late, false, now);
    cluster.advance(Duration::from_secs(5));

    assert_eq!(cluster.placements("j").len(), 1);
    let progress = cluster.stored["j"].0.progress(0, 0, 0);
    assert_eq!(progress.map(|p| p.failures), Some(0));
}

/// Guards against a set that is replaced by the newest request instead of extended.
#[test]
fn two_domains_are_evacuated_at_once() {
    let mut cluster = two_domains().with_worker("c0", worker_in("c", "wc0"));
    cluster.evacuated = domains(&["a"]);
    cluster.advance(TICK);

    cluster.evacuated = domains(&["a", "b"]);
    cluster.submit(job("wide", vec![step(5, 8)]));
    cluster.advance(SETTLE_TIME);

    assert_eq!(cluster.starts.len(), 1);
    assert_eq!(starts_in(&cluster, "c"), 1);
    cluster.evacuated = domains(&["b"]);
    cluster.advance(SETTLE_TIME);
    assert_eq!((starts_in(&cluster, "a"), starts_in(&cluster, "b")), (2, 0));
}

/// A request that is cancelled and made again at once must not be lost with the cancellation.
#[test]
fn request_that_is_cancelled_and_made_again_is_in_force() {
    let mut cluster = two_domains();
    set_evacuated(&mut cluster, &["a"]);
    cluster.advance(TICK);

    set_evacuated(&mut cluster, &[]);
    set_evacuated(&mut cluster, &["a"]);
    cluster.submit(job("wide", vec![step(4, 8)]));
    cluster.advance(SETTLE_TIME);

    assert_eq!((starts_in(&cluster, "a"), starts_in(&cluster, "b")), (0, 2));
}

/// A worker that restarts in an evacuated domain, and one that joins it, get no work either.
#[test]
fn workers_that_restart_or_join_in_an_evacuated_domain_get_no_work() {
    let mut cluster = two_domains();
    cluster.evacuated = domains(&["a"]);
    cluster.advance(SETTLE_TIME);

    let restarted = cluster.workers.get_mut("a0").expect("the worker exists");
    restarted.restart("wa0x");
    cluster.add_worker("a2", worker_in("a", "wa2"));
    cluster.submit(job("wide", vec![step(8, 8)]));
    cluster.advance(Duration::from_secs(5));

    assert_eq!((starts_in(&cluster, "a"), starts_in(&cluster, "b")), (0, 2));
}

/// Without capacity nothing starts and the log says why; work waits and is not failed.
#[test]
fn nothing_starts_while_all_domains_are_evacuated() {
    let mut cluster = two_domains();
    cluster.evacuated = domains(&["a", "b"]);

    cluster.submit(job("j", vec![step(1, 1)]));
    cluster.advance(Duration::from_secs(10));

    assert!(cluster.starts.is_empty());
    assert_eq!(cluster.state("j"), State::Queued);
    assert!(has_logged(&cluster, Decision::AllEvacuated));
    cluster.evacuated.clear();
    cluster.advance(SETTLE_TIME);
    assert_eq!(cluster.placements("j").len(), 1);
}

/// Stopping runs in an evacuated domain frees nothing for the guarantee, and discards their work.
#[test]
fn guarantee_is_reclaimed_in_the_remaining_domains_only() {
    let mut cluster = two_domains();
    cluster.set_guarantee("guaranteed", 16);
    for number in 0..4 {
        cluster.submit(job(&format!("low{number}"), vec![step(1, 8)]));
    }
    cluster.advance(SETTLE_TIME);
    cluster.evacuated = domains(&["a"]);
    cluster.advance(TICK);

    cluster.submit(Job {
        priority: 0,
        account: "guaranteed".into(),
        ..job("high", vec![step(2, 8)])
    });
    cluster.advance(SETTLE_TIME);

    let stopped: BTreeSet<&str> = cluster.stops.iter().map(|(s, ..)| s.as_str()).collect();
    assert_eq!(stopped, BTreeSet::from(["b0", "b1"]));
    let placements = cluster.placements("high");
    assert_eq!(placements, [(0, "b0".into()), (1, "b1".into())]);
}

/// A reservation on an evacuated worker would be of no use to the step that waits for it, while
/// the others go on taking the workers that it could use.
#[test]
fn workers_of_an_evacuated_domain_are_not_reserved() {
    let mut cluster = cluster()
        .with_evacuations(BOUND)
        .with_worker("a0", worker_in("a", "wa0"))
        .with_worker("b0", worker_in("b", "wb0"));
    cluster.run_time = Some(Duration::from_secs(1));
    cluster.evacuated = domains(&["a"]);
    for number in 0..12 {
        cluster.submit(Job {
            priority: 2,
            ..job(&format!("small{number}"), vec![step(4, 1)])
        });
        cluster.advance(Duration::from_millis(300));
        if number == 2 {
            cluster.submit(job("large", vec![step(1, 8)]));
        }
    }

    cluster.advance(Duration::from_secs(3));

    let large = cluster.starts.iter().find(|(_, s)| s.task.job == "large");
    assert_eq!(large.map(|(s, _)| s.as_str()), Some("b0"));
}

/// Approvals of workers that cannot be used take up the policy service, which is slow.
#[test]
fn requests_for_approvals_name_no_worker_of_an_evacuated_domain() {
    let mut cluster = two_domains();
    cluster.evacuated = domains(&["a"]);
    cluster.advance(SETTLE_TIME);
    cluster.submit(Job {
        policy: Some(Policy {
            decision_ms: 10,
            per_worker_ms: 1,
            valid_ms: 3_000,
        }),
        ..job("j", vec![step(4, 1)])
    });

    let effects = planned_effects(&mut cluster);

    let named = effects.iter().filter_map(|e| match e {
        Effect::RequestApproval(request) => Some(request.workers.clone()),
        _ => None,
    });
    let named: Vec<Boot> = named.flatten().collect();
    let ids: BTreeSet<&str> = named.iter().map(|b| b.id.as_str()).collect();
    assert_eq!(ids, BTreeSet::from(["wb0", "wb1"]));
}

/// Operators have to learn that the domains which remain are too small for what was guaranteed.
#[test]
fn lack_of_guaranteed_capacity_is_reported() {
    let mut cluster = two_domains();
    cluster.set_guarantee("guaranteed", 20);
    cluster.advance(Duration::from_secs(6));
    assert_eq!(cluster.ledger.evacuation_figures(), (0, 0));

    cluster.evacuated = domains(&["a"]);
    cluster.advance(SETTLE_TIME);

    assert_eq!(cluster.ledger.evacuation_figures(), (1, 4));
    let is_report = |n: &&_| matches!(n, Decision::GuaranteeShort);
    let decisions: Vec<Decision> = cluster.notes.iter().map(|n| n.decision).collect();
    assert_eq!(decisions.iter().filter(is_report).count(), 1);
    cluster.evacuated.clear();
    cluster.advance(SETTLE_TIME);
    assert_eq!(cluster.ledger.evacuation_figures(), (0, 0));
}

/// Half of the workers may be in quarantine at the same time, as the others do their work. Those of
/// an evacuated domain do none, so that all that remain were left out.
#[test]
fn workers_of_an_evacuated_domain_do_not_count_beside_those_in_quarantine() {
    let mut cluster = cluster().with_evacuations(BOUND);
    for number in 0..6 {
        let id = format!("wa{number}");
        cluster.add_worker(&format!("a{number}"), worker_in("a", &id));
    }
    for number in 0..2 {
        let id = format!("wb{number}");
        cluster.add_worker(&format!("b{number}"), worker_in("b", &id));
    }
    cluster.evacuated = domains(&["a"]);

    for number in 0..30 {
        let id = format!("j{number}");
        cluster.submit(Job {
            attempts: 1,
            ..job(&id, vec![step(1, 1)])
        });
        cluster.advance(Duration::from_millis(300));
        let placements = cluster.placements(&id);
        let [(_, sidecar)] = placements.as_slice() else {
            panic!("{id} waits: {placements:?}");
        };
        cluster.end_run(sidecar, &id, 0, End::Failed);
    }

    assert!(has_logged(&cluster, Decision::Quarantined));
}

/// Ends that a worker forgets make their tasks run again after their end, so that an evacuation is no
/// reason to use such a worker. Found by the drawn model with seed 13320335564149931220.
#[test]
fn worker_that_may_forget_ends_is_not_used_because_the_others_are_evacuated() {
    let held = FakeWorker {
        on_hold: true,
        ..worker_in("b", "wb0")
    };
    let mut cluster = cluster()
        .with_evacuations(BOUND)
        .with_worker("a0", worker_in("a", "wa0"))
        .with_worker("a1", worker_in("a", "wa1"))
        .with_worker("b0", held);
    cluster.evacuated = domains(&["a"]);

    cluster.submit(job("j", vec![step(1, 1)]));
    cluster.advance(Duration::from_secs(5));

    assert!(cluster.starts.is_empty());
    cluster.evacuated.clear();
    cluster.advance(SETTLE_TIME);
    assert_eq!(cluster.placements("j").len(), 1);
}

/// A sidecar from before this part does not say where its worker is. It may be in the domain.
#[test]
fn worker_without_a_known_domain_gets_no_work_during_an_evacuation() {
    let mut cluster = cluster()
        .with_evacuations(BOUND)
        .with_worker("n0", worker_in("", "w0"));
    cluster.evacuated = domains(&["a"]);
    cluster.submit(job("j", vec![step(1, 1)]));

    cluster.advance(SETTLE_TIME);

    assert!(cluster.starts.is_empty());
    cluster.evacuated.clear();
    cluster.advance(SETTLE_TIME);
    assert_eq!(cluster.starts.len(), 1);
}

/// A deployment without the bound has no evacuations: nothing is kept away, nothing waits for a
/// reading, and the orders are those of before.
#[test]
fn without_a_bound_nothing_changes() {
    let mut cluster = cluster().with_worker("a0", worker_in("a", "wa0"));
    cluster.is_cut_off = true;
    let now = cluster.now;
    cluster.ledger.set_evacuated(Rc::new(domains(&["a"])), now);

    cluster.submit(job("j", vec![step(1, 1)]));
    cluster.advance(SETTLE_TIME);

    assert_eq!(cluster.starts.len(), 1);
    assert_eq!(cluster.starts[0].1.latest, None);
}

/// With a bound under 5 s the fixed times would leave none in which anything starts.
#[test]
fn work_starts_with_a_short_bound_as_well() {
    for bound in [500, 1_000, 2_000, 3_000] {
        let bound = Duration::from_millis(bound);
        let mut cluster = cluster()
            .with_evacuations(bound)
            .with_worker("a0", worker_in("a", "wa0"));

        cluster.submit(job("j", vec![step(1, 1)]));
        cluster.advance(SETTLE_TIME);

        assert_eq!(cluster.starts.len(), 1, "{bound:?}");
        let latest = cluster.starts[0].1.latest.map(Duration::from_millis);
        assert!(
            latest.is_some_and(|l| l < cluster.now + bound),
            "{latest:?}"
        );
    }
}
