//! Evacuations of failure domains that are drawn beside the faults of a soak, and the starts that
//! they forbid.

use crate::fleet::Fleet;
use hibiscusbarrow_platform::standin::SeenRun;
use hibiscusbarrow_platform::standin::WorkerStandin;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::ops::RangeInclusive;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

/// The bound in the settings.
pub const BOUND: Duration = Duration::from_secs(5);
/// The failure domains of the workers, in their order.
const DOMAINS: [&str; 4] = ["za", "za", "zb", "zc"];
/// The domain that is evacuated after the faults.
const LAST_DOMAIN: &str = "zc";
/// The time of two heartbeats, after which sidecars know the domains of their workers.
const HEARTBEATS_TIME: Duration = Duration::from_millis(700);
/// One of this number of steps of the soak requests an evacuation.
const REQUEST_SHARE: u32 = 4;
/// Milliseconds from a request to its cancellation.
const HOLD_MS: RangeInclusive<u64> = 500..=10_000;
/// The most by which the bound is extended for gateways that are disconnected from the store.
const MAX_DISCONNECTED: Duration = Duration::from_secs(6);
/// How long the last request stays after its bound.
const CHECKED_TIME: Duration = Duration::from_secs(2);
/// Separates the draws from those of the faults, which are the same as without evacuations.
const SEED_MASK: u64 = 0x65_76_61_63;

/// How much of the store can be reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reach {
    All,
    /// Some gateways are disconnected.
    Part,
    None,
}

/// A request, from the store's answer to its cancellation.
struct Request {
    domain: &'static str,
    stored_at: Instant,
    /// When it is to be cancelled.
    end: Instant,
    cancelled_at: Option<Instant>,
}

/// The evacuations of one soak.
pub struct Evacuations {
    rng: SmallRng,
    requests: Vec<Request>,
    /// How much of the store could be reached from each of these times.
    reach: Vec<(Instant, Reach)>,
}

impl Evacuations {
    /// Gives the workers their failure domains, and waits until the sidecars know them.
    pub fn prepare(fleet: &Fleet, seed: u64) -> Self {
        for (worker, domain) in fleet.workers.iter().zip(DOMAINS) {
            worker.set_zone(Some(domain));
        }
        sleep(HEARTBEATS_TIME);
        Self {
            rng: SmallRng::seed_from_u64(seed ^ SEED_MASK),
            requests: Vec::new(),
            reach: vec![(Instant::now(), Reach::All)],
        }
    }

    /// Notes how much of the store can be reached, after each change.
    pub fn note_reach(&mut self, fleet: &Fleet) {
        let cut: Vec<bool> = fleet
            .store
            .endpoints
            .iter()
            .map(|(_, switch)| switch.load(Ordering::Relaxed))
            .collect();
        let reach = if cut.iter().all(|c| *c) {
            Reach::None
        } else if cut[..fleet.gateways].contains(&true) {
            Reach::Part
        } else {
            Reach::All
        };
        if self.reach.last().is_none_or(|(_, last)| *last != reach) {
            self.reach.push((Instant::now(), reach));
        }
    }

    /// Draws requests and ends those that are due; one of two is made again at once. Returns what
    /// was done.
    pub fn step(&mut self, fleet: &Fleet) -> Vec<String> {
        let mut done = Vec::new();
        let now = Instant::now();
        for domain in self.cancel(fleet, |r| r.end <= now) {
            done.push(format!("evacuation of {domain} cancelled"));
            if self.rng.random_bool(0.5) {
                self.request(fleet, domain);
                done.push(format!("evacuation of {domain} requested again at once"));
            }
        }
        let domain = DOMAINS[self.rng.random_range(0..DOMAINS.len())];
        if self.rng.random_range(0..REQUEST_SHARE) == 0 && !self.is_requested(domain) {
            self.request(fleet, domain);
            done.push(format!("evacuation of {domain} requested"));
        }
        done
    }

