//! The cache of the store's content in a gateway.

use bytes::Bytes;
use compio::runtime::Runtime;
use compio::time::sleep;
use hibiscusbarrow_adapters::clients::MachineLimits;
use hibiscusbarrow_adapters::log::EventLog;
use hibiscusbarrow_adapters::metrics::Metrics;
use hibiscusbarrow_adapters::signal::Flag;
use hibiscusbarrow_coordination::clock::Clock;
use hibiscusbarrow_fleet::job::Job;
use hibiscusbarrow_fleet::job::Step;
use hibiscusbarrow_fleet::ledger::Bounds;
use hibiscusbarrow_fleet::ledger::LearnedTimes;
use hibiscusbarrow_fleet::record::Record;
use hibiscusbarrow_roles::fleet::Shared;
use hibiscusbarrow_roles::fleet::cache::StoreCache;
use hibiscusbarrow_roles::fleet::cache::follow;
use hibiscusbarrow_roles::fleet::port::Item;
use hibiscusbarrow_roles::fleet::port::Page;
use hibiscusbarrow_roles::fleet::port::Settings;
use hibiscusbarrow_roles::fleet::port::Store;
use hibiscusbarrow_roles::fleet::port::StoreError;
use smol_str::SmolStr;
use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// The prefix of the keys that standbys follow.
const ALL_KEYS: &str = "hibiscusbarrow/";
const GATEWAYS: &str = "hibiscusbarrow/gateway/";
/// How long the store takes for a page of a listing.
const PAGE_TIME: Duration = Duration::from_millis(100);
const TIMEOUT: Duration = Duration::from_secs(10);

/// A store whose listings have one item a page, and that can drop its history.
#[derive(Default)]
struct FakeStore {
    items: RefCell<Vec<Item>>,
    revision: Cell<u64>,
    /// Watches after a lower revision fail, as the store has no history of that time.
    compacted: Cell<u64>,
    /// The pages of listings of all keys that were asked for.
    pages: Cell<usize>,
    /// The prefix and the longest wait of each watch.
    waits: RefCell<Vec<(SmolStr, Duration)>>,
    /// The number of watches of evacuations that fail next.
    failures: Cell<usize>,
}

impl FakeStore {
    fn put(&self, key: &str, value: impl Into<Bytes>) {
        self.revision.set(self.revision.get() + 1);
        let mut items = self.items.borrow_mut();
        items.retain(|i| i.key != key);
        items.push(Item {
            key: key.into(),
            value: Some(value.into()),
            revision: self.revision.get(),
        });
        items.sort_by(|a, b| a.key.cmp(&b.key));
    }

    fn put_job(&self, id: &str) {
        let job = Job {
            id: id.into(),
            steps: vec![Step {
                count: 1,
                ..Step::default()
            }],
            ..Job::default()
        };
        self.put(
            &format!("hibiscusbarrow/job/{id}"),
            Record::new(job).encode(),
        );
    }

    fn delete(&self, key: &str) {
        self.revision.set(self.revision.get() + 1);
        self.items.borrow_mut().retain(|i| i.key != key);
    }

    async fn list(self: Rc<Self>, prefix: SmolStr, after: SmolStr) -> Result<Page, StoreError> {
        if prefix == ALL_KEYS {
            self.pages.set(self.pages.get() + 1);
        }
        sleep(PAGE_TIME).await;
        let items = self.items.borrow();
        let mut rest = items
            .iter()
            .filter(|i| i.key.starts_with(prefix.as_str()) && i.key > after);
        Ok(Page {
            items: rest.next().cloned().into_iter().collect(),
            has_more: rest.next().is_some(),
            revision: self.revision.get(),
        })
    }

    /// Reports the loss of history at once to the watch of all keys, and to the others once these
    /// are being listed again.
    async fn watch(self: Rc<Self>, prefix: SmolStr, after: u64) -> Result<Page, StoreError> {
        let pages = self.pages.get();
        sleep(Duration::from_millis(20)).await;
        if prefix == EVACUATIONS && self.failures.get() > 0 {
            self.failures.set(self.failures.get() - 1);
            return Err(StoreError::Unknown("the call timed out".into()));
        }
        while after < self.compacted.get() && prefix != ALL_KEYS && self.pages.get() == pages {
            sleep(Duration::from_millis(5)).await;
        }
        if after < self.compacted.get() {
            return Err(StoreError::Compacted);
        }
        Ok(Page {
            revision: after,
            ..Page::default()
        })
    }
}

