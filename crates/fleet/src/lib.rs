//! Scheduling of multi-step jobs on a fleet of workers.
//!
//! The crate has the job model, the stored record of a job, the manifest of queues
//! and client accounts, and the placer's ledger: a state machine that decides which
//! task starts on which worker. It does no I/O; callers pass in the time.
//!
//! ```
//! use hibiscusbarrow_fleet::job::Job;
//! use hibiscusbarrow_fleet::job::Step;
//! use hibiscusbarrow_fleet::record::Record;
//! use hibiscusbarrow_fleet::record::State;
//!
//! let job = Job { steps: vec![Step { count: 2, cpu: 500, ..Step::default() }], ..Job::default() };
//! let record = Record::new(job);
//! assert_eq!(record.state(), State::Queued);
//! ```

pub mod announced;
pub mod departure;
pub mod ended_runs;
pub mod fencing;
pub mod job;
pub mod last_listing;
pub mod ledger;
pub mod manifest;
pub mod occurrences;
pub mod record;
pub mod record_size;
pub mod start_limit;
pub mod stray_calls;
pub mod worker;
