//! Black-box tests, which run the program and use only its commands and interfaces.

mod cancelling;
mod catalogues;
#[expect(
    dead_code,
    reason = "some functions are used by the tests of clients only"
)]
mod cluster;
mod commands;
mod configuration;
mod evacuation;
mod explain;
mod failures;
mod fleet;
mod fleet_configuration;
mod fleet_evacuation;
#[expect(
    dead_code,
    reason = "some functions are used by the tests of clients only"
)]
mod fleet_harness;
mod jobs;
mod keys;
mod load;
mod path;
mod soak;
mod soak_evacuations;
mod stops;
mod store_link;
