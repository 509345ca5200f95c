//! Crashes of workers, and the tasks that are suspected to cause them.
//!
//! A worker that crashes takes all its runs along, so a crash alone does not tell which task
//! caused it. The suspects are tasks that had just been started, and tasks under which several
//! workers have crashed. A suspect is started again on trial: on a worker without other runs, on
//! which nothing else starts until the suspect has outlived the crashes before. Only a crash of
//! a worker on which nothing else ran counts as evidence; a task with enough of it is given up.
//!
//! No trial keeps other work out without end: it ends after `MAX_TRIAL`, and sound tasks that find no
//! room elsewhere start beside it sooner.

use super::Decision;
use super::Entry;
use super::Ledger;
use super::Phase;
use super::Run;
use super::TaskKey;
use super::Worker;
use super::fit::Candidate;
use super::fit::Slot;
use crate::job::Step;
use crate::record::Crashes;
use crate::worker::Boot;
use crate::worker::Resources;
use smol_str::SmolStr;
use std::cmp::Reverse;
use std::collections::HashSet;
use std::time::Duration;

/// A task under which fewer workers have crashed is not given up; with as many, its runs are on
/// trial until they end.
const MIN_CRASHES: u32 = 3;
/// The crashes after which a task is given up if nothing else ran on the worker in two of them.
const MAX_CRASHES: u32 = 4;
/// The number of crashes of a worker on which nothing else ran after which a task is given up.
const MAX_CRASHES_ALONE: u32 = 3;
/// The same if these crashes came soon after the start, or if there were `MAX_CRASHES` in all.
const MIN_CRASHES_ALONE: u32 = 2;
/// The most starts of a task after `MIN_CRASHES` crashes; then it is given up unless it is done.
const MAX_TRIES: u32 = 2;
/// A crash within this time of a start makes the started task a suspect.
const SUSPICION_PERIOD: Duration = Duration::from_secs(1);
/// The shortest trial; a trial takes twice as long as the task ever ran before a crash.
const MIN_TRIAL: Duration = Duration::from_millis(500);
/// The longest trial, also of a task that goes on for longer.
const MAX_TRIAL: Duration = ACQUITTAL_PERIOD;
/// How long a suspect waits for a worker without other runs; then its trial may be beside runs
/// that are not on trial. Sound tasks that find no other room wait as long for the end of a trial.
const TRIAL_PATIENCE: Duration = Duration::from_secs(15);
/// The same for long-running tasks, which are restarted soon after any end.
const LONG_RUNNING_PATIENCE: Duration = Duration::from_secs(5);
/// The same while less than half of the service is in use, but for suspects with `MIN_CRASHES`.
const IDLE_PATIENCE: Duration = Duration::from_secs(2);
/// The least time for which a trial in such a service keeps out the tasks that have waited.
const IDLE_EXCLUSION: Duration = SUSPICION_PERIOD;
/// A task under which as many workers have crashed may be given up, and does not start beside a
/// run on trial.
const MAX_CRASHES_BESIDE: u32 = 1;
/// The share of the workers of a service that may be on trial or down at the same time, in
/// percent; at least one may.
const MAX_TRIAL_PERCENT: usize = 34;
/// The same for workers that nothing else needs.
const MAX_SPARE_TRIAL_PERCENT: usize = 75;
/// A worker that has been silent for longer is not expected back.
const MAX_DOWNTIME: Duration = Duration::from_secs(10);
/// A long-running task is never done; a run that goes on for this long ends the suspicion.
const ACQUITTAL_PERIOD: Duration = Duration::from_secs(60);
/// The most runs that the log entry of a crash lists.
const MAX_LISTED_RUNS: usize = 8;

/// A run that was on a worker when it crashed, or when its lease expired.
#[derive(Clone, Debug)]
pub(super) struct LostRun {
    job: SmolStr,
    key: TaskKey,
    number: u64,
    boot: Boot,
    /// How long the run had been started when the worker fell silent; none if another placer
    /// sent the start.
    age: Option<Duration>,
    /// Whether the worker accepted the start or has listed the run.
    is_seen: bool,
}

/// Returns whether a task is to be started only on trial: many workers have crashed under it, or
/// the last one soon after the start.
pub(super) fn is_suspect(crashes: &Crashes, step: &Step) -> bool {
    // The start of a gang also ends without evidence, if another member loses its worker.
    let many = if step.gang {
        MIN_CRASHES - 1
    } else {
        MIN_CRASHES
    };
    crashes.count >= many || (crashes.count > 0 && crashes.was_prompt)
}

