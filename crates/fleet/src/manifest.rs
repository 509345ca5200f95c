//! The manifest that operators maintain: queues, services and client accounts.

use crate::job::Objective;
use crate::job::Policy;
use smol_str::SmolStr;
use std::collections::HashMap;

/// One version of the manifest.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Manifest {
    /// The version, which grows with every change.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The services by name.
    pub services: HashMap<SmolStr, Service>,
    /// The client accounts.
    pub accounts: Vec<Account>,
    /// The position in `accounts` of the owner of each key.
    pub keys: HashMap<SmolStr, usize>,
    /// The largest request body, in bytes; 0 for no limit.
    pub max_body: usize,
}

/// A queue, to which callers submit jobs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Queue {
    /// The name.
    pub name: SmolStr,
    /// The host name of requests to the queue.
    pub host: SmolStr,
    /// The path prefix of requests to the queue.
    pub prefix: SmolStr,
    /// The service whose workers run the jobs.
    pub service: SmolStr,
    /// The priority; 0 comes first.
    pub priority: u32,
    /// The failed attempts of one task after which a job fails.
    pub attempts: u32,
    /// How long a job may take, if callers have an expectation.
    pub objective: Option<Objective>,
    /// Whether callers need no key.
    pub public: bool,
    /// The policy that approves workers for steps, if any.
    pub policy: Option<Policy>,
}

/// A service, whose workers run jobs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Service {
    /// Whether the workers themselves refuse tasks that exceed their free capacity.
    pub enforces_capacity: bool,
}

/// A client account, which owns jobs and may hold a guarantee.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Account {
    /// The name.
    pub name: SmolStr,
    /// The accelerators guaranteed to jobs of priority 0.
    pub guaranteed: u64,
}

impl Manifest {
    /// Returns the queue of a request and the path after the queue's prefix.
    ///
    /// Of several queues that match, the one with the longest prefix is used.
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

    /// Returns the accelerators guaranteed to an account; 0 if it is unknown.
    pub fn guaranteed(&self, account: &str) -> u64 {
        let found = self.accounts.iter().find(|a| a.name == account);
        found.map_or(0, |a| a.guaranteed)
    }
}
