//! Black-box tests, which run the program and use only its commands and interfaces.

mod cancelling;
mod catalogues;
mod cluster;
mod commands;
mod configuration;
mod evacuation;
mod explain;
mod failures;
mod fleet;
mod jobs;
mod keys;
mod load;
mod path;
mod soak;
mod stops;
