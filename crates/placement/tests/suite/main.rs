//! Tests of placement decisions, by feature.

mod fixtures;
mod learned;
mod packing;
mod quarantine;
mod queueing;
mod reclaim;
mod renewal;
