//! Black-box tests, driven through the program as its users drive it.

mod catalogues;
mod cluster;
mod commands;
mod configuration;
mod explain;
mod failures;
mod fleet;
mod jobs;
mod keys;
mod load;
mod path;
mod stops;
