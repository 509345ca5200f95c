//! Tests of clients that send more than a process can hold and keep their connections open.
//!
//! They run one at a time, because they measure the memory and the descriptors of a process. The
//! bounds are the memory and the descriptors that the settings state for the machine; they are not
//! derived from measurements. The clients (their number, the sizes of their bodies and chunks) and
//! the bounds showed the fault on the code before there were limits and must not be changed.

#[allow(dead_code, reason = "the other tests use the rest of the harness")]
#[path = "../testsuite/cluster.rs"]
mod cluster;
#[allow(dead_code, reason = "the other tests use the rest of the harness")]
#[path = "../testsuite/fleet_harness.rs"]
mod fleet_harness;

/// Defines one test for each kind of client.
macro_rules! tests {
    ($module:ident, $check:path, $($test:ident: $clients:expr, $body:expr, $framing:expr;)*) => {
        mod $module {
            use super::*;

            $(
                /// Guards against clients of this kind that exhaust the memory or the descriptors
                /// of the process, or keep it from serving others.
                #[test]
                fn $test() {
                    $check(Crowd { clients: $clients, body: $body, framing: $framing });
                }
            )*
        }
    };
}

mod crowd;
mod fleet;
mod product;
mod usage;
