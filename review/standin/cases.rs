//! The cases: what is sent when, and which rule is checked.

use crate::fleet::Fleet;
use crate::fleet::TENANT_A;
use crate::fleet::TENANT_B;
use crate::record::Record;
use crate::runner::Room;
use std::thread::sleep;
use std::time::Duration;

const ROOM: Room = Room {
    cpu: 128_000,
    mem: 262_144,
    gpu: 8,
};
/// How long a runner still serves after it has reported `draining`; `drain-ms` is 2,000.
const DRAIN: Duration = Duration::from_millis(2_500);
/// How long a runner is away before it starts again; `reuse-after-s` is 2.
const REUSE: Duration = Duration::from_secs(3);
/// How long the store is down.
const OUTAGE: Duration = Duration::from_millis(4_500);
/// How long a killed process is away.
const KILLED: Duration = Duration::from_secs(3);
/// The jobs beside one that can never be done; its share stays below 0.05.
const ORDINARY_JOBS: usize = 20;
/// The occurrences of a job that runs each second for a month and a half.
const REPEATS: u64 = 4_000_000;
/// `finish_s`: jobs are asked for this long after the end of the traffic.
const FINISH: Duration = Duration::from_secs(14);
/// The time for which a job must not stand still.
const STANDSTILL: Duration = Duration::from_secs(3);
/// `visible_ms`.
const VISIBLE: Duration = Duration::from_secs(3);
/// `reclaim-ms`.
const RECLAIM: Duration = Duration::from_millis(3_400);

/// Plays a case.
pub fn play(name: &str, trouble: bool, record: Record) -> Result<(), String> {
    match name {
        "return" => returned_runner(trouble, record),
        "ends" => many_ends(trouble, record),
        "lasting" => lasting_tasks(trouble, record),
        "long" => long_tasks(trouble, record),
        "advice" => approval_at_takeover(trouble, record),
        "reserve" => reserved_for_good(trouble, record),
        "wide" => wide_job(trouble, record),
        "pending" => refused_start(trouble, record),
        "repeat" => repeated_job(trouble, record),
        _ => Err(format!("there is no case {name}")),
    }
}

/// The tasks of a one-step job.
#[derive(Clone, Copy)]
struct Tasks {
    count: u64,
    size: Room,
    /// What the client declares as the time of a task, in milliseconds.
    declared: u64,
    /// The time that a task takes, in milliseconds.
    time: u64,
    long_running: bool,
    /// The most tasks on one runner; 0 for no limit.
    spread: u64,
    /// The label that the runner must have.
    label: &'static str,
    /// The number of equal steps that start at once; 0 is 1.
    steps: usize,
}

impl Tasks {
    fn body(&self) -> String {
        let lasting = if self.long_running {
            ",\"long-running\":true"
        } else {
            ""
        };
        let mut more = lasting.to_owned();
        if self.spread > 0 {
            more += &format!(",\"anti-affinity\":{}", self.spread);
        }
        if !self.label.is_empty() {
            more += &format!(",\"constraints\":\"{}\"", self.label);
        }
        let step = format!(
            "{{\"count\":{},\"cpu\":{},\"mem-mb\":{},\"gpu\":{},\"estimated-ms\":{}{more}}}",
            self.count, self.size.cpu, self.size.mem, self.size.gpu, self.declared
        );
        let steps = vec![step; self.steps.max(1)].join(",");
        format!("{{\"spec\":\"{}\",\"steps\":[{steps}]}}", self.spec())
    }

    fn spec(&self) -> String {
        let Room { cpu, mem, gpu } = self.size;
        let lasts = if self.long_running { " lasts=1" } else { "" };
        format!("cpu={cpu} mem={mem} gpu={gpu} ms={}{lasts}", self.time)
    }
}

/// The tasks of a small job.
const SMALL: Tasks = Tasks {
    count: 3,
    size: Room {
        cpu: 2_000,
        mem: 1_000,
        gpu: 1,
    },
    declared: 2_000,
    time: 2_000,
    long_running: false,
    spread: 0,
    label: "",
    steps: 0,
};

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// Submits a job; the case cannot run if it is not accepted.
fn submit(fleet: &mut Fleet, queue: &str, key: &str, tasks: Tasks) -> Result<String, String> {
    let id = fleet.submit(queue, key, &tasks.body());
    id.ok_or_else(|| "a job was not accepted".into())
}

