//! The operators' manifest: queues, services and client accounts.

use crate::job::Objective;
use crate::job::Policy;
use smol_str::SmolStr;
use std::collections::HashMap;

/// Holds one version of the manifest.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Manifest {
    /// The version; it only grows.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The services by name.
    pub services: HashMap<SmolStr, Service>,
    /// The client accounts.
    pub accounts: Vec<Account>,
    /// The account of each key, by position.
    pub keys: HashMap<SmolStr, usize>,
    /// The largest body of a request, in bytes; 0 if not limited.
    pub max_body: usize,
}

/// Describes a queue.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Queue {
    /// The name.
    pub name: SmolStr,
    /// The host that requests name.
    pub host: SmolStr,
    /// The prefix of the path.
    pub prefix: SmolStr,
    /// The service whose workers run the jobs.
    pub service: SmolStr,
    /// The priority; 0 comes first.
    pub priority: u32,
    /// The failed attempts of one task after which a job fails.
    pub attempts: u32,
    /// By when callers expect a job to end, if they do.
    pub objective: Option<Objective>,
    /// Whether no key is needed.
    pub public: bool,
    /// The policy that approves workers, if any.
    pub policy: Option<Policy>,
}

/// Describes a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Service {
    /// Whether the workers refuse what does not fit.
    pub enforces_capacity: bool,
}

/// Describes a client account.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Account {
    /// The name.
    pub name: SmolStr,
    /// The accelerators guaranteed to jobs of priority 0.
    pub guaranteed: u64,
}

impl Manifest {
    /// Returns the queue of a request and the rest of its path.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let host = host.split(':').next().unwrap_or(host);
        let of_host = self
            .queues
            .iter()
            .filter(|q| q.host.eq_ignore_ascii_case(host));
        let queue = of_host
            .filter(|q| path.starts_with(q.prefix.as_str()))
            .max_by_key(|q| q.prefix.len())?;
        Some((queue, &path[queue.prefix.len()..]))
    }

    /// Returns the account that owns a key.
    pub fn account(&self, key: &str) -> Option<&Account> {
        self.accounts.get(*self.keys.get(key)?)
    }

    /// Returns the accelerators guaranteed to an account.
    pub fn guaranteed(&self, account: &str) -> u64 {
        let found = self.accounts.iter().find(|a| a.name == account);
        found.map_or(0, |a| a.guaranteed)
    }
}
