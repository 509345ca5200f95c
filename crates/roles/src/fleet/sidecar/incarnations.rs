//! The incarnations of a worker: which one orders are passed on to, and what calls to a former one
//! may do to it.

use super::Sidecar;
use compio::time::sleep;
use hibiscusbarrow_fleet::worker::Announcement;
use hibiscusbarrow_fleet::worker::Answer;
use hibiscusbarrow_fleet::worker::Boot;
use hibiscusbarrow_fleet::worker::Listing;
use hibiscusbarrow_fleet::worker::Order;
use hibiscusbarrow_fleet::worker::Refusal;
use hibiscusbarrow_model::event::Event;
use std::rc::Rc;
use std::time::Duration;

/// How often an incarnation that does not answer is asked after each of its heartbeats.
const CONFIRMATION_ATTEMPTS: u32 = 3;
/// The delay before an incarnation that did not answer is asked again.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(100);

impl Sidecar {
    /// Asks the worker for an answer under the identifier of each unconfirmed incarnation, and
    /// passes orders on to the one that answers.
    pub(super) async fn confirm_incarnations(self: Rc<Self>) {
        loop {
            let heartbeat = self.unconfirmed.borrow_mut().take();
            let Some(heartbeat) = heartbeat else {
                break;
            };
            match self.ask_incarnation(&heartbeat).await {
                Ok(()) => {
                    let former = self.announced.borrow().current().cloned();
                    self.is_on_hold(&heartbeat.boot);
                    self.block_stray_starts(&heartbeat).await;
                    self.announced.borrow_mut().confirm(heartbeat.clone());
                    self.log_accepted(&heartbeat, former.as_ref());
                    self.schedule_early_stops(&heartbeat);
                }
                Err(answer) => {
                    let known = self.announced.borrow().current().map(|a| a.boot.clone());
                    let detail = format!(
                        "born={} sequence={} does not answer at the worker's address: {answer} \
                         known={known:?}",
                        heartbeat.boot.born, heartbeat.sequence
                    );
                    let log = &self.shared.log;
                    log.emit(Event::BeatRefused, heartbeat.boot.id, detail);
                }
            }
        }
        self.confirming.set(false);
    }

    /// Sends an order to an incarnation of the worker with its fencing token, and with higher ones
    /// if the worker refuses that although no newer placer is known.
    pub(super) async fn send_fenced(
        &self,
        epoch: u64,
        order: &Order,
        announced: &Announcement,
    ) -> Answer {
        let boot = &announced.boot;
        let mut step = 1;
        loop {
            let token = self.fencing.borrow_mut().token(epoch, boot);
            let answer = (self.worker.send_order)(token, order.clone(), announced.clone()).await;
            if answer != Answer::Refused(Refusal::Epoch) || epoch < self.epoch.get() {
                return answer;
            }
            let mut fencing = self.fencing.borrow_mut();
            // Another order may have raised the token in the meantime.
            if fencing.token(epoch, boot) == token && !fencing.raise(boot, step) {
                return answer;
            }
            step *= 2;
        }
    }

    /// Returns whether the worker answers as the incarnation of a heartbeat. From then on, it refuses
    /// the calls that were meant for a former incarnation.
    ///
    /// # Errors
    ///
    /// Returns the last answer if it does not.
    async fn ask_incarnation(&self, heartbeat: &Announcement) -> Result<(), String> {
        let poll = Order::Poll {
            acknowledged: 0,
            deadline: None,
            wait: 0,
        };
        let mut attempt = 1;
        loop {
            let epoch = self.epoch.get();
            match self.send_fenced(epoch, &poll, heartbeat).await {
                Answer::Listed(_, listing) if listing.born == heartbeat.boot.born => return Ok(()),
                Answer::Listed(_, listing) => return Err(format!("born={}", listing.born)),
                // Only the incarnation that the poll names compares the epoch.
                Answer::Refused(Refusal::Epoch) => return Ok(()),
                answer @ Answer::Refused(Refusal::Boot) => return Err(format!("{answer:?}")),
                answer if attempt == CONFIRMATION_ATTEMPTS => return Err(format!("{answer:?}")),
                _ => {}
            }
            attempt += 1;
            sleep(CONFIRMATION_DELAY).await;
        }
    }

