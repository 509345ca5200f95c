//! Tests of the job records and the placer's ledger.

mod fixtures;
mod takeover;
