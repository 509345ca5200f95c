//! Ports: the interfaces through which the fleet roles use the platform.

use bytes::Bytes;
use hibiscusbarrow_adapters::clients::MachineLimits;
use hibiscusbarrow_adapters::http::Request;
use hibiscusbarrow_fleet::job::Schedule;
use hibiscusbarrow_fleet::job::Step;
use hibiscusbarrow_fleet::ledger::ApprovalRequest;
use hibiscusbarrow_fleet::ledger::Bounds;
use hibiscusbarrow_fleet::ledger::LearnedTimes;
use hibiscusbarrow_fleet::manifest::Manifest;
use hibiscusbarrow_fleet::record::State;
use hibiscusbarrow_fleet::worker::Announcement;
use hibiscusbarrow_fleet::worker::Answer;
use hibiscusbarrow_fleet::worker::Order;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

/// The future that a port returns.
pub type LocalBoxFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// The settings of one gateway or sidecar.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The unique name of the process.
    pub name: SmolStr,
    /// The failure domain.
    pub domain: SmolStr,
    /// The processor capacity, in thousandths of a core.
    pub capacity: u64,
    /// The address at which callers are served; gateways only.
    pub caller_addr: Option<SocketAddr>,
    /// The address at which the load balancer checks readiness; gateways only.
    pub ready_addr: Option<SocketAddr>,
    /// The address to which the worker sends its heartbeats; sidecars only.
    pub heartbeat_addr: Option<SocketAddr>,
    /// The address at which peers reach the process by RPC.
    pub peer_addr: SocketAddr,
    /// The address at which metrics are served.
    pub metrics_addr: SocketAddr,
    /// The memory and descriptors of the machine.
    pub limits: MachineLimits,
    /// The time from the request to stop until the process must have ended.
    pub shutdown_timeout: Duration,
    /// The time within which a change of the manifest must be in force.
    pub config_bound: Duration,
    /// Time limits that the platform guarantees.
    pub bounds: Bounds,
    /// What learned run times are used for.
    pub learned_times: LearnedTimes,
}

/// One item of the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Item {
    /// The key.
    pub key: SmolStr,
    /// The value; `None` if the key was deleted.
    pub value: Option<Bytes>,
    /// The revision of the last change of the key.
    pub revision: u64,
}

/// A page of a listing, or the changes that a watch returned.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// The items, in order.
    pub items: Vec<Item>,
    /// Whether another page follows the last key.
    pub has_more: bool,
    /// The revision of the store when it answered.
    pub revision: u64,
}

/// A transaction, which takes effect as a whole or not at all.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Txn {
    /// Keys and the revisions that they must have; 0 requires that the key is absent.
    pub conditions: Vec<(SmolStr, u64)>,
    /// Keys and values to write, each with its lease; 0 for none.
    pub puts: Vec<(SmolStr, Bytes, u64)>,
    /// Keys to delete.
    pub deletes: Vec<SmolStr>,
}

/// The outcome of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The transaction took effect at this revision.
    Committed(u64),
    /// A condition did not hold and nothing took effect; these are the current items of
    /// the conditions.
    Conflict(Vec<Item>),
    /// Nothing took effect because a lease has ended.
    NoLease,
}

/// The error of a call to the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, thiserror::Error)]
pub enum StoreError {
    /// The call had no effect.
    #[error("the store refused the call: {0}")]
    Refused(String),
    /// The store will never accept this call.
    #[error("the store does not accept the call: {0}")]
    Invalid(String),
    /// The call may have taken effect, or may do so later.
    #[error("the store did not answer: {0}")]
    Unknown(String),
    /// The store no longer has the history after the given revision.
    #[error("the store no longer has this history")]
    Compacted,
}

/// A function that decodes a value, or returns why it cannot.
pub type Decode<I, O> = Rc<dyn Fn(&I) -> Result<O, String>>;
/// A function that extracts a value if it is present.
pub type Extract<I, O> = Rc<dyn Fn(&I) -> Option<O>>;

type Call<I, O> = Rc<dyn Fn(I) -> LocalBoxFuture<Result<O, StoreError>>>;

/// The calls of the store, which holds all durable state.
#[derive(Clone)]
pub struct Store {
    /// The key of the operators' manifest.
    pub manifest_key: SmolStr,
    /// The prefix of the keys with which operators request the evacuation of a failure domain, whose
    /// name follows; none if they cannot.
    pub evacuation_prefix: Option<SmolStr>,
    /// Decodes a manifest.
    pub decode_manifest: Decode<[u8], Manifest>,
    /// Reads one key.
    pub get: Call<SmolStr, Option<Item>>,
    /// Reads a page of all keys with a prefix, after a key.
    pub list: Call<(SmolStr, SmolStr), Page>,
    /// Waits for changes of all keys with a prefix after a revision.
    pub watch: Call<(SmolStr, u64, Duration), Page>,
    /// Runs a transaction.
    pub commit: Call<Txn, Outcome>,
    /// Grants a lease of a given duration and returns its identifier.
    pub grant: Call<Duration, u64>,
    /// Renews a lease; returns whether it was still valid.
    pub renew: Call<u64, bool>,
    /// Ends a lease.
    pub revoke: Call<u64, ()>,
}

/// A job as a caller submits it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Submission {
    /// The payload for the workers.
    pub spec: String,
    /// The steps.
    pub steps: Vec<Step>,
    /// When the job runs, if it runs more than once or not immediately.
    pub schedule: Option<Schedule>,
}

/// Decodes the requests of callers and encodes the responses.
#[derive(Clone)]
pub struct CallerCodec {
    /// Returns the API key of a request.
    pub api_key: Extract<Request, SmolStr>,
    /// Returns how long the caller waits for the response.
    pub timeout: Extract<Request, Duration>,
    /// Returns whether a text is a valid identifier of a job.
    pub is_job_id: fn(&str) -> bool,
    /// Decodes a job.
    pub decode_job: Decode<[u8], Submission>,
    /// Encodes the state of a job.
    pub encode_state: Rc<dyn Fn(State) -> Bytes>,
    /// Encodes the number of jobs that are waiting in a queue.
    pub encode_waiting: Rc<dyn Fn(u64) -> Bytes>,
}

/// A message from a worker to its sidecar.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerMessage {
    /// A heartbeat.
    Heartbeat(Announcement),
    /// The worker with this identifier ends.
    Left(SmolStr),
}

/// The connection of a sidecar to its worker.
#[derive(Clone)]
pub struct Worker {
    /// Decodes a message of the worker.
    pub decode_message: Decode<Request, WorkerMessage>,
    /// Sends an order with a fencing token to the incarnation of the worker that sent the given
    /// heartbeat. The worker refuses a token below the highest one that it has seen.
    pub send_order: Rc<dyn Fn(u64, Order, Announcement) -> LocalBoxFuture<Answer>>,
    /// Returns whether no process listens at the worker's address.
    pub is_absent: Rc<dyn Fn() -> LocalBoxFuture<bool>>,
}

/// Asks the policy service which workers may run a step; returns pairs of a worker and its
/// approval token.
pub type PolicyService =
    Rc<dyn Fn(ApprovalRequest) -> LocalBoxFuture<Result<Vec<(SmolStr, SmolStr)>, String>>>;
