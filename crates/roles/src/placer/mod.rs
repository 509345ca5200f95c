//! The placer of a region, which decides where gangs run.
//!
//! Every gateway of a region runs the placer task. The gateway that holds the
//! region's lease in the store places the gangs; the others forward requests to it.

mod election;
mod evacuate;
mod gangs;
mod leading;
mod placing;
mod rebuild;
mod records;
mod reports;
mod task;
mod view;
mod workers;

use crate::node::Node;
use election::Holder;
use futures_channel::mpsc;
use futures_channel::oneshot;
use hibiscusbarrow_adapters::http::Reply;
use hibiscusbarrow_adapters::http::Request;
use hibiscusbarrow_adapters::http::fault_reply;
use hibiscusbarrow_adapters::http::json_reply;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::code::Fault;
use hibiscusbarrow_model::config::Config;
use hibiscusbarrow_model::job::JobView;
use hibiscusbarrow_model::state::PlacerView;
use hibiscusbarrow_placement::AccountSpec;
use serde_json::json;
use smol_str::SmolStr;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use task::Message;
use task::PlacerTask;

/// The time that the placer of another gateway may take to answer.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// A handle to the placer of the region, on this gateway or another.
#[derive(Clone)]
pub struct Placer {
    node: Rc<Node>,
    messages: mpsc::UnboundedSender<Message>,
    holder: Rc<RefCell<Holder>>,
}

impl Placer {
    /// Starts the placer task of this gateway.
    pub fn start(node: Rc<Node>) -> Self {
        let (messages, receiver) = mpsc::unbounded();
        let holder = Rc::new(RefCell::new(Holder::Unknown));
        let task = PlacerTask::new(node.clone(), messages.clone(), holder.clone());
        compio::runtime::spawn(task.run(receiver)).detach();
        Self {
            node,
            messages,
            holder,
        }
    }

    /// Gives up the lease, so that another gateway can acquire it at once.
    pub async fn resign(&self) {
        let _ = self.request(Message::Resign).await;
    }

    /// Notifies the placer that a job was stored or changed, so that it reads the record.
    pub async fn wake(&self, name: &SmolStr) {
        match self.remote() {
            Some(addr) => {
                let _: Result<serde_json::Value, Fault> =
                    self.post(addr, "/v1/placer/wake", name).await;
            }
            None => {
                let _ = self.messages.unbounded_send(Message::Wake(name.clone()));
            }
        }
    }

    /// Returns the placer's view of the region; `None` if no placer answers.
    pub async fn view(&self) -> Option<PlacerView> {
        if let Some(addr) = self.remote() {
            return self.post(addr, "/v1/placer/view", &json!({})).await.ok();
        }
        self.request(Message::View).await.flatten()
    }

    /// Returns the placer's view of one job; `None` if no placer answers or the job has ended.
    pub async fn job(&self, name: &SmolStr) -> Option<JobView> {
        self.view()
            .await?
            .jobs
            .into_iter()
            .find(|j| j.spec.name == *name)
    }

    /// Checks that the hardware of the region can satisfy the guarantees of a configuration.
    ///
    /// # Errors
    ///
    /// Fails if a guarantee shrinks or cannot be satisfied, or with
    /// [`Code::NotPlacer`] if no placer answers.
    pub async fn check_quotas(&self, config: &Config) -> Result<(), Fault> {
        if config.accounts.iter().all(|a| a.quota.is_empty()) {
            return Ok(());
        }
        if let Some(addr) = self.remote() {
            let _: serde_json::Value = self.post(addr, "/v1/placer/quotas", config).await?;
            return Ok(());
        }
        let accounts = account_specs(config);
        let response = self
            .request(|sender| Message::Quotas(accounts, sender))
            .await;
        response.unwrap_or_else(|| Err(Fault::new(Code::NotPlacer, Code::NotPlacer.meaning())))
    }

    /// Serves a request that another gateway sent to the placer.
    pub async fn serve(&self, request: &Request) -> Reply {
        if self.remote().is_some() {
            return fault_reply(&Fault::new(
                Code::NotPlacer,
                "another gateway holds the lease",
            ));
        }
        match request.path.as_str() {
            "/v1/placer/wake" => match request.json::<SmolStr>() {
                Ok(name) => {
                    let _ = self.messages.unbounded_send(Message::Wake(name));
                    json_reply(200, &json!({}))
                }
                Err(fault) => fault_reply(&fault),
            },
            "/v1/placer/view" => match self.request(Message::View).await.flatten() {
                Some(view) => json_reply(200, &view),
                None => fault_reply(&Fault::new(Code::NotPlacer, Code::NotPlacer.meaning())),
            },
            "/v1/placer/quotas" => match request.json::<Config>() {
                Ok(config) => match self.check_quotas(&config).await {
                    Ok(()) => json_reply(200, &json!({})),
                    Err(fault) => fault_reply(&fault),
                },
                Err(fault) => fault_reply(&fault),
            },
            path => fault_reply(&Fault::new(
                Code::BadRequest,
                format!("no such path: {path}"),
            )),
        }
    }

    /// Returns the HTTP address of the lease holder if it is another gateway.
    fn remote(&self) -> Option<SocketAddr> {
        match &*self.holder.borrow() {
            Holder::Remote(addr) => Some(*addr),
            Holder::Unknown | Holder::Local => None,
        }
    }

    /// Sends a message to the task of this gateway and waits for the response.
    async fn request<T>(&self, message: impl FnOnce(oneshot::Sender<T>) -> Message) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.messages.unbounded_send(message(sender)).ok()?;
        receiver.await.ok()
    }

    /// Sends a request to the placer on another gateway.
    async fn post<T: serde::de::DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &impl serde::Serialize,
    ) -> Result<T, Fault> {
        let call = self
            .node
            .http
            .post_json::<serde_json::Value>(addr, path, body, PEER_TIMEOUT);
        let (status, value) = call
            .await
            .map_err(|e| Fault::new(Code::NotPlacer, e.to_string()))?;
        if status != 200 {
            return Err(serde_json::from_value(value)
                .unwrap_or_else(|_| Fault::new(Code::NotPlacer, Code::NotPlacer.meaning())));
        }
        serde_json::from_value(value).map_err(|e| Fault::new(Code::Internal, e.to_string()))
    }
}

fn account_specs(config: &Config) -> Vec<AccountSpec> {
    let spec = |a: &hibiscusbarrow_model::config::ClientAccount| AccountSpec {
        name: a.name.clone(),
        weight: a.weight,
        quota: a.quota.clone(),
    };
    config.accounts.iter().map(spec).collect()
}
