//! Polls of a worker that drains, and its departure.
//!
//! A worker can leave some milliseconds after its last task. So that the end of that task is
//! heard, the sidecar watches a draining worker also between the polls of the placer, keeps what it
//! listed last, and answers with that in the worker's place until the placer has acknowledged it.
//! If the worker says when it leaves, the sidecar stops what still runs shortly before.

use super::Sidecar;
use compio::time::sleep;
use compio::time::timeout;
use futures_util::future::join_all;
use hibiscusbarrow_fleet::departure::first_stop;
use hibiscusbarrow_fleet::departure::stop_time;
use hibiscusbarrow_fleet::worker::Announcement;
use hibiscusbarrow_fleet::worker::Answer;
use hibiscusbarrow_fleet::worker::Boot;
use hibiscusbarrow_fleet::worker::Envelope;
use hibiscusbarrow_fleet::worker::Listing;
use hibiscusbarrow_fleet::worker::Order;
use hibiscusbarrow_fleet::worker::Running;
use hibiscusbarrow_fleet::worker::TaskId;
use hibiscusbarrow_model::event::Event;
use smol_str::SmolStr;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

/// The time between two polls of a draining worker. Such a worker can exit about 10 ms
/// after its last task, and then never answers a poll that waits for an end.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(4);
/// How long a draining worker may refuse polls or not answer them before it is no longer watched.
const MAX_WATCHED_SILENCE: Duration = Duration::from_secs(1);
/// The time between two attempts to stop the runs of a worker that is about to leave.
const EARLY_STOP_INTERVAL: Duration = Duration::from_millis(25);
/// The longest time between two checks whether runs of a draining worker are to be stopped.
const MAX_EARLY_STOP_SLEEP: Duration = Duration::from_millis(100);
/// The timeout of a call that stops a run of a worker that is about to leave, and of the poll before.
const EARLY_STOP_TIMEOUT: Duration = Duration::from_millis(50);

impl Sidecar {
    /// Sends an order to the worker. While the worker drains, a poll that waits is replaced by
    /// repeated polls without a wait.
    pub(super) async fn send_to_worker(
        &self,
        mut envelope: Envelope,
        announced: Announcement,
    ) -> Answer {
        let wait_end = match &mut envelope.order {
            Order::Poll { wait, .. } if announced.draining && *wait > 0 => {
                self.shared.clock.now() + Duration::from_millis(std::mem::take(wait))
            }
            _ => {
                return self
                    .send_fenced(envelope.epoch, &envelope.order, &announced)
                    .await;
            }
        };
        loop {
            let answer = self
                .send_fenced(envelope.epoch, &envelope.order, &announced)
                .await;
            let Answer::Listed(_, listing) = &answer else {
                return answer;
            };
            let remaining = wait_end.saturating_sub(self.shared.clock.now());
            if !listing.ended.is_empty() || remaining.is_zero() {
                return answer;
            }
            let idle = listing.running.is_empty();
            sleep(if idle {
                remaining
            } else {
                DRAIN_POLL_INTERVAL.min(remaining)
            })
            .await;
        }
    }

    /// Keeps the listing of a draining worker, and watches the worker from then on.
    pub(super) fn keep_listing(self: &Rc<Self>, announced: &Announcement, listing: &Listing) {
        let now = self.shared.clock.now();
        self.last_listing.borrow_mut().keep(announced, listing, now);
        let may_end = announced.draining && !listing.running.is_empty();
        if may_end && !self.watching.replace(true) {
            compio::runtime::spawn(self.clone().watch_drain(announced.clone())).detach();
        }
    }

