//! Ports: what the fleet roles need from the platform that they run on.

use bytes::Bytes;
use hibiscusbarrow_adapters::http::Request;
use hibiscusbarrow_fleet::job::Schedule;
use hibiscusbarrow_fleet::job::Step;
use hibiscusbarrow_fleet::ledger::ApprovalRequest;
use hibiscusbarrow_fleet::ledger::Bounds;
use hibiscusbarrow_fleet::manifest::Manifest;
use hibiscusbarrow_fleet::record::State;
use hibiscusbarrow_fleet::worker::Announcement;
use hibiscusbarrow_fleet::worker::Answer;
use hibiscusbarrow_fleet::worker::Envelope;
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

/// Holds the settings of one process of the fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The unique name of the process.
    pub name: SmolStr,
    /// The failure domain.
    pub domain: SmolStr,
    /// Where callers are served; gateways only.
    pub caller_addr: Option<SocketAddr>,
    /// Where the balancer asks whether the process is ready; gateways only.
    pub ready_addr: Option<SocketAddr>,
    /// Where the worker sends its heartbeats; sidecars only.
    pub heartbeat_addr: Option<SocketAddr>,
    /// Where peers reach the process by RPC.
    pub peer_addr: SocketAddr,
    /// Where metrics are served.
    pub metrics_addr: SocketAddr,
    /// The most connections of callers.
    pub max_connections: usize,
    /// The time between the request to stop and the end of the process.
    pub shutdown_timeout: Duration,
    /// The durations that the platform states.
    pub bounds: Bounds,
}

/// Holds one item of the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Item {
    /// The key.
    pub key: SmolStr,
    /// The value; none if the key was deleted.
    pub value: Option<Bytes>,
    /// The revision of its last change.
    pub revision: u64,
}

/// Holds a page of a listing, or changes that a watch returned.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// The items, in order.
    pub items: Vec<Item>,
    /// Whether another page follows the last key.
    pub has_more: bool,
    /// The revision of the store when it answered.
    pub revision: u64,
}

/// Describes a transaction: nothing or all of it takes effect.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Txn {
    /// Keys and the revisions that they must have; 0 means absent.
    pub conditions: Vec<(SmolStr, u64)>,
    /// Keys, values and leases to write; lease 0 for none.
    pub puts: Vec<(SmolStr, Bytes, u64)>,
    /// Keys to delete.
    pub deletes: Vec<SmolStr>,
}

/// Enumerates the outcomes of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// Took effect at this revision.
    Committed(u64),
    /// Had no effect; these are the items of the conditions.
    Conflict(Vec<Item>),
    /// Had no effect, as its lease has ended.
    NoLease,
}

/// Enumerates how a call to the store can fail.
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
    /// The history after the given revision is gone.
    #[error("the store no longer has this history")]
    Compacted,
}

/// Translates a value, or says why it cannot.
pub type Decode<I, O> = Rc<dyn Fn(&I) -> Result<O, String>>;
/// Finds a value, if it is there.
pub type Extract<I, O> = Rc<dyn Fn(&I) -> Option<O>>;

type Call<I, O> = Rc<dyn Fn(I) -> LocalBoxFuture<Result<O, StoreError>>>;

/// Calls the store in which everything lives that must last.
#[derive(Clone)]
pub struct Store {
    /// The key of the operators' manifest.
    pub manifest_key: SmolStr,
    /// Decodes a manifest.
    pub decode_manifest: Decode<[u8], Manifest>,
    /// Reads one key.
    pub get: Call<SmolStr, Option<Item>>,
    /// Reads a page of all keys with a prefix, after a key.
    pub list: Call<(SmolStr, SmolStr), Page>,
    /// Waits for changes of all keys after a revision.
    pub watch: Call<(u64, Duration), Page>,
    /// Runs a transaction.
    pub commit: Call<Txn, Outcome>,
    /// Grants a lease and returns its identifier.
    pub grant: Call<Duration, u64>,
    /// Renews a lease; returns whether it still stood.
    pub renew: Call<u64, bool>,
    /// Ends a lease.
    pub revoke: Call<u64, ()>,
}

/// Holds a job as a caller submits it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Submission {
    /// The payload.
    pub spec: String,
    /// The steps.
    pub steps: Vec<Step>,
    /// The occurrences, if the job runs more than once or later.
    pub schedule: Option<Schedule>,
}

/// Translates the requests of callers.
#[derive(Clone)]
pub struct CallerCodec {
    /// Returns the key that a request carries.
    pub api_key: Extract<Request, SmolStr>,
    /// Returns how long the caller waits for the answer.
    pub timeout: Extract<Request, Duration>,
    /// Tells whether text is the identifier of a job.
    pub is_job_id: fn(&str) -> bool,
    /// Decodes a job.
    pub decode_job: Decode<[u8], Submission>,
    /// Encodes the state of a job.
    pub encode_state: Rc<dyn Fn(State) -> Bytes>,
    /// Encodes the number of jobs that wait in a queue.
    pub encode_waiting: Rc<dyn Fn(u64) -> Bytes>,
}

/// Enumerates what a worker tells its sidecar.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerMessage {
    /// A heartbeat.
    Heartbeat(Announcement),
    /// The worker with this identifier has left.
    Left(SmolStr),
}

/// Reaches the worker beside a sidecar.
#[derive(Clone)]
pub struct Worker {
    /// Decodes what the worker says.
    pub decode_message: Decode<Request, WorkerMessage>,
    /// Sends an order to a life of the worker, with its newest heartbeat.
    pub send_order: Rc<dyn Fn(Envelope, Announcement) -> LocalBoxFuture<Answer>>,
}

/// Asks the policy service which workers may run a step; returns rows of worker and ticket.
pub type PolicyService =
    Rc<dyn Fn(ApprovalRequest) -> LocalBoxFuture<Result<Vec<(SmolStr, SmolStr)>, String>>>;
