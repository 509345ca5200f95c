//! Misbehaving clients at the gateway and the sidecar of the product's own system.

use crate::cluster::CONFIG;
use crate::cluster::Cluster;
use crate::cluster::ClusterBuilder;
use crate::crowd;
use crate::crowd::Crowd;
use crate::crowd::Framing;
use crate::crowd::Target;
use serde_json::json;

/// The memory of the smallest gateway in MB.
const GATEWAY_MEMORY: u64 = 160;
/// The memory of a sidecar in MB.
const SIDECAR_MEMORY: u64 = 128;
/// The descriptors of a machine, fewer than a real one has, so that few connections reach them.
const DESCRIPTORS: usize = 512;

/// A body that a gateway accepts: its limit is 16 MiB.
const LEGAL_FILE: usize = 15 << 20;
/// A body that a sidecar accepts from its upstream: its limit is 1 MiB.
const LEGAL_BODY: usize = 1 << 20;
/// A body far over the limit of a gateway.
const OVERSIZED_FILE: usize = 48 << 20;
/// A body far over the limit of a sidecar.
const OVERSIZED_BODY: usize = 8 << 20;

/// Starts one gateway and one sidecar whose machines have a memory in MB.
///
/// The bounds of the tests hold whether the program accepts the section `limits` or not.
fn start(memory: u64) -> Cluster {
    let limits = json!({ "memory_mb": memory, "max_descriptors": DESCRIPTORS });
    let builder = ClusterBuilder::small().gateways(1).sidecars(1).workers(1);
    let cluster = builder.limits(limits).start();
    println!("section `limits` of the settings: {:?}", cluster.limits);
    cluster.apply_config(CONFIG);
    cluster
}

/// Returns whether a request reaches the upstream and its response returns.
fn serves_request(cluster: &Cluster) -> bool {
    let response = cluster.send_request(cluster.addr("gateway-0"), &[], "ordinary");
    response.status == 200 && response.body["echo"] == "ordinary"
}

/// Checks clients of the gateway; an ordinary request reaches the upstream beside them.
fn check_gateway(crowd: Crowd) {
    let _alone = crowd::run_alone();
    let cluster = start(GATEWAY_MEMORY);
    let target = Target {
        pid: cluster.pid("gateway-0"),
        addr: cluster.addr("gateway-0"),
        head: "POST /v1/services/jumelage/pair HTTP/1.1\r\nhost: test\r\n\
               x-account: agence-a\r\n"
            .into(),
        memory: GATEWAY_MEMORY,
        descriptors: DESCRIPTORS,
    };

    crowd::check(crowd, &target, || serves_request(&cluster));
}

/// Checks clients of the sidecar; an announcement is accepted and an ordinary request passes
/// through it beside them.
fn check_sidecar(crowd: Crowd) {
    let _alone = crowd::run_alone();
    let cluster = start(SIDECAR_MEMORY);
    let addr = cluster.addr("sidecar-0");
    let announcement = json!({
        "service": "jumelage", "addr": cluster.addr("upstream-0"), "slots": 8, "connections": 64,
    });
    let target = Target {
        pid: cluster.pid("sidecar-0"),
        addr,
        head: "POST /v1/announce HTTP/1.1\r\nhost: test\r\n".into(),
        memory: SIDECAR_MEMORY,
        descriptors: DESCRIPTORS,
    };

    crowd::check(crowd, &target, || {
        let reply = cluster.try_post(addr, "/v1/announce", &announcement);
        reply.is_ok_and(|r| r.status() == 200) && serves_request(&cluster)
    });
}

tests! { gateway, check_gateway,
    large_announced_bodies: 24, LEGAL_FILE, Framing::Announced;
    bodies_in_large_chunks: 24, LEGAL_FILE, Framing::Chunked(1 << 20);
    bodies_in_very_small_chunks: 600, 256 << 10, Framing::Chunked(64);
    oversized_announced_bodies: 24, OVERSIZED_FILE, Framing::Announced;
    oversized_unannounced_bodies: 24, OVERSIZED_FILE, Framing::Endless(64 << 10);
}

tests! { sidecar, check_sidecar,
    large_announced_bodies: 300, LEGAL_BODY, Framing::Announced;
    bodies_in_large_chunks: 300, LEGAL_BODY, Framing::Chunked(64 << 10);
    bodies_in_very_small_chunks: 600, LEGAL_BODY / 4, Framing::Chunked(64);
    oversized_announced_bodies: 400, OVERSIZED_BODY, Framing::Announced;
    oversized_unannounced_bodies: 400, OVERSIZED_BODY, Framing::Endless(64 << 10);
}