/// Waits until the given number of tasks of each job are done, or until the limit.
fn wait_done(fleet: &Fleet, jobs: &[(String, usize)], limit: Duration) {
    let end = fleet.record.now() + limit;
    let done = |(id, count): &(String, usize)| fleet.record.progress(id).1 >= *count;
    while !jobs.iter().all(done) && fleet.record.now() < end {
        sleep(seconds(0.1));
    }
}

/// A runner is shut down as planned, and starts again under the id that it had.
fn returned_runner(trouble: bool, record: Record) -> Result<(), String> {
    let mut fleet = Fleet::start(10, ROOM, record)?;
    if trouble {
        let runner = fleet.runners[0].clone();
        runner.leave(DRAIN);
        sleep(REUSE);
        runner.restart();
    }
    sleep(seconds(4.0));
    let tasks = Tasks {
        count: 20,
        size: Room {
            cpu: 50_000,
            mem: 1_000,
            gpu: 1,
        },
        declared: 5_000,
        time: 5_000,
        long_running: false,
        spread: 0,
        label: "",
        steps: 0,
    };
    let id = submit(&mut fleet, "quote", TENANT_B, tasks)?;
    wait_done(&fleet, &[(id.clone(), 20)], seconds(20.0));
    fleet.state("quote", TENANT_B, &id);
    fleet.keep_logs(if fleet.record.breaks().is_empty() {
        0
    } else {
        20
    });
    Ok(())
}

/// Hundreds of small tasks end on one runner while the store is down.
fn many_ends(trouble: bool, record: Record) -> Result<(), String> {
    let mut fleet = Fleet::start(3, ROOM, record)?;
    let tasks = Tasks {
        count: 32,
        size: Room {
            cpu: 200,
            mem: 100,
            gpu: 0,
        },
        declared: 12_000,
        time: 12_000,
        long_running: false,
        spread: 0,
        label: "",
        steps: 0,
    };
    let start = fleet.record.now();
    let mut jobs = Vec::new();
    for index in 0..20 {
        let at = start + seconds(0.2) * index;
        sleep(at.saturating_sub(fleet.record.now()));
        jobs.push((submit(&mut fleet, "quote", TENANT_B, tasks)?, 32));
    }
    sleep((start + seconds(11.8)).saturating_sub(fleet.record.now()));
    if trouble {
        fleet.record.note("store", "is down: answers 503 to all");
        fleet.store.set_down(true);
        sleep(OUTAGE);
        fleet.store.set_down(false);
        fleet.record.note("store", "is back");
    }
    wait_done(&fleet, &jobs, seconds(12.0));
    sleep(seconds(8.0));
    fleet.keep_logs(if fleet.record.breaks().is_empty() {
        0
    } else {
        10
    });
    Ok(())
}

/// Tasks take an hour, as declared.
fn long_tasks(trouble: bool, record: Record) -> Result<(), String> {
    let mut fleet = Fleet::start(4, ROOM, record)?;
    let time = if trouble { 3_600_000 } else { 9_500 };
    let tasks = Tasks {
        count: 4,
        size: Room {
            cpu: 11_000,
            mem: 29_000,
            gpu: 8,
        },
        declared: time,
        time,
        long_running: false,
        spread: 0,
        label: "",
        steps: 0,
    };
    let id = submit(&mut fleet, "quote", TENANT_B, tasks)?;
    sleep(FINISH);
    let end = fleet.record.now() + seconds(30.0);
    check_standstill(&mut fleet, "quote", TENANT_B, &[(id, tasks)], end);
    Ok(())
}

/// LOST: from `finish_s` after the end of the traffic, for 3 s, a job has nothing running while
/// a task's turn has come, there is capacity for it twice over, and under half of the service's
/// capacity is in use.
fn check_standstill(
    fleet: &mut Fleet,
    queue: &str,
    key: &str,
    jobs: &[(String, Tasks)],
    end: Duration,
) {
    let mut since = vec![fleet.record.now(); jobs.len()];
    let mut told = vec![false; jobs.len()];
    while fleet.record.now() < end {
        let now = fleet.record.now();
        let total: u64 = fleet.runners.iter().map(|_| ROOM.cpu).sum();
        let used: u64 = fleet.runners.iter().map(|r| r.used().cpu).sum();
        for (index, (id, tasks)) in jobs.iter().enumerate() {
            let (working, done) = fleet.record.progress(id);
            let fits: u64 = fleet.runners.iter().map(|r| r.fits(tasks.size)).sum();
            let room = fits >= 2 && used * 2 < total;
            if working > 0 || done >= tasks.count as usize || !room {
                since[index] = now;
            }
            if now - since[index] >= STANDSTILL && !told[index] {
                told[index] = true;
                let state = fleet.state(queue, key, id);
                let text = format!(
                    "job {id}, shown as {state}, has had nothing running for {:.1} s; {done} of {} \
                     tasks are done, {used} of {total} thousandths of a core are in use",
                    (now - since[index]).as_secs_f64(),
                    tasks.count
                );
                fleet.record.broken("LOST", &text);
            }
        }
        sleep(seconds(0.02));
    }
    fleet.keep_logs(if fleet.record.breaks().is_empty() {
        0
    } else {
        10
    });
}

