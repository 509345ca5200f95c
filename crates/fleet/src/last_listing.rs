//! The ends that a draining worker listed last, kept by its sidecar.
//!
//! A draining worker can exit some milliseconds after its last task. The placer may not have
//! polled it in between, or the answer may have been lost. The sidecar therefore keeps the newest
//! listing, and answers with it once the worker no longer does.

use crate::worker::Announcement;
use crate::worker::Boot;
use crate::worker::Listing;
use crate::worker::Running;
use crate::worker::TaskId;
use std::fmt::Write;
use std::time::Duration;

/// The most runs, and the most ends, that a description names.
const MAX_NAMED: usize = 8;

/// The newest listing of a draining incarnation.
#[derive(Clone, Debug, Default)]
pub struct LastListing {
    kept: Option<(Announcement, Listing)>,
    /// When the listing arrived.
    arrived: Duration,
}

impl LastListing {
    /// Keeps a listing of an incarnation that arrived at `now`, if the incarnation drains and the
    /// listing is not older than the kept one. Answers on different connections can overtake each
    /// other.
    pub fn keep(&mut self, announced: &Announcement, listing: &Listing, now: Duration) {
        if !announced.draining || announced.boot.born != listing.born {
            return;
        }
        let kept = self.kept.as_ref().filter(|(a, _)| a.boot == announced.boot);
        if kept.is_some_and(|(_, kept)| freshness(listing) < freshness(kept)) {
            return;
        }
        self.kept = Some((announced.clone(), listing.clone()));
        self.arrived = now;
    }

    /// Returns the runs in the newest listing of an incarnation.
    pub fn running(&self, boot: &Boot) -> Vec<Running> {
        let kept = self.kept.as_ref().filter(|(a, _)| a.boot == *boot);
        kept.map_or_else(Vec::new, |(_, listing)| listing.running.clone())
    }

    /// Returns the incarnation whose listing is kept.
    pub fn boot(&self) -> Option<&Boot> {
        self.kept.as_ref().map(|(announced, _)| &announced.boot)
    }

    /// Describes the newest listing of an incarnation: its age, the runs with their percentages, and
    /// the ends.
    pub fn describe(&self, boot: &Boot, now: Duration) -> String {
        let Some((_, listing)) = self.kept.as_ref().filter(|(a, _)| a.boot == *boot) else {
            return "listed=none".into();
        };
        let mut text = format!("listed={:?} ago", now.saturating_sub(self.arrived));
        for run in listing.running.iter().take(MAX_NAMED) {
            let _ = write!(text, " {}#{} at {}%", name(&run.task), run.run, run.percent);
        }
        for end in listing.ended.iter().take(MAX_NAMED) {
            let _ = write!(text, " {}#{} {:?}", name(&end.task), end.run, end.end);
        }
        text
    }

    /// Returns the newest listing of an incarnation with its ends above `acknowledged`; none
    /// without such ends. The other ends are forgotten.
    pub fn unacknowledged(
        &mut self,
        boot: &Boot,
        acknowledged: u64,
    ) -> Option<(Announcement, Listing)> {
        let (announced, listing) = self.kept.as_mut().filter(|(a, _)| a.boot == *boot)?;
        listing.ended.retain(|e| e.number > acknowledged);
        (!listing.ended.is_empty()).then(|| (announced.clone(), listing.clone()))
    }
}

/// Returns a key by which listings of one incarnation are ordered. The clock has a resolution of a
/// millisecond, within which a run may end.
fn freshness(listing: &Listing) -> (u64, Option<u64>) {
    let newest_end = listing.ended.iter().map(|e| e.number).max();
    (listing.clock, newest_end)
}

fn name(task: &TaskId) -> String {
    format!(
        "{} {:?}",
        task.job,
        (task.occurrence, task.step, task.index)
    )
}