/// Returns whether there is enough evidence against a task to give it up.
///
/// The tries of long-running tasks do not count, as these start again however they end; with as many
/// crashes they are given up without other evidence.
fn is_convicted(crashes: &Crashes, long_running: bool) -> bool {
    let proved = crashes.prompt >= MIN_CRASHES_ALONE || crashes.alone >= MAX_CRASHES_ALONE;
    let too_many = crashes.count >= MAX_CRASHES && crashes.alone >= MIN_CRASHES_ALONE;
    let spent = long_running && crashes.count >= MIN_CRASHES + MAX_TRIES;
    crashes.count >= MIN_CRASHES && (proved || too_many || spent)
}

/// Returns whether a worker crashed so soon after a start that the started task is a suspect.
fn is_prompt(age: Option<Duration>) -> bool {
    age.is_some_and(|age| age <= SUSPICION_PERIOD)
}

/// Returns how long a run must go on to outlive the crashes under its task.
fn trial_period(crashes: &Crashes) -> Duration {
    let age = crashes.age_ms.filter(|_| crashes.count < MIN_CRASHES);
    let twice = age.map(|age| Duration::from_millis(age).saturating_mul(2));
    twice.map_or(MAX_TRIAL, |t| t.clamp(MIN_TRIAL, MAX_TRIAL))
}

impl Entry {
    /// Separates the tasks of a candidate that may start on trial only from the others. A gang
    /// stays whole.
    pub(super) fn split_suspects(
        &self,
        mut whole: Candidate,
        service_is_idle: bool,
        now: Duration,
    ) -> Vec<Candidate> {
        let (occurrence, step) = (whole.occurrence, whole.step);
        let crashes = |index: u32| self.crashes((occurrence, step, index));
        let of_step = self.step((occurrence, step, 0));
        let indices = whole.indices.iter().copied();
        let mut suspects: Vec<u32> = indices
            .filter(|i| is_suspect(&crashes(*i), of_step))
            .collect();
        suspects.sort_by_key(|i| Reverse(crashes(*i).alone));
        let is_impatient = |index: &u32| {
            let is_hurried = service_is_idle && crashes(*index).count < MIN_CRASHES;
            self.has_waited((occurrence, step, *index), is_hurried, now)
        };
        let impatient = suspects.iter().copied().filter(is_impatient).collect();
        if suspects.is_empty() || of_step.gang {
            (whole.suspects, whole.impatient) = (suspects, impatient);
            return vec![whole];
        }
        whole.indices.retain(|i| !suspects.contains(i));
        let on_trial = Candidate {
            indices: suspects.clone(),
            suspects,
            impatient,
            ..whole.clone()
        };
        let parts = [whole, on_trial].into_iter();
        parts.filter(|c| !c.indices.is_empty()).collect()
    }

    /// Returns whether a suspect has waited long enough for a worker without other runs.
    fn has_waited(&self, key: TaskKey, service_is_idle: bool, now: Duration) -> bool {
        let since = self.crash_seen.get(&key).copied().unwrap_or(now);
        now >= since + self.patience(key, service_is_idle)
    }

    /// Returns how long a task waits for trials.
    fn patience(&self, key: TaskKey, service_is_idle: bool) -> Duration {
        match self.step(key).long_running {
            _ if service_is_idle => IDLE_PATIENCE,
            true => LONG_RUNNING_PATIENCE,
            false => TRIAL_PATIENCE,
        }
    }

    /// Lets the sound tasks of a candidate that have waited long enough start beside runs on trial,
    /// where these have gone on for some time.
    pub(super) fn allow_beside_trials(
        &self,
        candidate: &mut Candidate,
        service_is_idle: bool,
        now: Duration,
    ) {
        let (occurrence, step) = (candidate.occurrence, candidate.step);
        let patience = self.patience((occurrence, step, 0), service_is_idle);
        if candidate.waited < patience {
            return;
        }
        candidate.exclusion = if service_is_idle {
            IDLE_EXCLUSION
        } else {
            patience
        };
        let may_start = |index: &u32| {
            let key = (occurrence, step, *index);
            let is_sound = self.crashes(key).count <= MAX_CRASHES_BESIDE;
            let last_crash = self.crash_seen.get(&key);
            is_sound && last_crash.is_none_or(|at| now >= *at + patience)
        };
        let indices = candidate.indices.iter().copied();
        candidate.beside_trials = indices.filter(may_start).collect();
        candidate
            .beside_trials
            .retain(|i| !candidate.suspects.contains(i));
    }