    /// Makes a new incarnation refuse the starts that were meant for a former one, and stops those
    /// that it has carried out.
    async fn block_stray_starts(&self, heartbeat: &Announcement) {
        let starts = self.stray_calls.borrow().starts_for(&heartbeat.boot);
        for (task, run) in starts {
            let stop = Order::Stop { task, run };
            let mut answer = Answer::Silent;
            for _ in 0..CONFIRMATION_ATTEMPTS {
                answer = self.send_fenced(self.epoch.get(), &stop, heartbeat).await;
                if answer == Answer::Accepted {
                    break;
                }
            }
            let detail = format!("born={} {stop:?}: {answer:?}", heartbeat.boot.born);
            let log = &self.shared.log;
            log.emit(Event::StrayBlocked, heartbeat.boot.id.clone(), detail);
        }
    }

    /// Remembers an order that got no answer, and keeps it from taking effect on an incarnation
    /// that has taken the place of the one that it was meant for.
    pub(super) async fn track_strays(&self, boot: &Boot, order: &Order, answer: &Answer) {
        let now = self.shared.clock.now();
        match answer {
            Answer::Silent => self.stray_calls.borrow_mut().record(boot, order, now),
            Answer::Listed(..) | Answer::Accepted => {
                self.stray_calls.borrow_mut().handle_answer(now);
            }
            _ => {}
        }
        let current = self.announced.borrow().current().cloned();
        if let Some(later) = current.filter(|c| *answer == Answer::Silent && c.boot != *boot) {
            self.is_on_hold(&later.boot);
            self.block_stray_starts(&later).await;
        }
    }

    /// Stops a run that has started, or may start late, on an incarnation on hold. Its end shows whether
    /// the incarnation forgets ends, and is not missed if it does.
    pub(super) fn probe_if_on_hold(
        self: &Rc<Self>,
        announced: &Announcement,
        order: &Order,
        answer: &Answer,
    ) {
        let Order::Start(start) = order else {
            return;
        };
        let may_run = matches!(answer, Answer::Accepted | Answer::Silent);
        if !may_run || !self.is_on_hold(&announced.boot) {
            return;
        }
        let (task, run) = (start.task.clone(), start.run);
        self.ended_runs.borrow_mut().insert(&task, run);
        let stop = Order::Stop { task, run };
        compio::runtime::spawn(self.clone().stop_probe(announced.clone(), stop)).detach();
    }

    /// Sends a stop until the incarnation has carried it out or is no longer there.
    async fn stop_probe(self: Rc<Self>, announced: Announcement, stop: Order) {
        let boot = &announced.boot;
        let is_current = || self.announced.borrow().current().map(|a| &a.boot) == Some(boot);
        let mut answer = Answer::Silent;
        while is_current() && answer != Answer::Accepted {
            answer = self.send_fenced(self.epoch.get(), &stop, &announced).await;
            if answer != Answer::Accepted {
                sleep(CONFIRMATION_DELAY).await;
            }
        }
        let detail = format!("born={} {stop:?}: {answer:?}", boot.born);
        let log = &self.shared.log;
        log.emit(Event::ProbeStopped, boot.id.clone(), detail);
    }

    /// Ends the hold of an incarnation that lists an end.
    pub(super) fn release_if_ended(&self, boot: &Boot, listing: &Listing) {
        let Some(end) = listing.ended.first() else {
            return;
        };
        if self.stray_calls.borrow_mut().handle_end(boot) {
            let detail = format!("born={} end={}", boot.born, end.number);
            let log = &self.shared.log;
            log.emit(Event::WorkerReleased, boot.id.clone(), detail);
        }
    }

    /// Returns whether no run should end on an incarnation, and logs it for the first time.
    pub(super) fn is_on_hold(&self, boot: &Boot) -> bool {
        let on_hold = self.stray_calls.borrow_mut().may_lose_ends(boot);
        if on_hold && self.held.replace(Some(boot.born)) != Some(boot.born) {
            let detail = format!("born={}", boot.born);
            let log = &self.shared.log;
            log.emit(Event::WorkerHeld, boot.id.clone(), detail);
        }
        on_hold
    }

    /// Returns the newest heartbeat of the incarnation that sent the given one.
    pub(super) fn newest_of(&self, heartbeat: Announcement) -> Announcement {
        let announced = self.announced.borrow();
        let newest = announced.current().filter(|a| a.boot == heartbeat.boot);
        let newest = newest.cloned().unwrap_or(heartbeat);
        let on_hold = self.is_on_hold(&newest.boot);
        Announcement {
            on_hold,
            probing: true,
            sidecar_start: Some(self.started),
            ..newest
        }
    }
}
