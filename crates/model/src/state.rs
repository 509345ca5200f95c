//! Values that the key-value service keeps, and the views that operators get.

use crate::job::JobView;
use hibiscusbarrow_placement::ShapeCount;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use std::net::SocketAddr;

/// The prefix of every key of the system.
pub const KEY_PREFIX: &str = "/hibiscusbarrow/";
/// The key of the accepted configuration.
pub const CONFIG_ROOT_KEY: &str = "/hibiscusbarrow/config/root";
/// The prefix of the roots of past generations.
pub const CONFIG_LOG_PREFIX: &str = "/hibiscusbarrow/config/log/";
/// The prefix of the parts of configurations.
pub const CONFIG_PART_PREFIX: &str = "/hibiscusbarrow/config/part/";
/// The prefix of the placer leases, followed by the region.
pub const PLACER_PREFIX: &str = "/hibiscusbarrow/placer/";
/// The prefix of jobs, followed by region and name.
pub const JOB_PREFIX: &str = "/hibiscusbarrow/jobs/";
/// The prefix of claims of idempotency keys, followed by account and key.
pub const CLAIM_PREFIX: &str = "/hibiscusbarrow/claims/";
/// The prefix of the addresses of first peers.
pub const SEED_PREFIX: &str = "/hibiscusbarrow/seeds/";
/// The largest part of a configuration, in bytes.
pub const MAX_PART_BYTES: usize = 512 << 10;

/// Names the accepted configuration; replaced by one compare-and-swap.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigRoot {
    /// The generation, rising by one with each accepted file.
    pub generation: u64,
    /// Identifies the operation that committed the file.
    pub operation: SmolStr,
    /// Who applied the file.
    pub operator: SmolStr,
    /// Keys of the parts, in order.
    pub parts: Vec<SmolStr>,
}

/// Holds a whole configuration as processes pass it on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigBody {
    /// The root that names this body.
    pub root: ConfigRoot,
    /// The file as the operator wrote it.
    pub text: SmolStr,
}

/// Holds the placer lease of a region.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlacerRecord {
    /// The name of the holder.
    pub holder: SmolStr,
    /// Distinguishes attempts of one holder.
    pub operation: SmolStr,
    /// Where the holder serves HTTP.
    pub http: SocketAddr,
}

/// Binds an idempotency key to the sidecar that runs it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// The name of the sidecar.
    pub sidecar: SmolStr,
    /// The life of the sidecar that remembers the key.
    pub incarnation: u64,
    /// The request that made the claim.
    pub request: SmolStr,
    /// Milliseconds since the Unix epoch when the key was first claimed.
    pub at: u64,
}

/// Asks a gateway to accept a configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ApplyRequest {
    /// The name of the file.
    pub file: SmolStr,
    /// The file as written.
    pub text: SmolStr,
    /// The generation that the operator started from; absent means the newest.
    pub base: Option<u64>,
    /// Who applies the file.
    pub operator: SmolStr,
    /// Identifies the operation across retries.
    pub operation: SmolStr,
}

/// Answers an [`ApplyRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ApplyReply {
    /// The accepted generation.
    pub generation: u64,
    /// Jobs that the file names.
    pub jobs: Vec<SmolStr>,
}

/// Describes a process to operators.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// The name of the process.
    pub name: SmolStr,
    /// The generation in force.
    pub generation: u64,
    /// Members known to the process.
    pub members: Vec<MemberView>,
    /// The placer's view, if the process holds the lease.
    pub placer: Option<PlacerView>,
}

/// Describes a member to operators.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberView {
    /// The name.
    pub name: SmolStr,
    /// `gateway` or `sidecar`.
    pub role: SmolStr,
    /// `alive`, `suspect`, `leaving` or `dead`.
    pub state: SmolStr,
    /// The highest generation that it reported.
    pub generation: u64,
    /// The service of its upstream, if any.
    pub service: SmolStr,
    /// Where it serves HTTP.
    pub http: SocketAddr,
}

/// Describes placement to operators.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PlacerView {
    /// The fencing epoch.
    pub epoch: u64,
    /// Workers that report.
    pub workers: usize,
    /// Accelerators in service.
    pub accelerators: u32,
    /// Accelerators in use.
    pub used: u32,
    /// Guaranteed shapes that the hardware at hand cannot pack.
    pub shortfall: Vec<ShapeCount>,
    /// Jobs that are not finished.
    pub jobs: Vec<JobView>,
}

/// Is sent by an upstream to its sidecar to announce itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// The service that the upstream offers.
    pub service: SmolStr,
    /// Where the upstream listens.
    pub addr: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u16,
    /// Connections that it accepts.
    pub connections: u16,
}
