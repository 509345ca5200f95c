//! Evacuated failure domains: which workers are closed to new work, and what is withdrawn.

use super::task::PlacerTask;
use hibiscusbarrow_model::event::Event;
use hibiscusbarrow_placement::JobKey;

impl PlacerTask {
    /// Applies the set of evacuated domains that this process knows, if it changed.
    pub(super) fn apply_evacuations(&mut self) {
        let domains = self.node.evacuated_domains();
        if domains != *self.scheduler.evacuated() {
            self.scheduler.set_evacuated(domains);
            self.dirty = true;
        }
        let stale = !self.node.may_start_gangs();
        if stale && !self.stale {
            let name = self.node.settings.name.clone();
            self.node.log.emit(Event::StartsPaused, name, "");
        }
        self.stale = stale;
    }

    /// Returns whether no member may be started on a worker.
    ///
    /// A placer whose set is too old cannot know of a new request, so every worker is closed.
    pub(super) fn is_closed(&self, link: usize) -> bool {
        let worker = self.links[link].key;
        self.stale || worker.is_some_and(|key| self.scheduler.grid().is_evacuated(key))
    }

    /// Stops the gangs that are to start on a worker of an evacuated domain and have not.
    ///
    /// A gang all of whose members there have started goes on as a whole.
    pub(super) fn withdraw_gangs(&mut self) {
        if self.scheduler.evacuated().is_empty() {
            return;
        }
        let grid = self.scheduler.grid();
        let starting = self.starting.values();
        let unstored = starting
            .filter(|(_, cells, _)| cells.iter().any(|c| grid.is_evacuated(c.worker)))
            .map(|(key, _, _)| *key);
        let evacuated = |link: usize| {
            let worker = self.links[link].key;
            worker.is_some_and(|key| grid.is_evacuated(key))
        };
        let unstarted = self
            .gangs
            .iter()
            .filter(|(_, g)| g.members.iter().any(|m| !m.started && evacuated(m.link)))
            .map(|(key, _)| *key);
        let withdrawn: Vec<JobKey> = unstored.chain(unstarted).collect();
        for key in withdrawn {
            self.scheduler.withdraw(key);
            self.dirty = true;
        }
    }

    /// Reports the guaranteed shapes that the workers outside evacuated domains cannot hold.
    pub(super) fn report_shortfall(&mut self) {
        let counts = self.scheduler.quotas().shortfall(self.scheduler.grid());
        let evacuated = self.scheduler.evacuated();
        let lacking = if evacuated.is_empty() {
            0
        } else {
            counts.accelerators()
        };
        if lacking == self.shortfall {
            return;
        }
        self.shortfall = lacking;
        let level = u64::from(lacking);
        self.node.metrics.set_gauge("guarantees_short", level);
        if lacking > 0 {
            let domains: Vec<&str> = evacuated.iter().map(|d| d.as_str()).collect();
            let missing: Vec<hibiscusbarrow_placement::ShapeCount> = counts.into();
            let region = self.node.settings.region.clone();
            let detail = format!("evacuated={} missing={missing:?}", domains.join(","));
            self.node.log.emit(Event::GuaranteeShort, region, detail);
        }
    }
}
