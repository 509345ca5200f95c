//! Tests of placement decisions, by feature.

mod evacuation;
mod fixtures;
mod learned;
mod packing;
mod quarantine;
mod queueing;
mod reclaim;
mod renewal;
