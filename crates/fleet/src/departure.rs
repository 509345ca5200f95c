//! When a draining worker leaves at the earliest, and until when its runs may go on.
//!
//! The listings of a worker that leaves are lost if they are still on their way, so a task that
//! ends as done at that moment would run again. The sidecar therefore stops what still runs
//! shortly before. A task with checkpoints continues elsewhere from the one that it makes at its
//! stop; others start again.

use crate::worker::Announcement;
use crate::worker::Boot;
use crate::worker::Running;
use std::time::Duration;

/// The time between the last stop and the departure. A sidecar whose share of the processor is
/// used up may pause for 100 ms.
const STOP_MARGIN: Duration = Duration::from_millis(150);

/// The announced departure of an incarnation.
#[derive(Clone, Debug, Default)]
pub struct Departure {
    announced: Option<(Boot, Duration)>,
}

impl Departure {
    /// Reads a heartbeat that arrived at `now`; returns whether it is the first to announce the
    /// departure of its incarnation.
    ///
    /// A heartbeat that was delayed names too late a time, so that the earliest one counts. One
    /// of an incarnation that does not drain any more takes its departure back.
    pub fn read(&mut self, heartbeat: &Announcement, now: Duration) -> bool {
        if !heartbeat.draining && self.time(&heartbeat.boot).is_some() {
            self.announced = None;
        }
        let remaining = heartbeat.remaining.filter(|_| heartbeat.draining);
        let Some(remaining) = remaining.map(Duration::from_millis) else {
            return false;
        };
        let at = now.saturating_add(remaining);
        let known = self.time(&heartbeat.boot);
        let earliest = known.map_or(at, |known| known.min(at));
        self.announced = Some((heartbeat.boot.clone(), earliest));
        known.is_none()
    }

    /// Returns when an incarnation leaves at the earliest; none if it has not said that.
    pub fn time(&self, boot: &Boot) -> Option<Duration> {
        let announced = self.announced.as_ref().filter(|(b, _)| b == boot);
        announced.map(|(_, at)| *at)
    }
}

/// Returns when the first run on a worker that leaves at `departure` is to be stopped.
pub fn first_stop(departure: Duration, stop_timeout: Duration) -> Duration {
    departure.saturating_sub(stop_timeout + STOP_MARGIN)
}

/// Returns when a run on a worker that leaves at `departure` is to be stopped.
///
/// A stop takes up to `stop_timeout`, after which the worker lists the checkpoint. A run that has
/// no checkpoint yet has little or nothing to save and may go on for longer.
pub fn stop_time(run: &Running, departure: Duration, stop_timeout: Duration) -> Duration {
    if run.checkpoint.is_empty() {
        departure.saturating_sub(STOP_MARGIN)
    } else {
        first_stop(departure, stop_timeout)
    }
}