fn port(fake: &Rc<FakeStore>) -> Store {
    fn refuse<T>() -> Result<T, StoreError> {
        Err(StoreError::Refused("not used".into()))
    }
    let (lists, watches) = (fake.clone(), fake.clone());
    Store {
        manifest_key: "manifest".into(),
        evacuation_prefix: None,
        decode_manifest: Rc::new(|_| Err("no manifest".into())),
        get: Rc::new(|_| Box::pin(std::future::ready(refuse()))),
        list: Rc::new(move |(prefix, after)| Box::pin(lists.clone().list(prefix, after))),
        watch: Rc::new(move |(prefix, after, wait)| {
            watches.waits.borrow_mut().push((prefix.clone(), wait));
            Box::pin(watches.clone().watch(prefix, after))
        }),
        commit: Rc::new(|_| Box::pin(std::future::ready(refuse()))),
        grant: Rc::new(|_| Box::pin(std::future::ready(refuse()))),
        renew: Rc::new(|_| Box::pin(std::future::ready(refuse()))),
        revoke: Rc::new(|_| Box::pin(std::future::ready(refuse()))),
    }
}

fn shared(store: Store) -> Rc<Shared> {
    shared_with(store, Bounds::default())
}

fn shared_with(store: Store, bounds: Bounds) -> Rc<Shared> {
    let addr = "127.0.0.1:1".parse().expect("the address is valid");
    let clock = Clock::system();
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    Rc::new(Shared {
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
            bounds,
            learned_times: LearnedTimes::default(),
        },
        clock: clock.clone(),
        log: EventLog::new("gateway", clock, logger),
        metrics: Rc::new(Metrics::new().expect("the metrics are valid")),
        store,
        stop: Flag::default(),
    })
}

async fn wait_for(what: &str, mut is_met: impl FnMut() -> bool) {
    let clock = Clock::system();
    let end = clock.now() + TIMEOUT;
    while !is_met() {
        assert!(clock.now() < end, "{what} did not happen in {TIMEOUT:?}");
        sleep(Duration::from_millis(1)).await;
    }
}

/// The rank of a standby is unknown while the gateways are listed again after a loss of history.
/// Records that a listing brought in that time were dropped, the listing counted as complete, and
/// the next placer stopped runs of jobs that it did not know.
#[test]
fn standby_has_all_records_after_listings_that_overlap() {
    Runtime::new().expect("a runtime").block_on(async {
        let fake = Rc::new(FakeStore::default());
        fake.put(&format!("{GATEWAYS}gateway"), "127.0.0.1:1 1000 a");
        for id in ["a", "c", "d", "e"] {
            fake.put_job(id);
        }
        let shared = shared(port(&fake));
        let cache = Rc::new(StoreCache::new(&shared.settings, None));
        compio::runtime::spawn(follow(shared.clone(), cache.clone())).detach();
        wait_for("the first listing", || cache.jobs.borrow().len() == 4).await;
        wait_for("records", || cache.has_fresh_records(shared.clock.now())).await;

        fake.put_job("b");
        fake.compacted.set(fake.revision.get());
        let revision = fake.revision.get();
        wait_for("the second listing", || cache.includes_records(revision)).await;

        assert!(cache.job("b").is_some());
        assert_eq!(cache.jobs.borrow().len(), 5);
    });
}

/// The prefix of requests to evacuate a failure domain.
const EVACUATIONS: &str = "op/evacuate/";

/// Starts the cache of a gateway that is registered alone, is the placer and follows the evacuated
/// domains, with a bound of 5 s.
fn start_with_evacuations(fake: &Rc<FakeStore>) -> (Rc<Shared>, Rc<StoreCache>) {
    fake.put(&format!("{GATEWAYS}gateway"), "127.0.0.1:1 1000 a");
    let bounds = Bounds {
        evacuation: Some(Duration::from_secs(5)),
        ..Bounds::default()
    };
    let shared = shared_with(port(fake), bounds);
    let prefix = Some(EVACUATIONS.into());
    let cache = StoreCache::new(&shared.settings, prefix);
    let cache = Rc::new(cache);
    cache.set_placing(true);
    compio::runtime::spawn(follow(shared.clone(), cache.clone())).detach();
    (shared, cache)
}

/// Returns the evacuated domains that a cache knows; none before it has read them.
fn evacuated(cache: &StoreCache) -> Option<Vec<SmolStr>> {
    let (domains, _) = cache.evacuated()?;
    Some(domains.iter().cloned().collect())
}

/// With thousands of records a listing of all keys takes seconds, in which a request would not be
/// noticed, and the age of the knowledge would keep all work from starting.
#[test]
fn evacuations_are_read_while_all_keys_are_listed_again() {
    Runtime::new().expect("a runtime").block_on(async {
        let fake = Rc::new(FakeStore::default());
        for number in 0..20 {
            fake.put_job(&format!("j{number:02}"));
        }
        let (shared, cache) = start_with_evacuations(&fake);
        wait_for("records", || cache.has_fresh_records(shared.clock.now())).await;
        wait_for("the first reading", || {
            evacuated(&cache) == Some(Vec::new())
        })
        .await;

        fake.put("op/evacuate/a", "");
        fake.compacted.set(fake.revision.get());
        let lost_at = shared.clock.now();
        wait_for("the request", || {
            evacuated(&cache) == Some(vec!["a".into()])
        })
        .await;
        let seen_revision = fake.revision.get();

        assert!(!cache.includes_records(seen_revision));
        let (_, confirmed_at) = cache.evacuated().expect("they are known");
        assert!(confirmed_at >= lost_at);
    });
}

