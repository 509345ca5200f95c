//! Tests of the job records and of the placer's ledger.

mod announced;
mod capacity;
mod cold;
mod crashes;
mod decisions;
mod departures;
mod evacuation;
mod features;
mod fencing;
mod figures;
mod fixtures;
mod last_listing;
mod learned;
mod model;
mod occurrences;
mod order;
mod policies;
mod policy_plays;
mod policy_service;
mod records;
mod reservations;
mod rules;
mod start_limit;
mod takeover;
mod urgency;
mod wide;
