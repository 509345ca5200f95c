//! Random interleavings of placers, a store and workers, against an oracle.
//!
//! Orders and answers are delayed, lost or carried out seconds late; workers
//! start again under the same or another identifier or are cut off; placers
//! are replaced at any moment and what they sent is still on its way.

use crate::fixtures::job;
use crate::fixtures::step;
use hibiscusbarrow_fleet::ended_runs::EndedRuns;
use hibiscusbarrow_fleet::job::Job;
use hibiscusbarrow_fleet::job::Step;
use hibiscusbarrow_fleet::ledger::Batch;
use hibiscusbarrow_fleet::ledger::Bounds;
use hibiscusbarrow_fleet::ledger::Effect;
use hibiscusbarrow_fleet::ledger::Ledger;
use hibiscusbarrow_fleet::record::Record;
use hibiscusbarrow_fleet::record::State;
use hibiscusbarrow_fleet::worker::Announcement;
use hibiscusbarrow_fleet::worker::Answer;
use hibiscusbarrow_fleet::worker::Boot;
use hibiscusbarrow_fleet::worker::End;
use hibiscusbarrow_fleet::worker::Ended;
use hibiscusbarrow_fleet::worker::Listing;
use hibiscusbarrow_fleet::worker::Order;
use hibiscusbarrow_fleet::worker::Refusal;
use hibiscusbarrow_fleet::worker::Resources;
use hibiscusbarrow_fleet::worker::Running;
use hibiscusbarrow_fleet::worker::TaskId;
use proptest::prelude::*;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(20);
const HOLD_MS: u64 = 10_000;
/// The time from the start of a runner to its first heartbeat.
const FIRST_BEAT: Duration = Duration::from_millis(100);
const FAULTS: Duration = Duration::from_secs(25);
const CALM: Duration = Duration::from_secs(60);
const WALL: u64 = 1_700_000_000_000;

/// A small generator, so that one seed gives one history.
struct Dice(u64);

impl Dice {
    fn roll(&mut self, sides: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % sides
    }
}

struct Runner {
    boot: Boot,
    /// When this life began; its clock starts there.
    since: Duration,
    /// Thousandths by which its clock is slow.
    slow: u64,
    epoch: u64,
    /// The highest epoch that the sidecar has seen; it outlives the runner.
    passed: u64,
    /// What the sidecar remembers of ended runs.
    ended_runs: EndedRuns,
    deadline: u64,
    running: BTreeMap<TaskId, (u64, u64)>,
    barred: BTreeMap<TaskId, u64>,
    ended: Vec<Ended>,
    next: u64,
    /// Ends up to this number were listed before the lease lapsed; they count for
    /// nothing if they are taken note of afterwards.
    lapsed: u64,
    cut: Duration,
}

enum Message {
    Order(usize, SmolStr, Duration, Option<Boot>, u64, Order),
    Answer(usize, SmolStr, Boot, Order, Answer),
    Listed(usize, SmolStr, Duration, Announcement, Listing),
    Write(usize, Batch),
    Stored(usize, Batch, Result<u64, Vec<(SmolStr, u64)>>),
}

struct Oracle {
    done: BTreeSet<TaskId>,
    noted_done: BTreeSet<TaskId>,
    noted_failures: BTreeMap<TaskId, u32>,
    cancelled: BTreeMap<SmolStr, Duration>,
    started: u64,
}

struct World {
    now: Duration,
    dice: Dice,
    faults: bool,
    placers: Vec<(Ledger, bool)>,
    busy: Vec<bool>,
    epoch: u64,
    stored: BTreeMap<SmolStr, (Record, u64)>,
    revision: u64,
    runners: BTreeMap<SmolStr, Runner>,
    mail: Vec<(Duration, Message)>,
    looks: BTreeMap<(usize, SmolStr), Duration>,
    oracle: Oracle,
}