    /// Returns the crashes under a task.
    fn crashes(&self, key: TaskKey) -> Crashes {
        let progress = self.record.progress(key.0, key.1, key.2);
        progress.map(|p| p.crashes).unwrap_or_default()
    }

    /// Returns whether the next trial of the job has to wait for one that goes on, as there is
    /// evidence against one of its tasks.
    pub(super) fn awaits_trial(&self) -> bool {
        let on_trial = self.runs.iter().filter(|(_, r)| r.on_trial);
        on_trial.count() > 0
            && self
                .crash_seen
                .keys()
                .any(|key| self.crashes(*key).alone > 0)
    }

    /// Returns the group of runs that a crash takes along in any case: a gang, or one run.
    fn group(&self, key: TaskKey) -> (u32, u32, Option<u32>) {
        let index = (!self.step(key).gang).then_some(key.2);
        (key.0, key.1, index)
    }
}

impl Ledger {
    /// Removes and returns the runs that went down with the incarnations of a worker that are
    /// over, the youngest first; none of an incarnation that had said itself that it drains.
    ///
    /// A notice of its end is not enough: one of a former incarnation may arrive late, after a
    /// crash of the present one. A placer that has never heard from the worker has only that notice.
    pub(super) fn take_crashed_runs(
        &mut self,
        sidecar: &SmolStr,
        is_over: impl Fn(&Boot) -> bool,
        now: Duration,
    ) -> Vec<LostRun> {
        let Some(worker) = self.workers.get_mut(sidecar) else {
            return Vec::new();
        };
        let mut lost = std::mem::take(&mut worker.expired_runs);
        let silent_since = worker.silent_since.unwrap_or(now);
        let runs = self.iter_runs_on(sidecar);
        let worker = &self.workers[sidecar];
        let started = runs.filter(|(_, _, run)| worker.may_have_run(run, now));
        lost.extend(started.map(|(id, key, run)| LostRun::new(id, key, run, silent_since)));
        let has_left = |boot: &Boot| match &worker.announced {
            Some(announced) => announced.draining && announced.boot == *boot,
            None => worker.departed.as_ref().is_some_and(|d| d.0 == boot.id),
        };
        lost.retain(|l| is_over(&l.boot) && !has_left(&l.boot));
        lost.sort_by_key(|l| l.age);
        lost
    }

    /// Writes the crashes of workers that have left, but never said that they drain, into the
    /// records, before their tasks start again.
    pub(super) fn record_departures(&mut self, now: Duration) {
        let has_left = |w: &Worker| w.departure(now).cloned();
        let left = self.workers.iter();
        let left: Vec<_> = left
            .filter_map(|(sidecar, w)| Some((sidecar.clone(), has_left(w)?)))
            .collect();
        for (sidecar, id) in left {
            let lost = self.take_crashed_runs(&sidecar, |boot| boot.id == id, now);
            self.record_crash(&sidecar, &lost, false, now);
        }
    }

    /// Keeps the runs that are given up because the lease of their worker has expired.
    pub(super) fn keep_expired_runs(&mut self, expired: &[(SmolStr, TaskKey)], now: Duration) {
        for (id, key) in expired {
            let Some(run) = self.jobs.get(id).and_then(|e| e.runs.get(key)) else {
                continue;
            };
            let worker = self.workers.get_mut(&run.sidecar);
            if let Some(worker) = worker.filter(|w| w.may_have_run(run, now)) {
                let silent_since = worker.silent_since.unwrap_or(now);
                let lost = LostRun::new(id, *key, run, silent_since);
                worker.expired_runs.push(lost);
            }
        }
    }

    /// Writes the crash of a worker into the records of the runs that were lost, and gives up
    /// the jobs whose tasks caused it.
    ///
    /// A task does not crash the sidecar beside its worker. If the sidecar has started again as well,
    /// only runs that are known to have started count, and the crash is no evidence against them.
    pub(super) fn record_crash(
        &mut self,
        sidecar: &SmolStr,
        lost: &[LostRun],
        lost_power: bool,
        now: Duration,
    ) {
        let lost: Vec<_> = lost.iter().filter(|l| l.is_seen || !lost_power).collect();
        if lost.is_empty() {
            return;
        }
        let groups = lost.iter().map(|l| {
            let entry = self.jobs.get(&l.job);
            (&l.job, entry.map(|e| e.group(l.key)))
        });
        let alone = groups.collect::<HashSet<_>>().len() == 1 && !lost_power;
        self.note_crash(sidecar, &lost, alone, lost_power);
        for run in lost {
            let was_prompt = is_prompt(run.age) && !lost_power;
            self.count_crash(sidecar, run, alone, was_prompt, now);
        }
    }

