//! The configuration of a process: its copy, exchange with peers and reads from the store.

use super::Node;
use super::gossip::Command;
use bytes::Bytes;
use hibiscusbarrow_adapters::store::StoreError;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::code::Fault;
use hibiscusbarrow_model::config::Config;
use hibiscusbarrow_model::event::Event;
use hibiscusbarrow_model::state::CONFIG_ROOT_KEY;
use hibiscusbarrow_model::state::ConfigBody;
use hibiscusbarrow_model::state::ConfigRoot;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The time that a peer may take to send its configuration.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);
/// The number of gateways in a region that poll the store for a configuration.
const MAX_POLLERS: usize = 2;
/// How many times a configuration is read if its parts are replaced during each read.
const MAX_READ_ATTEMPTS: usize = 3;

/// A parsed configuration together with the stored file.
pub struct LoadedConfig {
    /// The text of the file and its root, which has the generation.
    pub body: ConfigBody,
    /// The parsed file.
    pub config: Config,
}

impl Node {
    /// Returns the configuration in force, if there is one.
    pub fn loaded(&self) -> Option<Rc<LoadedConfig>> {
        self.config.borrow().value().cloned()
    }

    /// Returns the generation in force; 0 before the first.
    pub fn generation(&self) -> u64 {
        self.config.borrow().current()
    }

    /// Applies a configuration if its generation is higher than the current one.
    ///
    /// A text that cannot be parsed is logged and ignored.
    pub fn install(&self, body: ConfigBody) {
        let generation = body.root.generation;
        if generation <= self.generation() {
            return;
        }
        let config = match Config::parse("configuration", &body.text) {
            Ok(config) => config,
            Err(fault) => {
                self.log
                    .emit(Event::ConfigRefused, "configuration", fault.to_string());
                return;
            }
        };
        let operator = body.root.operator.clone();
        let loaded = Rc::new(LoadedConfig { body, config });
        if self.config.borrow_mut().offer(generation, loaded) {
            self.log
                .emit(Event::ConfigApplied, generation.to_string(), operator);
            self.metrics.set_gauge("generation", generation);
            let _ = self.gossip.unbounded_send(Command::Generation(generation));
        }
    }

    /// Returns the generation and the JSON of the configuration, if it is newer than `above`.
    pub fn encoded_config(&self, above: u64) -> Option<(u64, Bytes)> {
        let loaded = self.loaded()?;
        let generation = loaded.body.root.generation;
        if generation <= above {
            return None;
        }
        let body = serde_json::to_vec(&loaded.body).ok()?;
        self.metrics.count_control_bytes("config_out", body.len());
        Some((generation, body.into()))
    }

    /// Handles the generation that a peer reports: fetches its configuration if it is newer.
    ///
    /// At most one fetch runs at a time.
    pub(super) fn handle_generation(self: Rc<Self>, addr: SocketAddr, generation: u64) {
        let behind = self.config.borrow_mut().observe(generation);
        if !behind || self.fetching.replace(true) {
            return;
        }
        compio::runtime::spawn(async move {
            let above = self.generation();
            if let Ok(Some((_, bytes))) = self.rpc.config(addr, above, PEER_TIMEOUT).await {
                self.metrics.count_control_bytes("config_in", bytes.len());
                match serde_json::from_slice::<ConfigBody>(&bytes) {
                    Ok(body) => self.install(body),
                    Err(e) => self
                        .log
                        .emit(Event::PeerRefused, addr.to_string(), e.to_string()),
                }
            }
            self.fetching.set(false);
        })
        .detach();
    }

    /// Reads the newest configuration from the store; `None` if the store has none.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be read, or if the parts are replaced during
    /// every one of `MAX_READ_ATTEMPTS` reads.
    pub async fn read_config(&self) -> Result<Option<ConfigBody>, StoreError> {
        for _ in 0..MAX_READ_ATTEMPTS {
            let Some(entry) = self.store.get(CONFIG_ROOT_KEY).await? else {
                return Ok(None);
            };
            let Some(root) = entry.json::<ConfigRoot>() else {
                return Ok(None);
            };
            if let Some(body) = self.read_parts(root).await? {
                return Ok(Some(body));
            }
        }
        Err(StoreError::Unknown(
            "the configuration changed while it was read".into(),
        ))
    }

    /// Reads the parts of a configuration; `None` if one of them no longer exists.
    async fn read_parts(&self, root: ConfigRoot) -> Result<Option<ConfigBody>, StoreError> {
        let mut text = String::new();
        for part in &root.parts {
            let Some(entry) = self.store.get(part).await? else {
                return Ok(None);
            };
            text.push_str(&entry.json::<String>().unwrap_or_default());
        }
        Ok(Some(ConfigBody {
            root,
            text: text.into(),
        }))
    }

    /// Polls the store for a newer configuration until the process stops.
    ///
    /// Every gateway polls until the store has answered once; after that, only
    /// the `MAX_POLLERS` gateways of the lowest rank do, and the others receive
    /// the configuration from their peers.
    pub async fn follow_config(self: Rc<Self>) {
        let interval = Duration::from_millis(self.settings.timing.poll_ms);
        let mut unread = true;
        while !self.stop.is_raised() {
            if unread || self.gateway_rank() < MAX_POLLERS {
                unread = !self.poll_config().await && unread;
            }
            compio::time::sleep(interval).await;
        }
    }

    /// Reads the root and, if it is newer, the parts.
    ///
    /// Returns whether the store answered.
    async fn poll_config(&self) -> bool {
        let was_up = self.store.is_up();
        let result = self.store.get(CONFIG_ROOT_KEY).await;
        self.log_store_change(was_up);
        let Ok(entry) = result else { return false };
        let root = entry.and_then(|e| e.json::<ConfigRoot>());
        if root.is_none_or(|r| r.generation <= self.generation()) {
            return true;
        }
        match self.read_config().await {
            Ok(Some(body)) => {
                self.install(body);
                true
            }
            Ok(None) => true,
            Err(_) => false,
        }
    }

    /// Logs that the store became unreachable or reachable again.
    fn log_store_change(&self, was_up: bool) {
        match (was_up, self.store.is_up()) {
            (true, false) => self.log.emit(Event::StoreDown, "store", ""),
            (false, true) => self.log.emit(Event::StoreBack, "store", ""),
            _ => {}
        }
    }

    /// Returns the configuration in force.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::NotReady`] before the first configuration.
    pub fn require_config(&self) -> Result<Rc<LoadedConfig>, Fault> {
        self.loaded()
            .ok_or_else(|| Fault::new(Code::NotReady, Code::NotReady.meaning()))
    }
}
