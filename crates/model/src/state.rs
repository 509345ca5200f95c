//! Records in the key-value service, and the status that processes report to operators.

use crate::job::JobView;
use hibiscusbarrow_placement::ShapeCount;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The prefix of all keys of hibiscusbarrow.
pub const KEY_PREFIX: &str = "/hibiscusbarrow/";
/// The key of the accepted configuration.
pub const CONFIG_ROOT_KEY: &str = "/hibiscusbarrow/config/root";
/// The prefix of the [`ConfigRoot`]s of past generations, followed by the generation.
pub const CONFIG_LOG_PREFIX: &str = "/hibiscusbarrow/config/log/";
/// The prefix of the parts that configuration files are split into.
pub const CONFIG_PART_PREFIX: &str = "/hibiscusbarrow/config/part/";
/// The prefix of the [`PlacerRecord`]s, followed by the region.
pub const PLACER_PREFIX: &str = "/hibiscusbarrow/placer/";
/// The prefix of job records, followed by region and job name.
pub const JOB_PREFIX: &str = "/hibiscusbarrow/jobs/";
/// The prefix of the [`ClaimRecord`]s, followed by account and idempotency key.
pub const CLAIM_PREFIX: &str = "/hibiscusbarrow/claims/";
/// The prefix of the addresses of initial gossip peers, followed by the process name.
pub const SEED_PREFIX: &str = "/hibiscusbarrow/seeds/";
/// The prefix of the [`Evacuations`] of the regions, followed by the region.
pub const EVACUATION_PREFIX: &str = "/hibiscusbarrow/evacuations/";
/// The largest part of a configuration, in bytes.
pub const MAX_PART_BYTES: usize = 512 << 10;

/// Points to the parts of the accepted configuration; replaced by compare-and-swap.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigRoot {
    /// The generation, which increases by one with each accepted file.
    pub generation: u64,
    /// The identifier of the operation that committed the file.
    pub operation: SmolStr,
    /// Who applied the file.
    pub operator: SmolStr,
    /// The keys of the parts, in the order of the text.
    pub parts: Vec<SmolStr>,
}

/// A whole configuration, as processes send it to each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigBody {
    /// The root under which the text is stored.
    pub root: ConfigRoot,
    /// The file as the operator wrote it.
    pub text: SmolStr,
}

/// The holder of the placer lease of a region.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlacerRecord {
    /// The name of the gateway that holds the lease.
    pub holder: SmolStr,
    /// Distinguishes the attempts of one gateway to acquire the lease.
    pub operation: SmolStr,
    /// The address at which the holder serves HTTP.
    pub http: SocketAddr,
}

/// Binds an idempotency key to the sidecar that runs its request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// The name of the sidecar.
    pub sidecar: SmolStr,
    /// The incarnation of the sidecar that remembers the key.
    pub incarnation: u64,
    /// The identifier of the request that made the claim.
    pub request: SmolStr,
    /// Milliseconds since the Unix epoch when the key was first claimed.
    pub at: u64,
}

/// The evacuated failure domains of a region, stored under one key.
///
/// One key holds them all, so that two requests made at once cannot evacuate the last domain.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evacuations {
    /// The names of the domains.
    pub domains: BTreeSet<SmolStr>,
}

/// What a process knows of all evacuations, as it answers operators and peers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvacuationsView {
    /// How long ago the key-value service confirmed the set, in milliseconds; absent if never.
    #[serde(default)]
    pub age_ms: Option<u64>,
    /// The evacuated domains of each region that ever had one.
    #[serde(default)]
    pub regions: BTreeMap<SmolStr, RegionEvacuations>,
}

/// The evacuated failure domains of one region at a revision of its key.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RegionEvacuations {
    /// The store revision at which the key was written; a higher one replaces a lower one.
    pub revision: i64,
    /// The names of the domains.
    pub domains: BTreeSet<SmolStr>,
}

/// The answer to the request or the cancellation of an evacuation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvacuationReply {
    /// The region of the gateway that answers.
    pub region: SmolStr,
    /// The failure domain that the request is about.
    pub domain: SmolStr,
    /// Whether the domain is evacuated now.
    pub evacuated: bool,
    /// Whether the request changed that.
    pub changed: bool,
    /// The evacuated domains of the region.
    pub domains: BTreeSet<SmolStr>,
    /// The gateways that have not confirmed the new set yet.
    pub pending: Vec<SmolStr>,
}

/// The location of a process, as it answers peers at `/v1/location`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProcessLocation {
    /// The failure domain of the process.
    pub domain: SmolStr,
}

/// A request to a gateway to accept a configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ApplyRequest {
    /// The name of the file.
    pub file: SmolStr,
    /// The file as the operator wrote it.
    pub text: SmolStr,
    /// The generation that the operator's changes are based on; absent means the newest.
    pub base: Option<u64>,
    /// Who applies the file.
    pub operator: SmolStr,
    /// The identifier of the operation, the same in each retry.
    pub operation: SmolStr,
}

/// The answer to an [`ApplyRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ApplyReply {
    /// The accepted generation.
    pub generation: u64,
    /// The names of the jobs in the file.
    pub jobs: Vec<SmolStr>,
}

/// The status of a process, as operators query it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// The name of the process.
    pub name: SmolStr,
    /// The configuration generation in use; 0 before the first.
    pub generation: u64,
    /// The cluster members that the process knows.
    pub members: Vec<MemberView>,
    /// The state of placement, if the process holds the placer lease.
    pub placer: Option<PlacerView>,
    /// The evacuations that the process knows.
    #[serde(default)]
    pub evacuations: EvacuationsView,
}

/// One cluster member, as another process knows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberView {
    /// The name of the process.
    pub name: SmolStr,
    /// `gateway` or `sidecar`.
    pub role: SmolStr,
    /// `alive`, `suspect`, `leaving` or `dead`.
    pub state: SmolStr,
    /// The highest configuration generation that the member reported.
    pub generation: u64,
    /// The service of its upstream; empty without one.
    pub service: SmolStr,
    /// The address at which it serves HTTP.
    pub http: SocketAddr,
}

/// The state of placement in a region, as the placer reports it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PlacerView {
    /// The fencing epoch of the placer.
    pub epoch: u64,
    /// The number of workers that report.
    pub workers: usize,
    /// The number of accelerators of these workers.
    pub accelerators: u32,
    /// The number of these accelerators that are in use.
    pub used: u32,
    /// The guaranteed shapes that do not fit on the available hardware.
    pub shortfall: Vec<ShapeCount>,
    /// The jobs that have not ended.
    pub jobs: Vec<JobView>,
    /// The failure domains of all workers, each with its number of workers that report.
    #[serde(default)]
    pub domains: BTreeMap<SmolStr, usize>,
}

/// The message by which an upstream registers with its sidecar.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// The service that the upstream offers.
    pub service: SmolStr,
    /// The address at which the upstream serves HTTP.
    pub addr: SocketAddr,
    /// The number of requests that it runs concurrently.
    pub slots: u16,
    /// The number of connections that it accepts.
    pub connections: u16,
}