    fn note_crash(&mut self, sidecar: &SmolStr, lost: &[&LostRun], alone: bool, lost_power: bool) {
        let listed = lost.iter().take(MAX_LISTED_RUNS).map(|l| {
            let (job, key, number, age) = (&l.job, l.key, l.number, l.age);
            format!(" {job} {key:?}#{number} age={age:?}")
        });
        let detail = format!(
            "boot={} runs={} alone={alone} lost_power={lost_power}, the youngest first:{}",
            lost[0].boot.id,
            lost.len(),
            listed.collect::<String>()
        );
        self.note(Decision::WorkerCrashed, sidecar, "", detail);
    }

    /// Counts a crash under a task, and fails the job if the task is to be given up.
    fn count_crash(
        &mut self,
        sidecar: &SmolStr,
        lost: &LostRun,
        alone: bool,
        was_prompt: bool,
        now: Duration,
    ) {
        let Some(entry) = self.jobs.get_mut(&lost.job) else {
            return;
        };
        let (id, key) = (&lost.job, lost.key);
        if entry.record.compacted.contains(key.0) {
            return;
        }
        let long_running = entry.step(key).long_running;
        let is_acquitted = long_running && lost.age.is_some_and(|age| age >= ACQUITTAL_PERIOD);
        let progress = entry.record.progress_mut(key.0, key.1, key.2);
        if progress.done || is_acquitted {
            return;
        }
        progress.crashes.count = progress.crashes.count.saturating_add(1);
        progress.crashes.alone = progress.crashes.alone.saturating_add(u32::from(alone));
        progress.crashes.was_prompt = was_prompt;
        let is_proof = alone && was_prompt;
        progress.crashes.prompt = progress.crashes.prompt.saturating_add(u32::from(is_proof));
        let age_ms = lost.age.map(|age| age.as_millis() as u64);
        progress.crashes.age_ms = progress.crashes.age_ms.max(age_ms);
        let crashes = progress.crashes;
        entry.crash_seen.insert(key, now);
        if is_suspect(&crashes, entry.step(key)) {
            entry.avoided.insert(sidecar.clone());
        }
        let gives_up = is_convicted(&crashes, long_running) && !entry.record.is_over();
        let account = entry.record.job.account.clone();
        entry.record.failed |= gives_up;
        self.mark_changed(id);
        if gives_up {
            let detail = format!(
                "task={key:?} run={} worker={sidecar} crashes={} alone={} prompt={}",
                lost.number, crashes.count, crashes.alone, crashes.prompt
            );
            self.note(Decision::GivenUp, id, &account, detail);
            self.finish_job(id, now);
        }
    }

    /// Counts a planned start of a task under which `MIN_CRASHES` workers have crashed.
    pub(super) fn count_try(&mut self, id: &SmolStr, key: TaskKey) {
        if let Some(crashes) = self.crashes_mut(id, key).filter(|c| c.count >= MIN_CRASHES) {
            crashes.tries = crashes.tries.saturating_add(1);
        }
    }

    /// Takes back the count of a start that was not carried out.
    pub(super) fn uncount_try(&mut self, id: &SmolStr, key: TaskKey) {
        if let Some(crashes) = self.crashes_mut(id, key) {
            crashes.tries = crashes.tries.saturating_sub(1);
        }
    }

    fn crashes_mut(&mut self, id: &SmolStr, key: TaskKey) -> Option<&mut Crashes> {
        let entry = self.jobs.get_mut(id)?;
        let progress = entry.record.progress(key.0, key.1, key.2)?;
        if progress.crashes.is_empty() {
            return None;
        }
        Some(&mut entry.record.progress_mut(key.0, key.1, key.2).crashes)
    }

