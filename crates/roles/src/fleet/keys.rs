//! The keys under which the fleet roles keep their state.

use smol_str::SmolStr;
use smol_str::format_smolstr;

/// The lease of the placer.
pub const PLACER: &str = "hibiscusbarrow/placer";

const JOB: &str = "hibiscusbarrow/job/";
const WORKER: &str = "hibiscusbarrow/worker/";
const GATEWAY: &str = "hibiscusbarrow/gateway/";

/// Enumerates what a key holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The record of a job.
    Job(SmolStr),
    /// The address of a sidecar.
    Worker(SmolStr),
    /// The address of a gateway.
    Gateway(SmolStr),
    /// The holder of the placer's lease.
    Placer,
    /// Something that the fleet roles do not read.
    Other,
}

/// Returns what a key holds.
pub fn kind(key: &str) -> Kind {
    if let Some(id) = key.strip_prefix(JOB) {
        Kind::Job(id.into())
    } else if let Some(name) = key.strip_prefix(WORKER) {
        Kind::Worker(name.into())
    } else if let Some(name) = key.strip_prefix(GATEWAY) {
        Kind::Gateway(name.into())
    } else if key == PLACER {
        Kind::Placer
    } else {
        Kind::Other
    }
}

/// Returns the key of a job's record.
pub fn job(id: &str) -> SmolStr {
    format_smolstr!("{JOB}{id}")
}

/// Returns the key of a sidecar's address.
pub fn worker(name: &str) -> SmolStr {
    format_smolstr!("{WORKER}{name}")
}

/// Returns the key of a gateway's address.
pub fn gateway(name: &str) -> SmolStr {
    format_smolstr!("{GATEWAY}{name}")
}