impl Runner {
    fn clock(&self, now: Duration) -> u64 {
        (now - self.since).as_millis() as u64 * (1_000 - self.slow) / 1_000
    }

    fn end(&mut self, task: &TaskId, run: u64, end: End) {
        self.running.remove(task);
        let highest = self.barred.entry(task.clone()).or_default();
        *highest = (*highest).max(run);
        self.ended.push(Ended {
            number: self.next,
            task: task.clone(),
            run,
            end,
            checkpoint: SmolStr::default(),
        });
        self.next += 1;
    }
}

fn world(seed: u64) -> World {
    let mut runners = BTreeMap::new();
    for i in 0..3_u64 {
        let runner = Runner {
            boot: Boot {
                id: format!("w{i}").into(),
                born: 1,
            },
            since: Duration::ZERO,
            slow: i * 10,
            epoch: 0,
            passed: 0,
            ended_runs: EndedRuns::default(),
            deadline: HOLD_MS,
            running: BTreeMap::new(),
            barred: BTreeMap::new(),
            ended: Vec::new(),
            next: 1,
            lapsed: 0,
            cut: Duration::ZERO,
        };
        runners.insert(SmolStr::from(format!("n{i}")), runner);
    }
    let mut world = World {
        now: Duration::ZERO,
        dice: Dice(seed | 1),
        faults: true,
        placers: Vec::new(),
        busy: Vec::new(),
        epoch: 0,
        stored: BTreeMap::new(),
        revision: 1,
        runners,
        mail: Vec::new(),
        looks: BTreeMap::new(),
        oracle: Oracle {
            done: BTreeSet::new(),
            noted_done: BTreeSet::new(),
            noted_failures: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            started: 0,
        },
    };
    world.elect();
    world
}

fn random_job(dice: &mut Dice, number: u64) -> Job {
    let first = Step {
        gang: dice.roll(2) == 0,
        ..step(1 + dice.roll(3) as u32, 1 + dice.roll(4))
    };
    let second = Step {
        after: vec![0],
        ..step(1 + dice.roll(3) as u32, 1)
    };
    let steps = match dice.roll(2) {
        0 => vec![first],
        _ => vec![first, second],
    };
    Job {
        priority: dice.roll(3) as u32,
        ..job(&format!("j{number}"), steps)
    }
}

impl World {
    /// Replaces the placer; what the former one sent stays on its way.
    fn elect(&mut self) {
        self.epoch += 1;
        for placer in &mut self.placers {
            placer.1 = false;
        }
        let mut ledger = Ledger::new(Bounds::default(), self.epoch, self.now);
        for (record, revision) in self.stored.values() {
            ledger.put_job(record.clone(), *revision, self.now);
        }
        for node in self.runners.keys() {
            let addr = "127.0.0.1:1".parse().expect("the address is valid");
            ledger.put_worker(node.clone(), addr);
        }
        self.placers.push((ledger, true));
        self.busy.push(false);
    }

    fn post(&mut self, message: Message) {
        let delay = match self.dice.roll(100) {
            0..=2 if self.faults => 2_000 + self.dice.roll(8_000),
            3..=9 if self.faults => self.dice.roll(1_000),
            _ => self.dice.roll(30),
        };
        self.mail
            .push((self.now + Duration::from_millis(delay), message));
    }

    fn tick(&mut self, jobs: &mut u64) {
        self.now += TICK;
        if self.faults {
            self.disturb(jobs);
        }
        self.work();
        let due: Vec<Message> = {
            let now = self.now;
            let (due, rest) = std::mem::take(&mut self.mail)
                .into_iter()
                .partition(|m| m.0 <= now);
            self.mail = rest;
            let due: Vec<(Duration, Message)> = due;
            due.into_iter().map(|m| m.1).collect()
        };
        for message in due {
            self.deliver(message);
        }
        for at in 0..self.placers.len() {
            if self.placers[at].1 {
                self.act(at);
            }
        }
    }