    /// Gives up the job of a candidate if one of its tasks has used up its tries; returns whether
    /// it is given up.
    pub(super) fn give_up_after_tries(&mut self, candidate: &Candidate, now: Duration) -> bool {
        let Some(entry) = self.jobs.get(&candidate.job) else {
            return false;
        };
        if entry.record.failed {
            return true;
        }
        let key = |index: u32| (candidate.occurrence, candidate.step, index);
        let is_spent = |index: &&u32| entry.crashes(key(**index)).tries >= MAX_TRIES;
        let spent = candidate.suspects.iter().find(is_spent).copied();
        let Some(index) = spent.filter(|i| !entry.step(key(*i)).long_running) else {
            return false;
        };
        let crashes = entry.crashes(key(index));
        let account = entry.record.job.account.clone();
        let detail = format!(
            "task={:?} crashes={} alone={} prompt={} tries={}",
            key(index),
            crashes.count,
            crashes.alone,
            crashes.prompt,
            crashes.tries
        );
        self.note(Decision::GivenUp, &candidate.job, &account, detail);
        if let Some(entry) = self.jobs.get_mut(&candidate.job) {
            entry.record.failed = true;
        }
        self.finish_job(&candidate.job, now);
        true
    }

    /// Ends the trial of a run that was still at work after `at` if it has outlived the crashes
    /// before; acquits a long-running task, which is never done.
    pub(super) fn end_trial(&mut self, id: &SmolStr, key: TaskKey, at: Duration) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let long_running = entry.step(key).long_running;
        let progress = entry.record.progress(key.0, key.1, key.2);
        let Some(crashes) = progress.map(|p| p.crashes).filter(|c| !c.is_empty()) else {
            return;
        };
        let Some(run) = entry.runs.get_mut(&key) else {
            return;
        };
        let age = at.saturating_sub(run.started_at.unwrap_or(run.phase_since));
        run.on_trial &= age < trial_period(&crashes);
        if long_running && age >= ACQUITTAL_PERIOD {
            entry.record.progress_mut(key.0, key.1, key.2).crashes = Crashes::default();
            self.mark_changed(id);
        }
    }

    /// Returns whether less than half of the capacity of a service is in use.
    pub(super) fn is_idle(service: &str, slots: &[Slot]) -> bool {
        let (mut total, mut free) = (Resources::default(), Resources::default());
        for slot in slots.iter().filter(|s| s.service == service) {
            total.add(&slot.total);
            free.add(&slot.free);
        }
        free.add(&free.clone());
        free.covers(&total)
    }

    /// Returns whether another worker may be put on trial for a job.
    pub(super) fn may_try(
        &self,
        entry: &Entry,
        candidate: &Candidate,
        slots: &[Slot],
        now: Duration,
    ) -> bool {
        let service = &entry.record.job.service;
        if entry.awaits_trial() {
            return false;
        }
        let of_service = self.workers.values().filter(|w| {
            let announced = w.announced.as_ref();
            announced.is_some_and(|a| a.service == *service)
                && w.departed.is_none()
                && !self.is_evacuated(w)
        });
        let is_down = |w: &&super::Worker| {
            w.silent_since
                .is_some_and(|since| now < since + MAX_DOWNTIME)
        };
        let down = of_service.clone().filter(is_down).count();
        let on_trial = slots.iter().filter(|s| s.is_on_trial(service)).count();
        let percent = if candidate.spare {
            MAX_SPARE_TRIAL_PERCENT
        } else {
            MAX_TRIAL_PERCENT
        };
        let limit = (of_service.count() * percent / 100).max(1);
        down + on_trial < limit
    }
}

impl Worker {
    /// Returns whether a run may have been at work on the newest incarnation of the worker.
    fn may_have_run(&self, run: &Run, now: Duration) -> bool {
        let silent_since = self.silent_since.unwrap_or(now);
        // An order that the worker was too silent to answer did not reach it.
        let too_late = run.start_unanswered && run.started_at.is_some_and(|at| at > silent_since);
        let was_listed_since = match run.started_at {
            Some(at) => self.last_polled.is_some_and(|polled| polled > at),
            None => self.boot.as_ref() == Some(&run.boot),
        };
        // The incarnation has listed its runs, and this one was not among them.
        let is_missing = !run.is_seen && was_listed_since;
        run.phase != Phase::Planned && !too_late && !is_missing
    }
}

impl LostRun {
    fn new(id: &SmolStr, key: TaskKey, run: &Run, silent_since: Duration) -> Self {
        let started_at = run.started_at;
        Self {
            job: id.clone(),
            key,
            number: run.number,
            boot: run.boot.clone(),
            age: started_at.map(|at| silent_since.saturating_sub(at)),
            is_seen: run.is_seen,
        }
    }
}
