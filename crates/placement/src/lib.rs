//! Placement decisions for multi-accelerator gangs under account guarantees.
//!
//! The crate is pure: it does no I/O and reads no clock. [`Grid`] tracks the
//! workers and the jobs on their accelerators, [`Quotas`] binds guaranteed shapes
//! to physical cells, and [`Scheduler`] queues jobs and decides what starts and stops.
//!
//! ```
//! use hibiscusbarrow_placement::*;
//! use std::time::Duration;
//!
//! let mut scheduler = Scheduler::new(Policy::default());
//! scheduler.add_worker(WorkerSpec::new("w1", "rack1", "montreal", 8));
//! let quota = vec![ShapeCount { shape: Shape::Worker, count: 1 }];
//! scheduler.set_accounts(vec![AccountSpec { name: "agency".into(), weight: 1, quota }]).unwrap();
//! scheduler.submit(Job::new("rescore", "agency", Shape::Worker, 1).urgent(true), Duration::ZERO);
//! let decisions = scheduler.pass(Duration::ZERO);
//! assert!(matches!(decisions[0], Decision::Start { guaranteed: true, .. }));
//! ```

mod estimate;
mod grid;
mod quota;
mod scheduler;
mod shape;

pub use estimate::Estimator;
pub use estimate::JobKind;
pub use grid::Cell;
pub use grid::Grid;
pub use grid::JobKey;
pub use grid::WorkerKey;
pub use grid::WorkerSpec;
pub use quota::AccountSpec;
pub use quota::QuotaError;
pub use quota::Quotas;
pub use scheduler::Decision;
pub use scheduler::Job;
pub use scheduler::JobState;
pub use scheduler::Policy;
pub use scheduler::QueueOrder;
pub use scheduler::Scheduler;
pub use shape::CellCounts;
pub use shape::Shape;
pub use shape::ShapeCount;
