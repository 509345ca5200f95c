//! A ledger with a store that always answers and workers that do as told.

use hibiscusbarrow_fleet::job::Job;
use hibiscusbarrow_fleet::job::Step;
use hibiscusbarrow_fleet::ledger::Bounds;
use hibiscusbarrow_fleet::ledger::Effect;
use hibiscusbarrow_fleet::ledger::Ledger;
use hibiscusbarrow_fleet::manifest::Account;
use hibiscusbarrow_fleet::manifest::Manifest;
use hibiscusbarrow_fleet::record::Record;
use hibiscusbarrow_fleet::worker::Announcement;
use hibiscusbarrow_fleet::worker::Answer;
use hibiscusbarrow_fleet::worker::Boot;
use hibiscusbarrow_fleet::worker::End;
use hibiscusbarrow_fleet::worker::Ended;
use hibiscusbarrow_fleet::worker::Listing;
use hibiscusbarrow_fleet::worker::Order;
use hibiscusbarrow_fleet::worker::Resources;
use hibiscusbarrow_fleet::worker::Running;
use hibiscusbarrow_fleet::worker::Start;
use hibiscusbarrow_fleet::worker::TaskId;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Milliseconds since the Unix epoch at the start of each test.
pub const WALL: u64 = 1_700_000_000_000;

/// A worker as a test plays it.
#[derive(Clone)]
pub struct FakeWorker {
    pub boot: Boot,
    pub room: Resources,
    pub rack: SmolStr,
    pub draining: bool,
    pub running: BTreeMap<(TaskId, u64), u64>,
    pub ended: Vec<Ended>,
    pub next: u64,
    /// Whether orders are answered.
    pub reachable: bool,
    /// The load that every run reports.
    pub load: u64,
    /// The checkpoint that every run reports.
    pub checkpoint: SmolStr,
    /// Whether runs make no progress.
    pub stuck: bool,
}

/// A placer between a store and workers, all in one thread.
pub struct Rig {
    pub ledger: Ledger,
    pub now: Duration,
    pub revision: u64,
    pub stored: BTreeMap<SmolStr, (Record, u64)>,
    pub workers: BTreeMap<SmolStr, FakeWorker>,
    pub starts: Vec<(SmolStr, Start)>,
    pub stops: Vec<(SmolStr, Boot, TaskId)>,
    pub epoch: u64,
}

pub fn rig() -> Rig {
    Rig {
        ledger: Ledger::new(Bounds::default(), 1, Duration::ZERO),
        now: Duration::ZERO,
        revision: 1,
        stored: BTreeMap::new(),
        workers: BTreeMap::new(),
        starts: Vec::new(),
        stops: Vec::new(),
        epoch: 1,
    }
}

pub fn worker(id: &str, rack: &str) -> FakeWorker {
    FakeWorker {
        boot: Boot {
            id: id.into(),
            born: 1,
        },
        room: Resources {
            cpu: 8_000,
            memory: 8_000,
            gpus: 8,
        },
        rack: rack.into(),
        draining: false,
        running: BTreeMap::new(),
        ended: Vec::new(),
        next: 1,
        reachable: true,
        load: 0,
        checkpoint: SmolStr::default(),
        stuck: false,
    }
}

pub fn step(count: u32, gpus: u64) -> Step {
    Step {
        count,
        cpu: 100,
        memory: 100,
        gpus,
        runtime: 1_000,
        ..Step::default()
    }
}

pub fn job(id: &str, steps: Vec<Step>) -> Job {
    Job {
        id: id.into(),
        queue: "queue".into(),
        service: "service".into(),
        account: "agency".into(),
        priority: 1,
        attempts: 3,
        accepted_at: WALL,
        spec: "text".into(),
        steps,
        ..Job::default()
    }
}

impl Rig {
    /// Adds a worker and has it seen.
    pub fn with(mut self, node: &str, fake: FakeWorker) -> Self {
        self.add(node, fake);
        self
    }

    pub fn add(&mut self, node: &str, fake: FakeWorker) {
        self.workers.insert(node.into(), fake);
        let addr = "127.0.0.1:1".parse().expect("the address is valid");
        self.ledger.put_worker(node.into(), addr);
    }

    pub fn guarantee(&mut self, account: &str, gpus: u64) {
        let manifest = Manifest {
            version: 1,
            accounts: vec![Account {
                name: account.into(),
                guaranteed: gpus,
            }],
            ..Manifest::default()
        };
        self.ledger.set_manifest(Rc::new(manifest));
    }

    pub fn submit(&mut self, job: Job) {
        self.revision += 1;
        let id = job.id.clone();
        let record = Record::new(job);
        self.stored.insert(id, (record.clone(), self.revision));
        self.ledger.put_job(record, self.revision, self.now);
    }

    /// Replaces the placer by another one that reads the store.
    pub fn take_over(&mut self) {
        self.epoch += 1;
        self.ledger = Ledger::new(Bounds::default(), self.epoch, self.now);
        for (record, revision) in self.stored.values() {
            self.ledger.put_job(record.clone(), *revision, self.now);
        }
        let addr = "127.0.0.1:1".parse().expect("the address is valid");
        for node in self.workers.keys() {
            self.ledger.put_worker(node.clone(), addr);
        }
    }

