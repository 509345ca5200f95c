//! Acceptance of configurations.
//!
//! A configuration is accepted as a whole by one compare-and-swap of its root, and
//! each accepted configuration has a higher generation than the one before.

use super::Gateway;
use hibiscusbarrow_adapters::store::Compare;
use hibiscusbarrow_adapters::store::RequestOp;
use hibiscusbarrow_adapters::store::StoreError;
use hibiscusbarrow_adapters::store::TxnRequest;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::code::Fault;
use hibiscusbarrow_model::config::Config;
use hibiscusbarrow_model::event::Event;
use hibiscusbarrow_model::state::ApplyReply;
use hibiscusbarrow_model::state::ApplyRequest;
use hibiscusbarrow_model::state::CONFIG_LOG_PREFIX;
use hibiscusbarrow_model::state::CONFIG_PART_PREFIX;
use hibiscusbarrow_model::state::CONFIG_ROOT_KEY;
use hibiscusbarrow_model::state::ConfigBody;
use hibiscusbarrow_model::state::ConfigRoot;
use hibiscusbarrow_model::state::MAX_PART_BYTES;
use smol_str::SmolStr;

/// The number of generations whose operators and operations are kept in the log.
const MAX_LOGGED_GENERATIONS: u64 = 1000;

/// The accepted configuration that a new one replaces, with the revision of its root.
struct Base {
    /// The store revision of the root; 0 if there is none.
    revision: i64,
    body: Option<ConfigBody>,
}

impl Base {
    fn generation(&self) -> u64 {
        self.body.as_ref().map_or(0, |b| b.root.generation)
    }
}

impl Gateway {
    /// Returns the newest accepted configuration, or the one in force if the store cannot
    /// be read.
    pub(super) async fn config(&self) -> Result<ConfigBody, Fault> {
        if let Ok(Some(body)) = self.node.read_config().await {
            self.node.install(body);
        }
        Ok(self.node.require_config()?.body.clone())
    }

    /// Validates a configuration file and accepts or rejects it as a whole.
    pub(super) async fn apply(&self, request: ApplyRequest) -> Result<ApplyReply, Fault> {
        let result = self.try_apply(&request).await;
        if let Err(fault) = &result {
            let operation = request.operation.clone();
            self.node
                .log
                .emit(Event::ConfigRefused, operation, fault.to_string());
        }
        result
    }

    async fn try_apply(&self, request: &ApplyRequest) -> Result<ApplyReply, Fault> {
        let config = Config::parse(&request.file, &request.text)?;
        let base = self.read_base().await?;
        if let Some(body) = self.find_operation(&base, &request.operation).await? {
            return Ok(apply_reply(&config, body.generation));
        }
        self.check_base(&base, request).await?;
        if let Some(body) = &base.body {
            let current = Config::parse("accepted configuration", &body.text)?;
            config.reject_quota_reduction(&current, &request.file, &request.text)?;
        }
        self.placer.check_quotas(&config).await?;
        let root = self.commit(&base, request).await?;
        let generation = root.generation;
        self.node.log.emit(
            Event::ConfigAccepted,
            generation.to_string(),
            format!("{} by {}", request.operation, request.operator),
        );
        self.node.install(ConfigBody {
            root,
            text: request.text.clone(),
        });
        Ok(apply_reply(&config, generation))
    }

    async fn read_base(&self) -> Result<Base, Fault> {
        let entry = self
            .node
            .store
            .get(CONFIG_ROOT_KEY)
            .await
            .map_err(store_fault)?;
        let Some(entry) = entry else {
            return Ok(Base {
                revision: 0,
                body: None,
            });
        };
        let root = entry.json::<ConfigRoot>();
        let body = self.node.read_config().await.map_err(store_fault)?;
        let same = body.as_ref().map(|b| &b.root) == root.as_ref();
        if !same {
            return Err(Fault::new(
                Code::Conflict,
                "another configuration is being accepted",
            ));
        }
        Ok(Base {
            revision: entry.mod_revision,
            body,
        })
    }

    /// Returns the root that an operation wrote, if the operation was accepted before.
    ///
    /// An operator repeats an operation when the response to it was lost.
    async fn find_operation(
        &self,
        base: &Base,
        operation: &SmolStr,
    ) -> Result<Option<ConfigRoot>, Fault> {
        if let Some(body) = base
            .body
            .as_ref()
            .filter(|b| b.root.operation == *operation)
        {
            return Ok(Some(body.root.clone()));
        }
        let entries = self
            .node
            .store
            .list(CONFIG_LOG_PREFIX)
            .await
            .map_err(store_fault)?;
        let mut roots = entries.iter().filter_map(|e| e.json::<ConfigRoot>());
        Ok(roots.find(|root| root.operation == *operation))
    }

    /// Rejects a file that is based on another generation than the accepted one.
    async fn check_base(&self, base: &Base, request: &ApplyRequest) -> Result<(), Fault> {
        let Some(body) = &base.body else {
            return Ok(());
        };
        if request
            .base
            .is_none_or(|expected| expected == body.root.generation)
        {
            return Ok(());
        }
        let base_generation = request.base.unwrap_or(0);
        Err(conflict(
            base_generation,
            &body.root,
            &self.differences(request, body),
        ))
    }

