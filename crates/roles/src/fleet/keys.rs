//! The keys under which the fleet roles store their state.

use smol_str::SmolStr;
use smol_str::format_smolstr;

/// The prefix of all keys of the fleet roles.
pub const PREFIX: &str = "hibiscusbarrow/";

/// The key of the placer's claim, which is bound to its lease.
pub const PLACER_KEY: &str = "hibiscusbarrow/placer";

/// The key of the run times that the placers have learned.
pub const RUN_TIMES_KEY: &str = "hibiscusbarrow/run-times";

const JOB_PREFIX: &str = "hibiscusbarrow/job/";
const WORKER_PREFIX: &str = "hibiscusbarrow/worker/";
/// The prefix of the keys of gateways' registrations.
pub const GATEWAY_PREFIX: &str = "hibiscusbarrow/gateway/";

/// A parsed key, named by what is stored under it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Key {
    /// The record of a job.
    Job(SmolStr),
    /// The address of a sidecar.
    Worker(SmolStr),
    /// The address of a gateway.
    Gateway(SmolStr),
    /// The request to evacuate the failure domain with this name, which may be unreadable.
    Evacuation(SmolStr),
    /// The claim of the placer.
    Placer,
    /// A key that the fleet roles do not read.
    Other,
}

/// Parses a key. `evacuations` is the prefix of requests to evacuate a failure domain, if any.
pub fn parse(key: &str, evacuations: Option<&str>) -> Key {
    let domain = evacuations.and_then(|prefix| key.strip_prefix(prefix));
    if let Some(domain) = domain {
        Key::Evacuation(domain.into())
    } else if let Some(id) = key.strip_prefix(JOB_PREFIX) {
        Key::Job(id.into())
    } else if let Some(name) = key.strip_prefix(WORKER_PREFIX) {
        Key::Worker(name.into())
    } else if let Some(name) = key.strip_prefix(GATEWAY_PREFIX) {
        Key::Gateway(name.into())
    } else if key == PLACER_KEY {
        Key::Placer
    } else {
        Key::Other
    }
}

/// Returns the key of a job's record.
pub fn job(id: &str) -> SmolStr {
    format_smolstr!("{JOB_PREFIX}{id}")
}

/// Returns the key of a sidecar's address.
pub fn worker(name: &str) -> SmolStr {
    format_smolstr!("{WORKER_PREFIX}{name}")
}

/// Returns the key of a gateway's address.
pub fn gateway(name: &str) -> SmolStr {
    format_smolstr!("{GATEWAY_PREFIX}{name}")
}

/// Returns whether a text names a failure domain: it is not empty, and has neither control characters
/// nor ones that could not be decoded.
pub fn is_domain(name: &str) -> bool {
    let is_readable = |c: char| !c.is_control() && c != char::REPLACEMENT_CHARACTER;
    !name.is_empty() && name.chars().all(is_readable)
}
