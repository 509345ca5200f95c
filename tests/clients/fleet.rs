//! Misbehaving clients at the gateways and the sidecars of a fleet.

use crate::crowd;
use crate::crowd::Crowd;
use crate::crowd::Framing;
use crate::crowd::Target;
use crate::fleet_harness::API_KEY;
use crate::fleet_harness::Fleet;
use hibiscusbarrow_platform::standin;
use hibiscusbarrow_platform::standin::MachineLimits;

/// The memory of the smallest gateway in MB.
const GATEWAY_MEMORY: u64 = 160;
/// The memory of a sidecar in MB.
const SIDECAR_MEMORY: u64 = 128;
/// The descriptors of the machines, fewer than a real one has, so that few connections reach them.
const GATEWAY_DESCRIPTORS: usize = 1_024;
const SIDECAR_DESCRIPTORS: usize = 512;
/// The job that an ordinary caller submits.
const JOB_PATH: &str = "/pairs/00000000000000a1";

/// A body that a gateway or a sidecar accepts: 1 MiB is the largest.
const LEGAL_BODY: usize = 1 << 20;
/// A body far over the limit.
const OVERSIZED_BODY: usize = 8 << 20;

fn start(memory: u64, descriptors: usize) -> Fleet {
    let machine = MachineLimits {
        memory: Some(memory),
        descriptors: descriptors as u64,
    };
    Fleet::start_on(1, 1, machine)
}

/// Submits a job and returns whether it was accepted and has completed.
fn completes_job(fleet: &Fleet) -> bool {
    let body = standin::job(&[(1, 1)], 100);
    let is_accepted = fleet.call(0, "POST", JOB_PATH, &body).0 == 200;
    is_accepted && fleet.get_body(0, JOB_PATH).contains("completed")
}

/// Checks clients of a gateway; an ordinary caller's job is accepted and completes beside them.
fn check_gateway(crowd: Crowd) {
    let _alone = crowd::run_alone();
    let fleet = start(GATEWAY_MEMORY, GATEWAY_DESCRIPTORS);
    let target = Target {
        pid: fleet.pid(0),
        addr: fleet.gateway_addr(0),
        head: format!(
            "POST /pairs/00000000000000b1 HTTP/1.1\r\nhost: pairs.example\r\n\
             authorization: Token {API_KEY}\r\n"
        ),
        memory: GATEWAY_MEMORY,
        descriptors: GATEWAY_DESCRIPTORS,
    };

    crowd::check(crowd, &target, || completes_job(&fleet));
}

/// Checks clients of a sidecar; a heartbeat is accepted and a job completes on the worker beside
/// them.
fn check_sidecar(crowd: Crowd) {
    let _alone = crowd::run_alone();
    let fleet = start(SIDECAR_MEMORY, SIDECAR_DESCRIPTORS);
    let target = Target {
        pid: fleet.pid(1),
        addr: fleet.heartbeat_addr(0),
        head: "PUT /instances/w1 HTTP/1.1\r\nhost: sidecar\r\n".into(),
        memory: SIDECAR_MEMORY,
        descriptors: SIDECAR_DESCRIPTORS,
    };

    crowd::check(crowd, &target, || {
        let heartbeat = fleet.workers[0].heartbeat().to_string();
        fleet.send_as_worker(0, "PUT", "w1", &heartbeat) == 200 && completes_job(&fleet)
    });
}

tests! { gateway, check_gateway,
    large_announced_bodies: 300, LEGAL_BODY, Framing::Announced;
    bodies_in_large_chunks: 300, LEGAL_BODY, Framing::Chunked(64 << 10);
    bodies_in_very_small_chunks: 300, LEGAL_BODY / 2, Framing::Chunked(64);
    oversized_announced_bodies: 400, OVERSIZED_BODY, Framing::Announced;
    oversized_unannounced_bodies: 400, OVERSIZED_BODY, Framing::Endless(64 << 10);
}

tests! { sidecar, check_sidecar,
    large_announced_bodies: 300, LEGAL_BODY, Framing::Announced;
    bodies_in_large_chunks: 300, LEGAL_BODY, Framing::Chunked(64 << 10);
    bodies_in_very_small_chunks: 600, LEGAL_BODY / 4, Framing::Chunked(64);
    oversized_announced_bodies: 400, OVERSIZED_BODY, Framing::Announced;
    oversized_unannounced_bodies: 400, OVERSIZED_BODY, Framing::Endless(64 << 10);
}
