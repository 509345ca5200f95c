//! A stand-in for a worker: grants holds, simulates tasks as timers and reports its state.

use compio::net::TcpListener;
use hibiscusbarrow_adapters::http::Limits;
use hibiscusbarrow_adapters::http::Reply;
use hibiscusbarrow_adapters::http::Request;
use hibiscusbarrow_adapters::http::fault_reply;
use hibiscusbarrow_adapters::http::json_reply;
use hibiscusbarrow_adapters::http::serve as serve_http;
use hibiscusbarrow_adapters::signal::Flag;
use hibiscusbarrow_coordination::clock::Clock;
use hibiscusbarrow_coordination::fence::Fence;
use hibiscusbarrow_coordination::gang::HoldState;
use hibiscusbarrow_coordination::gang::HoldTable;
use hibiscusbarrow_coordination::gang::Refusal;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::code::Fault;
use hibiscusbarrow_model::order::*;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// The settings of a worker stand-in.
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// The name, unique among all workers.
    pub name: SmolStr,
    /// The rack that the worker belongs to.
    pub rack: SmolStr,
    /// The failure domain that the worker belongs to.
    pub domain: SmolStr,
    /// The number of accelerators.
    pub accelerators: u16,
}

/// A fault to inject.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WorkerFault {
    /// Whether tasks that start from now on fail immediately.
    pub fail_tasks: bool,
}

#[derive(Clone, Copy, Debug)]
struct Task {
    ends_at: Duration,
    failed: bool,
}

/// The state of a worker, without I/O.
pub struct Worker {
    settings: WorkerSettings,
    incarnation: u64,
    fence: Fence,
    holds: HoldTable,
    tasks: BTreeMap<SmolStr, Task>,
    start_counts: BTreeMap<SmolStr, u64>,
    fault: WorkerFault,
}

impl Worker {
    /// Creates a worker without gangs.
    pub fn new(settings: WorkerSettings, incarnation: u64) -> Self {
        Self {
            settings,
            incarnation,
            fence: Fence::default(),
            holds: HoldTable::default(),
            tasks: BTreeMap::new(),
            start_counts: BTreeMap::new(),
            fault: WorkerFault::default(),
        }
    }

    /// Executes a batch of orders, unless its epoch is stale, and reports the state after it.
    pub fn execute_batch(&mut self, batch: &OrderBatch, now: Duration) -> OrderReply {
        let admitted = self.fence.admit(batch.epoch);
        let results = batch.orders.iter().map(|order| OrderResult {
            gang: order.gang().clone(),
            code: if admitted {
                self.execute_order(order, now)
            } else {
                Code::StaleEpoch
            },
        });
        let results = results.collect();
        OrderReply {
            results,
            report: self.report(now),
        }
    }

    fn execute_order(&mut self, order: &Order, now: Duration) -> Code {
        let result = match order {
            Order::Hold {
                gang,
                seq,
                accelerators,
                ttl_ms,
            } => {
                let mask = accelerators
                    .iter()
                    .fold(0, |mask, i| mask | 1u64 << (i % 64));
                let ttl = Duration::from_millis(*ttl_ms);
                self.holds.hold(gang, *seq, mask, ttl, now)
            }
            Order::Run {
                gang,
                seq,
                until_ms,
                work_ms,
            } => self.run(gang, *seq, Duration::from_millis(*until_ms), *work_ms, now),
            Order::Stop { gang } => {
                self.holds.stop(gang, now);
                Ok(())
            }
            Order::Release { gang } => {
                self.holds.release(gang);
                self.tasks.remove(gang);
                Ok(())
            }
        };
        match result {
            Ok(()) => Code::Done,
            Err(Refusal::Busy) => Code::Busy,
            Err(Refusal::NoHold) => Code::NoHold,
        }
    }

    fn run(
        &mut self,
        gang: &SmolStr,
        seq: u64,
        until: Duration,
        work_ms: u64,
        now: Duration,
    ) -> Result<(), Refusal> {
        if self.holds.run(gang, seq, until, now)? {
            *self.start_counts.entry(gang.clone()).or_default() += 1;
            let task = Task {
                ends_at: now + Duration::from_millis(work_ms),
                failed: self.fault.fail_tasks,
            };
            self.tasks.insert(gang.clone(), task);
        }
        Ok(())
    }

    /// Expires overdue holds and runs, then returns the hardware and gangs of the worker.
    pub fn report(&mut self, now: Duration) -> WorkerReport {
        self.holds.expire(now);
        let gangs = self.holds.grants().map(|(gang, grant)| {
            let task = self.tasks.get(gang);
            GangReport {
                gang: gang.clone(),
                seq: grant.seq,
                accelerators: (0..64).filter(|i| grant.mask >> i & 1 == 1).collect(),
                state: member_state(grant.state, task, now),
            }
        });
        WorkerReport {
            gangs: gangs.collect(),
            worker: self.settings.name.clone(),
            incarnation: self.incarnation,
            rack: self.settings.rack.clone(),
            domain: self.settings.domain.clone(),
            accelerators: self.settings.accelerators,
            epoch: self.fence.highest(),
        }
    }
}

fn member_state(state: HoldState, task: Option<&Task>, now: Duration) -> MemberState {
    match (state, task) {
        (HoldState::Running, Some(task)) if task.failed => MemberState::Failed,
        (HoldState::Running, Some(task)) if now >= task.ends_at => MemberState::Done,
        (HoldState::Running, _) => MemberState::Running,
        (HoldState::Held, _) => MemberState::Held,
        (HoldState::Stopped, _) => MemberState::Stopped,
    }
}

/// Serves the worker until `stop` is raised.
///
/// The wall-clock time of the start is its incarnation, so that a restart increases it.
pub async fn serve(listener: TcpListener, settings: WorkerSettings, clock: Clock, stop: Flag) {
    let worker = Rc::new(RefCell::new(Worker::new(settings, clock.wall_ms())));
    let handler = move |request: Request| {
        let reply = handle(&mut worker.borrow_mut(), clock.now(), &request);
        std::future::ready(reply)
    };
    serve_http(listener, Limits::default(), stop, handler).await;
}

fn handle(worker: &mut Worker, now: Duration, request: &Request) -> Reply {
    match request.path.as_str() {
        "/v1/orders" => match request.json::<OrderBatch>() {
            Ok(batch) => json_reply(200, &worker.execute_batch(&batch, now)),
            Err(error) => fault_reply(&error),
        },
        "/v1/report" => json_reply(200, &worker.report(now)),
        "/standin/starts" => json_reply(200, &worker.start_counts),
        "/standin/fault" => match request.json() {
            Ok(fault) => {
                worker.fault = fault;
                json_reply(200, &fault)
            }
            Err(error) => fault_reply(&error),
        },
        path => fault_reply(&Fault::new(
            Code::BadRequest,
            format!("no such path: {path}"),
        )),
    }
}
