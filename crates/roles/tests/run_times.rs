//! The learned run times in the store.

use bytes::Bytes;
use compio::runtime::Runtime;
use hibiscusbarrow_adapters::clients::MachineLimits;
use hibiscusbarrow_adapters::log::EventLog;
use hibiscusbarrow_adapters::metrics::Metrics;
use hibiscusbarrow_adapters::signal::Flag;
use hibiscusbarrow_coordination::clock::Clock;
use hibiscusbarrow_coordination::runtime::FinishedRun;
use hibiscusbarrow_coordination::runtime::Kind;
use hibiscusbarrow_coordination::runtime::MAX_SUMMARY_BYTES;
use hibiscusbarrow_coordination::runtime::RunTimes;
use hibiscusbarrow_fleet::ledger::Bounds;
use hibiscusbarrow_fleet::ledger::LearnedTimes;
use hibiscusbarrow_roles::fleet::Shared;
use hibiscusbarrow_roles::fleet::port::Item;
use hibiscusbarrow_roles::fleet::port::Outcome;
use hibiscusbarrow_roles::fleet::port::Settings;
use hibiscusbarrow_roles::fleet::port::Store;
use hibiscusbarrow_roles::fleet::port::StoreError;
use hibiscusbarrow_roles::fleet::port::Txn;
use hibiscusbarrow_roles::fleet::run_times::SummarySchedule;
use hibiscusbarrow_roles::fleet::run_times::read;
use hibiscusbarrow_roles::fleet::run_times::write;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

const KEY: &str = "hibiscusbarrow/run-times";
const DECLARED: Duration = Duration::from_secs(1);

/// What the store answers to a read.
type Answer = Result<Option<Vec<u8>>, StoreError>;

/// A store with one answer to reads, which keeps the transactions.
fn store(answer: Answer, txns: Rc<RefCell<Vec<Txn>>>) -> Store {
    fn refuse<T>() -> Result<T, StoreError> {
        Err(StoreError::Refused("not used".into()))
    }
    let item = answer.map(|value| {
        value.map(|value| Item {
            key: KEY.into(),
            value: Some(Bytes::from(value)),
            revision: 1,
        })
    });
    Store {
        evacuation_prefix: None,
        manifest_key: "manifest".into(),
        decode_manifest: Rc::new(|_| Err("no manifest".into())),
        get: Rc::new(move |_| Box::pin(std::future::ready(item.clone()))),
        list: Rc::new(|_| Box::pin(std::future::ready(refuse()))),
        watch: Rc::new(|_| Box::pin(std::future::ready(refuse()))),
        commit: Rc::new(move |txn| {
            txns.borrow_mut().push(txn);
            Box::pin(std::future::ready(Ok(Outcome::Committed(2))))
        }),
        grant: Rc::new(|_| Box::pin(std::future::ready(refuse()))),
        renew: Rc::new(|_| Box::pin(std::future::ready(refuse()))),
        revoke: Rc::new(|_| Box::pin(std::future::ready(refuse()))),
    }
}

fn shared(store: Store) -> Shared {
    let addr = "127.0.0.1:1".parse().expect("the address is valid");
    let clock = Clock::system();
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    Shared {
        settings: Settings {
            name: "gateway".into(),
            domain: "a".into(),
            capacity: 1_000,
            caller_addr: None,
            ready_addr: None,
            heartbeat_addr: None,
            peer_addr: addr,
            metrics_addr: addr,
            limits: MachineLimits::default(),
            shutdown_timeout: Duration::from_secs(1),
            config_bound: Duration::from_secs(2),
            bounds: Bounds::default(),
            learned_times: LearnedTimes::default(),
        },
        clock: clock.clone(),
        log: EventLog::new("gateway", clock, logger),
        metrics: Rc::new(Metrics::new().expect("the metrics are valid")),
        store,
        stop: Flag::default(),
    }
}

fn learned() -> RunTimes {
    let mut times = RunTimes::default();
    for _ in 0..50 {
        let run = FinishedRun::done(Duration::from_secs(5));
        times.observe(&Kind::default(), DECLARED, &run);
    }
    times
}

/// Guards against a placer that fails, or uses wrong times, because of what the store answers.
#[test]
fn only_a_readable_summary_is_used() {
    Runtime::new().expect("a runtime").block_on(async {
        let summary = learned().summary(MAX_SUMMARY_BYTES);
        let cut = summary[..summary.len() - 3].to_vec();
        let answers: [(Answer, bool); 6] = [
            (Ok(Some(summary)), true),
            (Ok(None), false),
            (Ok(Some(cut)), false),
            (Ok(Some(vec![0; 70_000])), false),
            (Ok(Some(b"{}".to_vec())), false),
            (Err(StoreError::Unknown("no answer".into())), false),
        ];
        for (answer, is_used) in answers {
            let what = format!("{answer:?}");
            let shared = shared(store(answer, Rc::default()));

            let times = read(&shared).await;

            assert_eq!(times.is_some(), is_used, "{what}");
        }
    });
}

/// Guards against a placer of the past that overwrites what the present one has learned.
#[test]
fn a_summary_is_written_only_by_the_present_placer() {
    Runtime::new().expect("a runtime").block_on(async {
        let txns = Rc::<RefCell<Vec<Txn>>>::default();
        let shared = shared(store(Ok(None), txns.clone()));
        let summary = learned().summary(MAX_SUMMARY_BYTES);

        write(&shared, 7, summary, String::new()).await;

        let txns = txns.borrow();
        assert_eq!(
            txns[0].conditions,
            [("hibiscusbarrow/placer".into(), 7_u64)]
        );
        let (key, value, lease) = &txns[0].puts[0];
        assert_eq!((key.as_str(), *lease), (KEY, 0));
        assert!(RunTimes::from_summary(value).is_ok());
    });
}

/// Guards against writes without news, two at a time, or more often than every 30 s.
#[test]
fn a_summary_is_written_at_intervals_and_only_if_something_was_learned() {
    let second = Duration::from_secs(1);
    let mut schedule = SummarySchedule::new(Duration::ZERO);

    assert!(!schedule.is_due(second * 30));
    assert!(schedule.is_due(second * 120));
    assert!(!schedule.begin(0, second * 120));
    assert!(schedule.begin(5, second * 240));
    assert!(!schedule.begin(6, second * 241));
    schedule.writing = false;
    assert!(!schedule.is_due(second * 270));
    assert!(!schedule.begin(5, second * 360));
    assert!(schedule.begin(6, second * 480));
}