/// Tasks that last take all accelerators before a job within its guarantee comes.
fn lasting_tasks(trouble: bool, record: Record) -> Result<(), String> {
    let mut fleet = Fleet::start(3, ROOM, record)?;
    let fill = Tasks {
        count: 3,
        size: Room {
            cpu: 11_000,
            mem: 29_000,
            gpu: 8,
        },
        declared: 60_000,
        time: 60_000,
        long_running: trouble,
        spread: 0,
        label: "",
        steps: 0,
    };
    let filler = submit(&mut fleet, "quote", TENANT_B, fill)?;
    sleep(seconds(5.0));
    let urgent = Tasks {
        count: 2,
        size: Room {
            cpu: 15_000,
            mem: 22_000,
            gpu: 4,
        },
        declared: 2_500,
        time: 2_500,
        long_running: false,
        spread: 0,
        label: "",
        steps: 0,
    };
    let id = submit(&mut fleet, "merge", TENANT_A, urgent)?;
    let acknowledged = fleet.record.now();
    sleep(RECLAIM);
    let begun = fleet.record.runs_of(&id).len();
    if begun < 2 {
        let text = format!(
            "job {id} of priority 0 needs 8 of the 8 accelerators that its tenant is guaranteed; \
             {begun} of 2 tasks have begun {:.1} s after its ack",
            (fleet.record.now() - acknowledged).as_secs_f64()
        );
        fleet.record.broken("RECLAIM", &text);
    }
    sleep(seconds(20.0));
    let begun = fleet.record.runs_of(&id).len();
    let waited = (fleet.record.now() - acknowledged).as_secs_f64();
    let text = format!("{begun} of 2 tasks have begun {waited:.1} s after the ack");
    fleet.record.note("bench", &text);
    fleet.state("merge", TENANT_A, &id);
    fleet.state("quote", TENANT_B, &filler);
    Ok(())
}

/// One job has thousands of tiny tasks; small jobs of another tenant follow.
fn wide_job(trouble: bool, record: Record) -> Result<(), String> {
    let mut fleet = Fleet::start(3, ROOM, record)?;
    let wide = Tasks {
        count: if trouble { 6_000 } else { 10 },
        size: Room {
            cpu: 10,
            mem: 1,
            gpu: 0,
        },
        declared: 60_000,
        time: 60_000,
        long_running: false,
        spread: 0,
        label: "",
        steps: 2,
    };
    submit(&mut fleet, "quote", TENANT_B, wide)?;
    sleep(seconds(2.0));
    let small = Tasks {
        count: 3,
        size: Room {
            cpu: 2_000,
            mem: 1_000,
            gpu: 1,
        },
        declared: 2_000,
        time: 2_000,
        long_running: false,
        spread: 0,
        label: "",
        steps: 0,
    };
    let mut jobs = Vec::new();
    for _ in 0..4 {
        let queue = "plan";
        jobs.push((submit(&mut fleet, queue, TENANT_A, small)?, small));
        sleep(seconds(0.5));
    }
    sleep(FINISH);
    let end = fleet.record.now() + seconds(10.0);
    check_standstill(&mut fleet, "plan", TENANT_A, &jobs, end);
    Ok(())
}

/// The gateway that places jobs is killed; a job whose queue needs advice comes meanwhile.
fn approval_at_takeover(trouble: bool, record: Record) -> Result<(), String> {
    let mut fleet = Fleet::start(3, ROOM, record)?;
    let placer = fleet.placer();
    let killed = fleet.record.now();
    if trouble {
        fleet.kill(&placer);
    }
    let tasks = Tasks {
        count: 3,
        size: Room {
            cpu: 2_000,
            mem: 1_000,
            gpu: 1,
        },
        declared: 2_000,
        time: 2_000,
        long_running: false,
        spread: 0,
        label: "",
        steps: 0,
    };
    let id = submit(&mut fleet, "advised", TENANT_A, tasks)?;
    if trouble {
        sleep((killed + KILLED).saturating_sub(fleet.record.now()));
        fleet.restart(&placer)?;
    }
    sleep(FINISH);
    let end = fleet.record.now() + seconds(10.0);
    check_standstill(&mut fleet, "advised", TENANT_A, &[(id.clone(), tasks)], end);
    fleet.state("advised", TENANT_A, &id);
    Ok(())
}