    /// Cancels all requests, requests one again at once, and cancels it when its bound has passed
    /// without faults.
    pub fn finish(&mut self, fleet: &Fleet) {
        self.cancel(fleet, |_| true);
        self.request(fleet, LAST_DOMAIN);
        sleep(BOUND + CHECKED_TIME);
        self.cancel(fleet, |_| true);
    }

    fn is_requested(&self, domain: &str) -> bool {
        let mut open = self.requests.iter().filter(|r| r.cancelled_at.is_none());
        open.any(|r| r.domain == domain)
    }

    fn request(&mut self, fleet: &Fleet, domain: &'static str) {
        let hold = Duration::from_millis(self.rng.random_range(HOLD_MS));
        fleet.store.put(&key_of(domain), b"");
        let stored_at = Instant::now();
        self.requests.push(Request {
            domain,
            stored_at,
            end: stored_at + hold,
            cancelled_at: None,
        });
    }

    /// Cancels the open requests for which `is_due` holds, and returns their domains.
    fn cancel(&mut self, fleet: &Fleet, is_due: impl Fn(&Request) -> bool) -> Vec<&'static str> {
        let open = self.requests.iter_mut();
        let open = open.filter(|r| r.cancelled_at.is_none() && is_due(r));
        let mut cancelled = Vec::new();
        for request in open {
            request.cancelled_at = Some(Instant::now());
            fleet.store.delete(&key_of(request.domain));
            cancelled.push(request.domain);
        }
        cancelled
    }

    /// Returns how much of the time from `from` to `to` a part of the store's reach took.
    fn time_with(&self, reach: Reach, from: Instant, to: Instant) -> Duration {
        let ends = self.reach.iter().skip(1).map(|(at, _)| *at).chain([to]);
        let spans = self
            .reach
            .iter()
            .zip(ends)
            .filter(|((_, r), _)| *r == reach);
        spans
            .map(|((begin, _), end)| end.min(to).saturating_duration_since((*begin).max(from)))
            .sum()
    }

    /// Returns whether a start at a time comes after the bound of a request and before its
    /// cancellation.
    ///
    /// The time in which the store is down does not count; the time in which gateways are
    /// disconnected from it extends the bound, up to [`MAX_DISCONNECTED`].
    fn forbids(&self, request: &Request, at: Instant) -> bool {
        if at < request.stored_at || request.cancelled_at.is_some_and(|end| at >= end) {
            return false;
        }
        let down = self.time_with(Reach::None, request.stored_at, at);
        let disconnected = self.time_with(Reach::Part, request.stored_at, at);
        at - request.stored_at > BOUND + down + disconnected.min(MAX_DISCONNECTED)
    }

    /// Returns the starts in evacuated domains that came later than the bound.
    pub fn find_late_starts(&self, workers: &[WorkerStandin]) -> Vec<String> {
        let mut found = Vec::new();
        for (index, (worker, domain)) in workers.iter().zip(DOMAINS).enumerate() {
            let runs: Vec<SeenRun> = worker.history();
            let requests = || self.requests.iter().filter(|r| r.domain == domain);
            for run in runs {
                for request in requests().filter(|r| self.forbids(r, run.started)) {
                    found.push(format!(
                        "{} run {} started on worker {index} in {domain}, {:?} after the request",
                        run.task,
                        run.run,
                        run.started - request.stored_at
                    ));
                }
            }
        }
        found
    }

    /// Describes the requests, and for how long they forbade starts, summed over the requests.
    pub fn describe(&self) -> String {
        let forbidden = self.requests.iter().map(|request| {
            let end = request.cancelled_at.unwrap_or(request.stored_at);
            let from = request.stored_at;
            let down = self.time_with(Reach::None, from, end);
            let disconnected = self.time_with(Reach::Part, from, end);
            let allowed = BOUND + down + disconnected.min(MAX_DISCONNECTED);
            (end - from).saturating_sub(allowed)
        });
        let forbidden: Duration = forbidden.sum();
        let count = self.requests.len();
        format!("{count} evacuations, {forbidden:.1?} after their bounds")
    }
}

fn key_of(domain: &str) -> String {
    format!("op/evacuate/{domain}")
}