    /// Lists the accounts, services and jobs in which a file differs from the accepted one.
    fn differences(&self, request: &ApplyRequest, body: &ConfigBody) -> String {
        let requested = Config::parse("", &request.text).unwrap_or_default();
        let accepted = Config::parse("", &body.text).unwrap_or_default();
        hibiscusbarrow_model::diff::changes(&accepted, &requested).join("; ")
    }

    /// Writes the parts of a file, then the root that refers to them.
    async fn commit(&self, base: &Base, request: &ApplyRequest) -> Result<ConfigRoot, Fault> {
        let generation = base.generation() + 1;
        let parts = split_parts(&request.text);
        let keys: Vec<SmolStr> = (0..parts.len())
            .map(|i| format!("{CONFIG_PART_PREFIX}{generation}/{}/{i}", request.operation).into())
            .collect();
        let root = ConfigRoot {
            generation,
            operation: request.operation.clone(),
            operator: request.operator.clone(),
            parts: keys.clone(),
        };
        for (key, part) in keys.iter().zip(&parts) {
            let write = TxnRequest {
                success: vec![RequestOp::put(key, part, 0)],
                ..TxnRequest::default()
            };
            self.node.store.txn(&write).await.map_err(store_fault)?;
        }
        self.swap_root(base, &root).await?;
        Ok(root)
    }

    /// Replaces the root if it is still at the revision of `base`.
    async fn swap_root(&self, base: &Base, root: &ConfigRoot) -> Result<(), Fault> {
        let log_key = |generation: u64| format!("{CONFIG_LOG_PREFIX}{generation:020}");
        let mut success = vec![
            RequestOp::put(CONFIG_ROOT_KEY, root, 0),
            RequestOp::put(&log_key(root.generation), root, 0),
        ];
        if let Some(expired) = root.generation.checked_sub(MAX_LOGGED_GENERATIONS) {
            success.push(RequestOp::delete(&log_key(expired)));
        }
        for part in base.body.iter().flat_map(|b| &b.root.parts) {
            success.push(RequestOp::delete(part));
        }
        let swap = TxnRequest {
            compare: vec![Compare::unchanged(CONFIG_ROOT_KEY, base.revision)],
            success,
            failure: vec![RequestOp::get(CONFIG_ROOT_KEY)],
        };
        match self.node.store.txn(&swap).await {
            Ok(reply) if reply.succeeded => Ok(()),
            Ok(reply) => match reply.found().and_then(|e| e.json::<ConfigRoot>()) {
                Some(accepted) => Err(conflict(base.generation(), &accepted, "")),
                None => Err(Fault::new(
                    Code::Conflict,
                    "the accepted configuration was deleted",
                )),
            },
            Err(StoreError::Unknown(detail)) => {
                self.resolve_unconfirmed_swap(&log_key(root.generation), root, detail)
                    .await
            }
            Err(e) => Err(store_fault(e)),
        }
    }

    /// Reads the log entry at `key` to find out whether an unconfirmed swap took effect.
    async fn resolve_unconfirmed_swap(
        &self,
        key: &str,
        root: &ConfigRoot,
        detail: String,
    ) -> Result<(), Fault> {
        let unknown = |e: StoreError| Fault::new(Code::AcceptUnknown, format!("{detail}; {e}"));
        let entry = self.node.store.get(key).await.map_err(unknown)?;
        match entry.and_then(|e| e.json::<ConfigRoot>()) {
            Some(found) if found == *root => Ok(()),
            Some(accepted) => Err(conflict(root.generation - 1, &accepted, "")),
            None => Err(Fault::new(Code::AcceptUnknown, detail)),
        }
    }
}

fn apply_reply(config: &Config, generation: u64) -> ApplyReply {
    ApplyReply {
        generation,
        jobs: config.jobs.iter().map(|j| j.name.clone()).collect(),
    }
}

fn conflict(base: u64, accepted: &ConfigRoot, differences: &str) -> Fault {
    let detail = format!(
        "the base is generation {base}, but {} accepted generation {} ({}){}{differences}",
        accepted.operator,
        accepted.generation,
        accepted.operation,
        if differences.is_empty() {
            ""
        } else {
            "; differences: "
        },
    );
    Fault::new(Code::Conflict, detail)
}

pub(super) fn store_fault(error: StoreError) -> Fault {
    match error {
        StoreError::Unknown(detail) => Fault::new(Code::StoreDown, detail),
        StoreError::Unreachable(detail) | StoreError::Refused(detail) => {
            Fault::new(Code::StoreDown, detail)
        }
    }
}

/// Splits a file into parts that each fit into one value of the store.
fn split_parts(text: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut rest = text;
    while rest.len() > MAX_PART_BYTES {
        let end = (0..=MAX_PART_BYTES)
            .rev()
            .find(|i| rest.is_char_boundary(*i));
        let (part, tail) = rest.split_at(end.unwrap_or(MAX_PART_BYTES));
        parts.push(part);
        rest = tail;
    }
    parts.push(rest);
    parts
}