    /// Lets time pass in steps, with looks, plans, writes and orders in each.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(50);
            self.round();
        }
    }

    pub fn round(&mut self) {
        self.look_all();
        self.plan();
    }

    /// Plans, stores what was planned and has it carried out.
    pub fn plan(&mut self) {
        self.ledger
            .plan(self.now, WALL + self.now.as_millis() as u64);
        self.store_all();
        self.obey_all();
    }

    pub fn look_all(&mut self) {
        let nodes: Vec<SmolStr> = self.workers.keys().cloned().collect();
        for node in nodes {
            let look = self.ledger.next_poll(&node, self.now);
            let fake = self.workers.get_mut(&node).expect("the worker is there");
            if !fake.reachable {
                continue;
            }
            if let Some(Order::Poll {
                acknowledged: seen, ..
            }) = look.map(|e| e.order)
            {
                fake.ended.retain(|e| e.number > seen);
            }
            let (announced, listing) = (fake.announcement(), fake.listing(self.now));
            self.ledger
                .handle_listing(&node, self.now, self.now, announced, listing);
        }
    }

    /// Has the ledger take in a listing that it asked for at `sent`.
    pub fn list(&mut self, node: &str, sent: Duration) {
        let fake = self.workers.get_mut(node).expect("the worker is there");
        let (announced, listing) = (fake.announcement(), fake.listing(self.now));
        self.ledger
            .handle_listing(&node.into(), sent, self.now, announced, listing);
    }

    pub fn store_all(&mut self) {
        while let Some(batch) = self.ledger.take_batch(WALL) {
            self.revision += 1;
            for write in &batch.writes {
                let bytes = write.value.as_ref().expect("nothing is deleted here");
                let record = Record::decode(bytes).expect("the record is readable");
                self.stored
                    .insert(write.job.clone(), (record, self.revision));
            }
            self.ledger.handle_commit(&batch, self.revision, self.now);
        }
    }

    pub fn obey_all(&mut self) {
        for effect in self.ledger.take_effects() {
            let Effect::Send { node, boot, order } = effect else {
                continue;
            };
            let fake = self.workers.get_mut(&node).expect("the worker is there");
            let answer = fake.obey(&boot, &order);
            match &order {
                Order::Start(start) => self.starts.push((node.clone(), (**start).clone())),
                Order::Stop { task, .. } => {
                    self.stops.push((node.clone(), boot.clone(), task.clone()));
                }
                _ => {}
            }
            let doubtful = answer == Answer::Silent;
            self.ledger
                .handle_answer(&node, &boot, &order, &answer, doubtful, self.now);
        }
    }

    /// Ends a run on a worker.
    pub fn end(&mut self, node: &str, job: &str, index: u32, end: End) {
        let fake = self.workers.get_mut(node).expect("the worker is there");
        let found = fake.running.keys();
        let key = found
            .clone()
            .find(|(t, _)| t.job == job && t.index == index)
            .cloned();
        let key = key.unwrap_or_else(|| panic!("{job}.{index} does not run on {node}"));
        fake.finish(&key, end);
    }

    pub fn places(&self, job: &str) -> Vec<(u32, SmolStr)> {
        let mut found = Vec::new();
        for (node, fake) in &self.workers {
            for (task, _) in fake.running.keys() {
                if task.job == job {
                    found.push((task.index, node.clone()));
                }
            }
        }
        found.sort();
        found
    }
}

impl FakeWorker {
    pub fn announcement(&self) -> Announcement {
        Announcement {
            boot: self.boot.clone(),
            sequence: 1,
            service: "service".into(),
            capacity: self.room,
            labels: vec!["a".into(), self.rack.clone()],
            draining: self.draining,
            remaining: None,
        }
    }

    fn listing(&mut self, now: Duration) -> Listing {
        let (load, stuck) = (self.load, self.stuck);
        let checkpoint = self.checkpoint.clone();
        let row = |((task, run), percent): (&(TaskId, u64), &mut u64)| {
            *percent = (*percent + u64::from(!stuck)) % 100;
            Running {
                task: task.clone(),
                run: *run,
                checkpoint: checkpoint.clone(),
                percent: *percent,
                load,
            }
        };
        Listing {
            born: self.boot.born,
            clock: now.as_millis() as u64,
            running: self.running.iter_mut().map(row).collect(),
            ended: self.ended.clone(),
        }
    }

    fn obey(&mut self, boot: &Boot, order: &Order) -> Answer {
        use hibiscusbarrow_fleet::worker::Refusal;
        if !self.reachable {
            return Answer::Silent;
        }
        if boot.id != self.boot.id {
            return Answer::Refused(Refusal::Boot);
        }
        match order {
            Order::Start(start) => {
                self.running.insert((start.task.clone(), start.run), 0);
            }
            Order::Stop { task, run } => {
                let key = (task.clone(), *run);
                if self.running.contains_key(&key) {
                    self.finish(&key, End::Stopped);
                }
            }
            _ => {}
        }
        Answer::Accepted
    }

    pub fn finish(&mut self, key: &(TaskId, u64), end: End) {
        self.running.remove(key);
        self.ended.push(Ended {
            number: self.next,
            task: key.0.clone(),
            run: key.1,
            end,
            checkpoint: SmolStr::default(),
        });
        self.next += 1;
    }

    /// Starts the worker again with nothing left of before.
    pub fn reboot(&mut self, id: &str) {
        self.boot = Boot {
            id: id.into(),
            born: self.boot.born + 1,
        };
        self.running.clear();
        self.ended.clear();
        self.next = 1;
    }
}
