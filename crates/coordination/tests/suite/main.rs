//! Tests of the coordination parts, each against random interleavings.

mod admission;
mod fixtures;
mod gang;
mod keyed;
mod membership;
mod parts;
