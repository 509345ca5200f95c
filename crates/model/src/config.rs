//! The operators' configuration: accounts, quotas, services and jobs.

use crate::code::Code;
use crate::code::Fault;
use crate::document::Document;
use crate::job::JobSpec;
use hibiscusbarrow_placement::Shape;
use hibiscusbarrow_placement::ShapeCount;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// The largest guaranteed count of one shape.
pub const MAX_SHAPE_COUNT: u32 = 100_000;
/// The largest weight of an account.
pub const MAX_WEIGHT: u32 = 1_000;
/// The largest gang, in accelerators.
pub const MAX_GANG_ACCELERATORS: u32 = 512;
/// The longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// A configuration file.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// The client accounts.
    pub accounts: Vec<ClientAccount>,
    /// The services that callers may address.
    pub services: Vec<Service>,
    /// Jobs that are submitted when the file is accepted, once for each name.
    pub jobs: Vec<JobSpec>,
}

/// A client of the scheduler and its guarantees.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// The unique name.
    pub name: SmolStr,
    /// The share of idle capacity that the account may borrow, relative to other accounts.
    #[serde(default = "one")]
    pub weight: u32,
    /// The shapes that are guaranteed to the account.
    #[serde(default)]
    pub quota: Vec<ShapeCount>,
    /// The request rate limit; absent means unlimited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<RateLimit>,
}

/// The request rate limit of an account.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RateLimit {
    /// The sustained number of requests per second at each gateway.
    pub rps: u32,
    /// The largest number of requests accepted at once.
    pub burst: u32,
}

/// A service that upstreams offer and callers address.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The unique name.
    pub name: SmolStr,
    /// The deadline of a request that does not set one, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u32,
    /// Whether a request may run more than once if it does not state so itself.
    #[serde(default)]
    pub idempotent: bool,
}

fn one() -> u32 {
    1
}

fn default_deadline() -> u32 {
    10_000
}

impl Config {
    /// Parses and validates a configuration file.
    pub fn parse(name: &str, text: &str) -> Result<Self, Fault> {
        let document = Document::new(name, text);
        let config: Config = document.parse()?;
        config.check(&document)?;
        Ok(config)
    }

    /// Returns the account with the given name.
    pub fn account(&self, name: &str) -> Option<&ClientAccount> {
        self.accounts.iter().find(|a| a.name == name)
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name == name)
    }

    fn check(&self, document: &Document<'_>) -> Result<(), Fault> {
        check_names(document, "accounts", self.accounts.iter().map(|a| &a.name))?;
        check_names(document, "services", self.services.iter().map(|s| &s.name))?;
        check_names(document, "jobs", self.jobs.iter().map(|j| &j.name))?;
        for (i, account) in self.accounts.iter().enumerate() {
            check_account(document, i, account)?;
        }
        for (i, service) in self.services.iter().enumerate() {
            let path = format!("services[{i}].deadline_ms");
            check_range(document, &path, service.deadline_ms, 1, 3_600_000)?;
        }
        for (i, job) in self.jobs.iter().enumerate() {
            self.check_job(document, i, job)?;
        }
        Ok(())
    }

    fn check_job(&self, document: &Document<'_>, i: usize, job: &JobSpec) -> Result<(), Fault> {
        check_range(
            document,
            &format!("jobs[{i}].count"),
            job.count,
            1,
            MAX_GANG_ACCELERATORS,
        )?;
        let gang = job.accelerators();
        check_range(
            document,
            &format!("jobs[{i}].count"),
            gang,
            1,
            MAX_GANG_ACCELERATORS,
        )?;
        if self.account(&job.account).is_none() {
            let detail = format!("no account is named {:?}", job.account);
            return Err(document.fault(Code::UnknownName, detail, &format!("jobs[{i}].account")));
        }
        Ok(())
    }

    /// Fails with [`Code::QuotaShrinks`] if a guarantee is lower than in `current`.
    ///
    /// Guarantees are compared for each shape, so a new configuration can only add to them.
    pub fn reject_quota_reduction(
        &self,
        current: &Config,
        name: &str,
        text: &str,
    ) -> Result<(), Fault> {
        let document = Document::new(name, text);
        for old in &current.accounts {
            let index = self.accounts.iter().position(|a| a.name == old.name);
            let new = index
                .map(|i| self.accounts[i].quota_by_shape())
                .unwrap_or_default();
            for (shape, count) in old.quota_by_shape() {
                let granted = new.get(&shape).copied().unwrap_or(0);
                if granted < count {
                    let detail = format!(
                        "account {:?} is guaranteed {count} x {shape:?}, but the file grants {granted}",
                        old.name
                    );
                    let path =
                        index.map_or("accounts".to_owned(), |i| format!("accounts[{i}].quota"));
                    return Err(document.fault(Code::QuotaShrinks, detail, &path));
                }
            }
        }
        Ok(())
    }
}

impl ClientAccount {
    /// Returns the guaranteed count of each shape.
    pub fn quota_by_shape(&self) -> BTreeMap<Shape, u32> {
        let mut shapes = BTreeMap::new();
        for entry in &self.quota {
            *shapes.entry(entry.shape).or_default() += entry.count;
        }
        shapes
    }
}

fn check_account(document: &Document<'_>, i: usize, account: &ClientAccount) -> Result<(), Fault> {
    let path = format!("accounts[{i}]");
    check_range(
        document,
        &format!("{path}.weight"),
        account.weight,
        1,
        MAX_WEIGHT,
    )?;
    for (k, entry) in account.quota.iter().enumerate() {
        check_range(
            document,
            &format!("{path}.quota[{k}].count"),
            entry.count,
            1,
            MAX_SHAPE_COUNT,
        )?;
    }
    if let Some(rate) = &account.rate {
        check_range(
            document,
            &format!("{path}.rate.rps"),
            rate.rps,
            1,
            1_000_000,
        )?;
        check_range(
            document,
            &format!("{path}.rate.burst"),
            rate.burst,
            1,
            1_000_000,
        )?;
    }
    Ok(())
}

fn check_names<'a>(
    document: &Document<'_>,
    list: &str,
    names: impl Iterator<Item = &'a SmolStr>,
) -> Result<(), Fault> {
    let mut seen = BTreeSet::new();
    for (i, name) in names.enumerate() {
        let path = format!("{list}[{i}].name");
        if !is_valid_name(name) {
            let detail = format!(
                "{name:?} is not a name of 1 to {MAX_NAME_BYTES} lower-case letters, digits and hyphens"
            );
            return Err(document.fault(Code::OutOfRange, detail, &path));
        }
        if !seen.insert(name) {
            let detail = format!("{name:?} is used twice");
            return Err(document.fault(Code::Duplicate, detail, &path));
        }
    }
    Ok(())
}

/// Returns whether a text is a valid name in configurations, HTTP paths and store keys.
pub fn is_valid_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(allowed)
}

fn check_range(
    document: &Document<'_>,
    path: &str,
    value: u32,
    min: u32,
    max: u32,
) -> Result<(), Fault> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    let detail = format!("{value} lies outside {min} to {max}");
    Err(document.fault(Code::OutOfRange, detail, path))
}