/// A job waits for accelerators that tasks that last never give back.
fn reserved_for_good(trouble: bool, record: Record) -> Result<(), String> {
    let mut fleet = Fleet::start(3, ROOM, record)?;
    let lasting = Tasks {
        count: 3,
        size: Room {
            cpu: 11_000,
            mem: 29_000,
            gpu: 1,
        },
        declared: 9_500,
        time: 9_500,
        long_running: true,
        spread: 1,
        label: "",
        steps: 0,
    };
    submit(&mut fleet, "quote", TENANT_B, lasting)?;
    sleep(seconds(3.0));
    if trouble {
        let large = Tasks {
            count: 3,
            size: Room {
                cpu: 52_000,
                mem: 140_000,
                gpu: 8,
            },
            declared: 11_000,
            time: 11_000,
            long_running: false,
            spread: 0,
            label: "",
            steps: 0,
        };
        submit(&mut fleet, "plan", TENANT_A, large)?;
        sleep(seconds(2.0));
    }
    let small = Tasks {
        count: 3,
        size: Room {
            cpu: 11_000,
            mem: 29_000,
            gpu: 1,
        },
        declared: 5_000,
        time: 5_000,
        long_running: false,
        spread: 0,
        label: "",
        steps: 0,
    };
    let id = submit(&mut fleet, "quote", TENANT_A, small)?;
    sleep(FINISH);
    let end = fleet.record.now() + seconds(20.0);
    check_standstill(&mut fleet, "quote", TENANT_A, &[(id.clone(), small)], end);
    fleet.state("quote", TENANT_A, &id);
    Ok(())
}

/// The only runner that can run a job rejects its start with 503 for a while.
fn refused_start(trouble: bool, record: Record) -> Result<(), String> {
    let mut fleet = Fleet::start(10, ROOM, record)?;
    fleet.runners[9].set_unhealthy(trouble);
    let tasks = Tasks {
        count: 3,
        size: Room {
            cpu: 2_000,
            mem: 1_000,
            gpu: 1,
        },
        declared: 2_000,
        time: 2_000,
        long_running: false,
        spread: 0,
        label: "r1-4",
        steps: 0,
    };
    let id = submit(&mut fleet, "quote", TENANT_A, tasks)?;
    sleep(VISIBLE + seconds(2.1));
    let pending = fleet.pending("quote", TENANT_A);
    let begun = fleet.record.runs_of(&id).len();
    if begun == 0 && pending == Some(0) {
        let text = format!(
            "0 jobs are given as pending, although job {id} was accepted over 5 s before and has \
             not begun"
        );
        fleet.record.broken("MIXED", &text);
    }
    fleet.state("quote", TENANT_A, &id);
    fleet.runners[9].set_unhealthy(false);
    wait_done(&fleet, &[(id.clone(), 3)], seconds(20.0));
    fleet.state("quote", TENANT_A, &id);
    Ok(())
}

/// A job that repeats many times has a start time in seconds instead of milliseconds.
fn repeated_job(trouble: bool, record: Record) -> Result<(), String> {
    let mut fleet = Fleet::start(3, ROOM, record)?;
    for _ in 0..ORDINARY_JOBS {
        submit(&mut fleet, "quote", TENANT_B, SMALL)?;
    }
    sleep(seconds(5.0));
    let repeats = if trouble { REPEATS } else { 10 };
    let spec = "cpu=500 mem=256 gpu=0 ms=900";
    let body = format!(
        "{{\"spec\":\"{spec}\",\"steps\":[{{\"count\":1,\"cpu\":500,\"mem-mb\":256,\
         \"estimated-ms\":900}}],\"start-at-ms\":1796000000,\"interval-ms\":1000,\
         \"repeat-count\":{repeats}}}"
    );
    fleet
        .submit("quote", TENANT_B, &body)
        .ok_or("the job was not accepted")?;
    sleep(seconds(5.0));
    let mut jobs = Vec::new();
    for _ in 0..2 {
        jobs.push((submit(&mut fleet, "plan", TENANT_A, SMALL)?, SMALL));
        sleep(seconds(0.5));
    }
    fleet.note_memory();
    sleep(FINISH);
    fleet.note_memory();
    let end = fleet.record.now() + seconds(15.0);
    check_standstill(&mut fleet, "plan", TENANT_A, &jobs, end);
    Ok(())
}
