//! Tests of the coordination state machines, many of them under random faults and delays.

mod admission;
mod call_window;
mod client_budget;
mod duty_cycle;
mod evacuation;
mod fixtures;
mod freshness;
mod gang;
mod keyed;
mod membership;
mod parts;
mod retry_after;
mod runtime;
mod succession;
