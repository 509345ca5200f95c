//! The cache of the store's content in a gateway.

use bytes::Bytes;
use compio::runtime::Runtime;
use compio::time::sleep;
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

    async fn list(self: Rc<Self>, prefix: SmolStr, after: SmolStr) -> Result<Page, StoreError> {
        if prefix.is_empty() {
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
        while after < self.compacted.get() && !prefix.is_empty() && self.pages.get() == pages {
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
        decode_manifest: Rc::new(|_| Err("no manifest".into())),
        get: Rc::new(|_| Box::pin(std::future::ready(refuse()))),
        list: Rc::new(move |(prefix, after)| Box::pin(lists.clone().list(prefix, after))),
        watch: Rc::new(move |(prefix, after, _)| Box::pin(watches.clone().watch(prefix, after))),
        commit: Rc::new(|_| Box::pin(std::future::ready(refuse()))),
        grant: Rc::new(|_| Box::pin(std::future::ready(refuse()))),
        renew: Rc::new(|_| Box::pin(std::future::ready(refuse()))),
        revoke: Rc::new(|_| Box::pin(std::future::ready(refuse()))),
    }
}

fn shared(store: Store) -> Rc<Shared> {
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
            max_connections: 1,
            shutdown_timeout: Duration::from_secs(1),
            bounds: Bounds::default(),
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
        let cache = Rc::new(StoreCache::new(&shared.settings, "manifest".into()));
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