/// A cancellation that falls into lost history shows only in the listing.
#[test]
fn cancellation_in_lost_history_is_noticed() {
    Runtime::new().expect("a runtime").block_on(async {
        let fake = Rc::new(FakeStore::default());
        fake.put("op/evacuate/a", "");
        fake.put("op/evacuate/b", "");
        let (_, cache) = start_with_evacuations(&fake);
        let both = Some(vec!["a".into(), "b".into()]);
        wait_for("the requests", || evacuated(&cache) == both).await;

        fake.delete("op/evacuate/a");
        fake.compacted.set(fake.revision.get());

        wait_for("the cancellation", || {
            evacuated(&cache) == Some(vec!["b".into()])
        })
        .await;
    });
}

/// One key that an operator mistyped must not hide the others, or keep all work away.
#[test]
fn unreadable_requests_are_ignored() {
    Runtime::new().expect("a runtime").block_on(async {
        let fake = Rc::new(FakeStore::default());
        for name in ["", "\u{1}", "\u{fffd}", "a"] {
            fake.put(&format!("{EVACUATIONS}{name}"), "value");
        }

        let (_, cache) = start_with_evacuations(&fake);

        wait_for("the requests", || evacuated(&cache).is_some()).await;
        assert_eq!(evacuated(&cache), Some(vec!["a".into()]));
    });
}

/// A silent connection is noticed 700 ms after the wait of a watch has passed. With the wait of the
/// other feeds, the knowledge would be too old by then.
#[test]
fn watches_of_evacuations_wait_for_a_short_time() {
    Runtime::new().expect("a runtime").block_on(async {
        let fake = Rc::new(FakeStore::default());

        let (_, cache) = start_with_evacuations(&fake);
        wait_for("the requests", || evacuated(&cache).is_some()).await;
        let of_evacuations = |(prefix, _): &&(SmolStr, Duration)| prefix == EVACUATIONS;
        wait_for("a watch", || {
            fake.waits.borrow().iter().any(|w| of_evacuations(&w))
        })
        .await;

        let waits = fake.waits.borrow();
        let mut waits = waits.iter().filter(of_evacuations);
        assert!(waits.all(|(_, wait)| *wait <= Duration::from_millis(500)));
    });
}

/// A watch of evacuations that times out would make the gateway refuse all callers, and the next one
/// would confirm the knowledge only after its full wait.
#[test]
fn failed_watch_of_evacuations_is_repeated_at_once_and_marks_no_outage() {
    Runtime::new().expect("a runtime").block_on(async {
        let fake = Rc::new(FakeStore::default());
        let (_, cache) = start_with_evacuations(&fake);
        wait_for("the requests", || evacuated(&cache).is_some()).await;

        fake.failures.set(1);
        wait_for("a failure", || fake.failures.get() == 0).await;
        fake.waits.borrow_mut().clear();
        let of_evacuations = |(prefix, _): &&(SmolStr, Duration)| prefix == EVACUATIONS;
        wait_for("the next watch", || {
            fake.waits.borrow().iter().any(|w| of_evacuations(&w))
        })
        .await;

        let waits = fake.waits.borrow();
        let next = waits.iter().find(of_evacuations);
        assert_eq!(next.map(|(_, wait)| *wait), Some(Duration::ZERO));
        assert!(!cache.is_store_down());
    });
}

/// Watches of standbys would only cost calls: a standby lists the requests when it becomes the placer.
#[test]
fn standby_does_not_watch_evacuations() {
    Runtime::new().expect("a runtime").block_on(async {
        let fake = Rc::new(FakeStore::default());
        let (shared, cache) = start_with_evacuations(&fake);
        cache.set_placing(false);

        wait_for("records", || cache.has_fresh_records(shared.clock.now())).await;
        sleep(Duration::from_millis(100)).await;

        assert_eq!(evacuated(&cache), None);
    });
}

/// A deployment without the bound makes the calls of before.
#[test]
fn without_a_bound_no_call_asks_for_evacuations() {
    Runtime::new().expect("a runtime").block_on(async {
        let fake = Rc::new(FakeStore::default());
        fake.put(&format!("{GATEWAYS}gateway"), "127.0.0.1:1 1000 a");
        fake.put("op/evacuate/a", "");
        let shared = shared(port(&fake));
        let cache = Rc::new(StoreCache::new(&shared.settings, None));
        compio::runtime::spawn(follow(shared.clone(), cache.clone())).detach();
        wait_for("records", || cache.has_fresh_records(shared.clock.now())).await;

        sleep(Duration::from_millis(600)).await;

        assert_eq!(evacuated(&cache), None);
        assert!(!cache.bars("a"));
        let asked = fake.waits.borrow().iter().any(|(p, _)| p == EVACUATIONS);
        assert!(!asked);
    });
}