    fn disturb(&mut self, jobs: &mut u64) {
        if self.dice.roll(40) == 0 && *jobs < 12 {
            *jobs += 1;
            let job = random_job(&mut self.dice, *jobs);
            self.submit(job);
        }
        if self.dice.roll(250) == 0 {
            self.elect();
        }
        if self.dice.roll(300) == 0 {
            self.cancel();
        }
        let nodes: Vec<SmolStr> = self.runners.keys().cloned().collect();
        let node = &nodes[self.dice.roll(3) as usize];
        let now = self.now;
        match self.dice.roll(600) {
            0 => {
                let kept = self.dice.roll(2) == 0;
                let runner = self.runners.get_mut(node).expect("it is there");
                let id = match kept {
                    true => runner.boot.id.clone(),
                    false => format!("{}x", runner.boot.id).into(),
                };
                let born = runner.boot.born + 1;
                runner.boot = Boot { id, born };
                runner.since = now;
                runner.epoch = 0;
                runner.deadline = HOLD_MS;
                runner.running.clear();
                runner.barred.clear();
                runner.ended.clear();
                runner.next = 1;
                runner.lapsed = 0;
            }
            1 => {
                let time = Duration::from_millis(1_000 + self.dice.roll(14_000));
                self.runners.get_mut(node).expect("it is there").cut = now + time;
            }
            _ => {}
        }
    }

    fn submit(&mut self, job: Job) {
        self.revision += 1;
        let record = Record::new(job);
        let id = record.job.id.clone();
        self.stored.insert(id, (record.clone(), self.revision));
        for (ledger, _) in &mut self.placers {
            ledger.put_job(record.clone(), self.revision, self.now);
        }
    }

    fn cancel(&mut self) {
        let open = self.stored.iter().filter(|(_, (r, _))| !r.is_over());
        let Some(id) = open.map(|(id, _)| id.clone()).next() else {
            return;
        };
        self.revision += 1;
        let (record, revision) = self.stored.get_mut(&id).expect("it is stored");
        record.cancelled = true;
        *revision = self.revision;
        self.oracle.cancelled.insert(id.clone(), self.now);
        for (ledger, _) in &mut self.placers {
            ledger.put_job(record.clone(), self.revision, self.now);
        }
    }

    /// Lets tasks make progress, end and lapse.
    fn work(&mut self) {
        let now = self.now;
        let mut finished = Vec::new();
        for (node, runner) in &mut self.runners {
            let clock = runner.clock(now);
            if clock > runner.deadline {
                runner.lapsed = runner.next - 1;
            }
            let tasks: Vec<(TaskId, u64)> = runner
                .running
                .iter()
                .map(|(t, r)| (t.clone(), r.0))
                .collect();
            for (task, run) in tasks {
                if clock > runner.deadline {
                    runner.end(&task, run, End::Lapsed);
                    continue;
                }
                let progress = &mut runner.running.get_mut(&task).expect("it runs").1;
                *progress += 1;
                if *progress > 60 {
                    finished.push((node.clone(), task, run));
                }
            }
        }
        for (node, task, run) in finished {
            let end = match self.dice.roll(12) {
                0 => End::Failed,
                _ => End::Done,
            };
            self.finish(&node, &task, run, end);
        }
    }

    fn finish(&mut self, node: &SmolStr, task: &TaskId, run: u64, end: End) {
        let step = &self.stored[&task.job].0.job.steps[task.step as usize];
        let members = match step.gang {
            true => 0..step.count,
            false => task.index..task.index + 1,
        };
        let gang = step.gang;
        let member = |index| TaskId {
            index,
            ..task.clone()
        };
        let here = |r: &Runner, t: &TaskId| r.running.get(t).is_some_and(|x| x.0 == run);
        let all = members
            .clone()
            .all(|i| self.runners.values().any(|r| here(r, &member(i))));
        if gang && !all {
            return;
        }
        for index in members {
            let task = member(index);
            for (at, runner) in &mut self.runners {
                if here(runner, &task) {
                    let own = at == node && end == End::Failed;
                    let how = match end {
                        End::Failed if gang && !own => End::Broken,
                        other => other,
                    };
                    runner.end(&task, run, how);
                }
            }
            if end == End::Done {
                self.oracle.done.insert(task);
            }
        }
    }