    /// Polls a draining worker while the placer does not, and keeps its listings, until it runs
    /// nothing, has left or has not answered for [`MAX_WATCHED_SILENCE`].
    async fn watch_drain(self: Rc<Self>, announced: Announcement) {
        let poll = Order::Poll {
            acknowledged: 0,
            deadline: None,
            wait: 0,
        };
        let mut answered_at = self.shared.clock.now();
        let is_current =
            || self.announced.borrow().current().map(|a| &a.boot) == Some(&announced.boot);
        while is_current() && self.shared.clock.now() < answered_at + MAX_WATCHED_SILENCE {
            if Rc::strong_count(&self.open_polls) > 1 {
                answered_at = self.shared.clock.now();
                sleep(DRAIN_POLL_INTERVAL).await;
                continue;
            }
            let answer = self.send_fenced(self.epoch.get(), &poll, &announced).await;
            if let Answer::Listed(_, listing) = answer {
                answered_at = self.shared.clock.now();
                self.last_listing
                    .borrow_mut()
                    .keep(&announced, &listing, answered_at);
                if listing.running.is_empty() {
                    break;
                }
            }
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.watching.set(false);
    }

    /// Reads from a heartbeat when the worker leaves, and stops its runs before that.
    pub(super) fn schedule_early_stops(self: &Rc<Self>, heartbeat: &Announcement) {
        let now = self.shared.clock.now();
        if self.departure.borrow_mut().read(heartbeat, now) {
            compio::runtime::spawn(self.clone().stop_before_departure(heartbeat.clone())).detach();
        }
    }

    /// Stops what still runs on a worker shortly before it leaves, and for as long as it stays
    /// beyond its announced time.
    async fn stop_before_departure(self: Rc<Self>, announced: Announcement) {
        let boot = &announced.boot;
        let stop_timeout = self.shared.settings.bounds.stop_timeout;
        let is_current = || self.announced.borrow().current().map(|a| &a.boot) == Some(boot);
        let departure = || self.departure.borrow().time(boot);
        let mut stopped = HashSet::new();
        while let Some(departure) = departure().filter(|_| is_current()) {
            let now = self.shared.clock.now();
            let wait = first_stop(departure, stop_timeout).saturating_sub(now);
            if wait.is_zero() {
                let answered = self
                    .stop_due_runs(&announced, departure, &mut stopped)
                    .await;
                if !answered && now >= departure {
                    return;
                }
            }
            // A further heartbeat may name an earlier time.
            sleep(wait.clamp(EARLY_STOP_INTERVAL, MAX_EARLY_STOP_SLEEP)).await;
        }
    }

    /// Stops the runs of a leaving worker whose time has come, and adds those to `stopped` whose stop
    /// was accepted; returns whether the worker answered a poll.
    ///
    /// No call is waited for longer than [`EARLY_STOP_TIMEOUT`], as there is little time left.
    async fn stop_due_runs(
        self: &Rc<Self>,
        announced: &Announcement,
        departure: Duration,
        stopped: &mut HashSet<(TaskId, u64)>,
    ) -> bool {
        let poll = Order::Poll {
            acknowledged: 0,
            deadline: None,
            wait: 0,
        };
        let poll = self.send_fenced(self.epoch.get(), &poll, announced);
        let answer = timeout(EARLY_STOP_TIMEOUT, poll).await;
        let answered = if let Ok(Answer::Listed(_, listing)) = &answer {
            self.keep_listing(announced, listing);
            true
        } else {
            false
        };
        let now = self.shared.clock.now();
        let stop_timeout = self.shared.settings.bounds.stop_timeout;
        let is_due = |r: &Running| {
            let is_stopped = stopped.contains(&(r.task.clone(), r.run));
            !is_stopped && now >= stop_time(r, departure, stop_timeout)
        };
        let mut due = self.last_listing.borrow().running(&announced.boot);
        due.retain(is_due);
        let stops = due.iter().map(|run| self.stop_early(announced, run));
        let accepted = join_all(stops).await;
        let runs = due.into_iter().zip(accepted).filter(|(_, done)| *done);
        stopped.extend(runs.map(|(run, _)| (run.task, run.run)));
        answered
    }

    /// Stops a run of a leaving worker; returns whether the worker accepted that.
    async fn stop_early(&self, announced: &Announcement, run: &Running) -> bool {
        self.ended_runs.borrow_mut().insert(&run.task, run.run);
        let (task, number) = (run.task.clone(), run.run);
        let stop = Order::Stop { task, run: number };
        let sent = self.send_fenced(self.epoch.get(), &stop, announced);
        let answer = timeout(EARLY_STOP_TIMEOUT, sent).await;
        let answer = answer.unwrap_or(Answer::Silent);
        let departure = self.departure.borrow().time(&announced.boot);
        let left = departure.map(|at| at.saturating_sub(self.shared.clock.now()));
        let detail = format!(
            "at {}% remaining={left:?} {stop:?}: {answer:?}",
            run.percent
        );
        let log = &self.shared.log;
        log.emit(Event::EarlyStop, announced.boot.id.clone(), detail);
        answer == Answer::Accepted
    }

    /// Returns the answer to a poll in place of a worker that no longer answers, if it listed ends
    /// that are not acknowledged yet. A run that the listing lacks may have been accepted since, so
    /// that it counts as partial.
    pub(super) fn answer_in_place(&self, envelope: &Envelope, boot: &Boot) -> Option<Answer> {
        let Order::Poll { acknowledged, .. } = envelope.order else {
            return None;
        };
        let is_same = envelope.boot.as_ref() == Some(boot);
        let acknowledged = if is_same { acknowledged } else { 0 };
        let kept = self
            .last_listing
            .borrow_mut()
            .unacknowledged(boot, acknowledged);
        let (announced, mut listing) = kept?;
        listing.is_partial = true;
        let detail = format!("ends={} after {acknowledged}", listing.ended.len());
        let log = &self.shared.log;
        log.emit(Event::EndsKept, boot.id.clone(), detail);
        Some(Answer::Listed(Box::new(announced), Box::new(listing)))
    }

    /// Returns the answer to a poll in place of an incarnation before the present one, if the placer
    /// knows that one or none, and it listed ends that are not acknowledged yet.
    pub(super) fn answer_for_former(&self, envelope: &Envelope, current: &Boot) -> Option<Answer> {
        let former = self.last_listing.borrow().boot().cloned();
        let former = former.filter(|f| f != current)?;
        let is_known = envelope.boot.as_ref().is_none_or(|b| *b == former);
        is_known
            .then(|| self.answer_in_place(envelope, &former))
            .flatten()
    }

    /// Returns the identifier of an incarnation that has announced its end, or whose announced time
    /// is over, if no process listens at its address any more.
    pub(super) async fn check_departure(&self, boot: &Boot) -> Option<SmolStr> {
        let is_leaving = || {
            let announced = self.announced.borrow();
            let departure = self.departure.borrow().time(boot);
            let is_over = departure.is_some_and(|at| self.shared.clock.now() >= at);
            let is_current = announced.current().is_some_and(|a| a.boot == *boot);
            is_current && (announced.is_leaving() || is_over)
        };
        if !is_leaving() || !(self.worker.is_absent)().await || !is_leaving() {
            return None;
        }
        let left = self.announced.borrow_mut().end()?;
        let last = self.last_listing.borrow();
        let last = last.describe(boot, self.shared.clock.now());
        let detail = format!("the worker has left: {last}");
        let log = &self.shared.log;
        log.emit(Event::UpstreamLeaving, left.clone(), detail);
        Some(left)
    }
}