    fn act(&mut self, at: usize) {
        let now = self.now;
        let wall = WALL + now.as_millis() as u64;
        let nodes: Vec<SmolStr> = self.runners.keys().cloned().collect();
        for node in nodes {
            let due = self
                .looks
                .get(&(at, node.clone()))
                .is_none_or(|d| *d <= now);
            if !due {
                continue;
            }
            if let Some(look) = self.placers[at].0.next_poll(&node, now) {
                self.looks
                    .insert((at, node.clone()), now + Duration::from_millis(200));
                self.post(Message::Order(
                    at, node, now, look.boot, look.epoch, look.order,
                ));
            }
        }
        self.placers[at].0.plan(now, wall);
        if !self.busy[at]
            && let Some(batch) = self.placers[at].0.take_batch(wall)
        {
            self.busy[at] = true;
            self.post(Message::Write(at, batch));
        }
        let epoch = self.placers[at].0.epoch();
        for effect in self.placers[at].0.take_effects() {
            if let Effect::Send { node, boot, order } = effect {
                let twice = self.faults && self.dice.roll(10) == 0;
                if twice {
                    let (n, b, o) = (node.clone(), boot.clone(), order.clone());
                    self.post(Message::Order(at, n, now, Some(b), epoch, o));
                }
                self.post(Message::Order(at, node, now, Some(boot), epoch, order));
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Order(at, node, sent, boot, epoch, order) => {
                self.order(at, node, sent, boot, epoch, order);
            }
            Message::Answer(at, node, boot, order, answer) => {
                let doubtful = answer == Answer::Silent;
                let placer = &mut self.placers[at];
                placer
                    .0
                    .handle_answer(&node, &boot, &order, &answer, doubtful, now);
            }
            Message::Listed(at, node, sent, announced, listing) => {
                self.placers[at]
                    .0
                    .handle_listing(&node, sent, now, announced, listing);
            }
            Message::Write(at, batch) => {
                let stored = self.write(at, &batch);
                self.post(Message::Stored(at, batch, stored));
            }
            Message::Stored(at, batch, stored) => {
                self.busy[at] = false;
                match stored {
                    Ok(revision) => self.placers[at].0.handle_commit(&batch, revision, now),
                    Err(items) => {
                        self.placers[at].0.handle_write_failure(&batch);
                        for (id, _) in items {
                            let (record, revision) = self.stored[&id].clone();
                            self.placers[at].0.handle_conflict(record, revision, now);
                        }
                    }
                }
            }
        }
    }

    fn write(&mut self, at: usize, batch: &Batch) -> Result<u64, Vec<(SmolStr, u64)>> {
        let stale = self.placers[at].0.epoch() != self.epoch;
        let conflict = batch
            .writes
            .iter()
            .any(|w| self.stored[&w.job].1 != w.revision);
        if stale || conflict {
            return Err(batch
                .writes
                .iter()
                .map(|w| (w.job.clone(), w.revision))
                .collect());
        }
        self.revision += 1;
        for write in &batch.writes {
            let bytes = write.value.as_ref().expect("nothing is deleted here");
            let record = Record::decode(bytes).expect("the record is readable");
            self.stored
                .insert(write.job.clone(), (record, self.revision));
        }
        Ok(self.revision)
    }

    fn order(
        &mut self,
        at: usize,
        node: SmolStr,
        sent: Duration,
        meant: Option<Boot>,
        epoch: u64,
        order: Order,
    ) {
        let now = self.now;
        let boot = meant.clone().unwrap_or_default();
        let cut = self.runners[&node].cut > now;
        if cut {
            if !matches!(order, Order::Poll { .. }) {
                self.post(Message::Answer(at, node, boot, order, Answer::Silent));
            }
            return;
        }
        let runner = self.runners.get_mut(&node).expect("it is there");
        // A sidecar learns of a new life by its first heartbeat.
        let unheard = now < runner.since + FIRST_BEAT && boot.id == runner.boot.id;
        let fits = boot == runner.boot || unheard;
        if epoch < runner.epoch.max(runner.passed) {
            self.post(Message::Answer(
                at,
                node,
                boot,
                order,
                Answer::Refused(Refusal::Epoch),
            ));
            return;
        }
        runner.passed = epoch;
        if let Order::Poll {
            acknowledged: seen,
            deadline,
            ..
        } = &order
        {
            runner.epoch = epoch;
            let (seen, deadline) = match fits {
                true => (*seen, *deadline),
                false => (0, None),
            };
            let clock = runner.clock(now);
            if let Some(deadline) = deadline {
                runner.deadline = runner.deadline.max(deadline.min(clock + HOLD_MS));
            }
            self.note(&node, seen);
            self.list(at, node, sent);
            return;
        }
        if !fits {
            self.post(Message::Answer(
                at,
                node,
                boot,
                order,
                Answer::Refused(Refusal::Boot),
            ));
            return;
        }
        runner.epoch = epoch;
        let answer = self.carry_out(&node, &order);
        let lost = self.faults && self.dice.roll(20) == 0;
        let answer = if lost { Answer::Silent } else { answer };
        self.post(Message::Answer(at, node, boot, order, answer));
    }

    fn carry_out(&mut self, node: &SmolStr, order: &Order) -> Answer {
        let now = self.now;
        match order {
            Order::Start(start) => {
                let runner = self.runners.get_mut(node).expect("it is there");
                let clock = runner.clock(now);
                let barred = runner.barred.get(&start.task).copied().unwrap_or(0);
                if runner.ended_runs.contains(&start.task, start.run) {
                    return Answer::Refused(Refusal::Old);
                }
                if runner
                    .running
                    .get(&start.task)
                    .is_some_and(|r| r.0 == start.run)
                {
                    return Answer::Accepted;
                }
                if start.run <= barred {
                    return Answer::Refused(Refusal::Old);
                }
                if clock > start.deadline {
                    return Answer::Refused(Refusal::Late);
                }
                runner.deadline = runner.deadline.max(start.deadline.min(clock + HOLD_MS));
                self.check_start(node, &start.task);
                let runner = self.runners.get_mut(node).expect("it is there");
                runner.running.insert(start.task.clone(), (start.run, 0));
                Answer::Accepted
            }
            Order::Stop { task, run } => {
                let runner = self.runners.get_mut(node).expect("it is there");
                if runner.running.get(task).is_some_and(|r| r.0 <= *run) {
                    let held = runner.running[task].0;
                    runner.end(task, held, End::Stopped);
                }
                let highest = runner.barred.entry(task.clone()).or_default();
                *highest = (*highest).max(*run);
                runner.ended_runs.insert(task, *run);
                Answer::Accepted
            }
            _ => Answer::Accepted,
        }
    }

    /// Checks a start against the rules.
    fn check_start(&mut self, node: &SmolStr, task: &TaskId) {
        self.oracle.started += 1;
        for (other, runner) in &self.runners {
            let twice = runner.running.contains_key(task);
            assert!(
                !twice,
                "{task:?} starts on {node} and runs on {other} at {:?}",
                self.now
            );
        }
        assert!(
            !self.oracle.noted_done.contains(task),
            "{task:?} starts though it is done at {:?}",
            self.now
        );
        let record = &self.stored[&task.job].0;
        for before in &record.job.steps[task.step as usize].after {
            for index in 0..record.job.steps[*before as usize].count {
                let earlier = TaskId {
                    step: *before,
                    index,
                    ..task.clone()
                };
                assert!(
                    self.oracle.done.contains(&earlier),
                    "{task:?} starts before {earlier:?} is done"
                );
            }
        }
        let failures = self.oracle.noted_failures.get(task).copied().unwrap_or(0);
        assert!(
            failures < record.job.attempts,
            "{task:?} starts after {failures} failures"
        );
    }

    /// Takes note of ends up to a number.
    fn note(&mut self, node: &SmolStr, seen: u64) {
        let runner = self.runners.get_mut(node).expect("it is there");
        let (noted, rest) = std::mem::take(&mut runner.ended)
            .into_iter()
            .partition(|e: &Ended| e.number <= seen);
        runner.ended = rest;
        let lapsed = runner.lapsed;
        for end in noted.into_iter().filter(|e| e.number > lapsed) {
            match end.end {
                End::Done => {
                    self.oracle.noted_done.insert(end.task);
                }
                End::Failed => *self.oracle.noted_failures.entry(end.task).or_default() += 1,
                _ => {}
            }
        }
    }

    fn list(&mut self, at: usize, node: SmolStr, sent: Duration) {
        let runner = self.runners.get_mut(&node).expect("it is there");
        for end in &runner.ended {
            runner.ended_runs.insert(&end.task, end.run);
        }
        let runner = &self.runners[&node];
        let announced = Announcement {
            boot: runner.boot.clone(),
            sequence: 1,
            service: "service".into(),
            capacity: Resources {
                cpu: 8_000,
                memory: 8_000,
                gpus: 8,
            },
            labels: vec!["r1".into()],
            draining: false,
            remaining: None,
        };
        let row = |(task, (run, progress)): (&TaskId, &(u64, u64))| Running {
            task: task.clone(),
            run: *run,
            checkpoint: SmolStr::default(),
            percent: (*progress).min(99),
            load: 0,
        };
        let listing = Listing {
            born: runner.boot.born,
            clock: runner.clock(self.now),
            running: runner.running.iter().map(row).collect(),
            ended: runner.ended.clone(),
        };
        if self.faults && self.dice.roll(30) == 0 {
            return;
        }
        self.post(Message::Listed(at, node, sent, announced, listing));
    }
}

fn play(seed: u64) -> World {
    let mut world = world(seed);
    let mut jobs = 0;
    while world.now < FAULTS {
        world.tick(&mut jobs);
    }
    world.faults = false;
    for runner in world.runners.values_mut() {
        runner.cut = Duration::ZERO;
    }
    while world.now < FAULTS + CALM {
        world.tick(&mut jobs);
    }
    world
}

/// Returns the number of histories; `PROPTEST_CASES` asks for another one.
fn cases() -> u32 {
    let asked = std::env::var("PROPTEST_CASES").ok();
    asked.and_then(|n| n.parse().ok()).unwrap_or(60)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(), ..ProptestConfig::default() })]

    #[test]
    fn no_interleaving_breaks_a_rule_and_every_job_ends(seed in any::<u64>()) {
        let world = play(seed);

        for (id, (record, _)) in &world.stored {
            prop_assert!(
                matches!(record.state(), State::Completed | State::Failed | State::Cancelled),
                "{id} is {:?}: {:?}",
                record.state(),
                record.tasks
            );
            if record.state() == State::Completed {
                for (round, step, index, _) in &record.tasks {
                    let task = TaskId { job: id.clone(), occurrence: *round, step: *step, index: *index };
                    prop_assert!(world.oracle.done.contains(&task), "{task:?} is shown as done");
                }
            }
        }
        for (node, runner) in &world.runners {
            prop_assert!(runner.running.is_empty(), "{node} still runs {:?}", runner.running);
        }
    }
}
