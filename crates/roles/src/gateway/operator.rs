//! The HTTP API for operators.

use super::Gateway;
use hibiscusbarrow_adapters::http::Reply;
use hibiscusbarrow_adapters::http::Request;
use hibiscusbarrow_adapters::http::fault_reply;
use hibiscusbarrow_adapters::http::json_reply;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::code::Fault;
use hibiscusbarrow_model::job::JobSpec;
use hibiscusbarrow_model::state::ApplyRequest;
use hibiscusbarrow_model::state::EvacuationsView;
use hibiscusbarrow_model::state::Status;
use serde::Serialize;

impl Gateway {
    /// Serves one request for a path outside `/v1/services/`.
    pub(super) async fn handle_operator_request(&self, request: Request) -> Reply {
        let path = request.path.clone();
        if let Some(name) = path.strip_prefix("/v1/jobs/") {
            return match request.method.as_str() {
                "GET" => to_reply(self.job(name).await),
                "DELETE" => to_reply(self.cancel(name).await),
                _ => unknown_operation(&request),
            };
        }
        if let Some(domain) = path.strip_prefix("/v1/evacuations/") {
            return match request.method.as_str() {
                "PUT" => to_reply(self.evacuate(domain).await),
                "DELETE" => to_reply(self.end_evacuation(domain).await),
                _ => unknown_operation(&request),
            };
        }
        match (request.method.as_str(), path.as_str()) {
            ("GET", "/v1/evacuations") => json_reply(200, &self.node.evacuations_view()),
            ("POST", "/v1/evacuations") => match request.json::<EvacuationsView>() {
                Ok(view) => {
                    self.node.merge_evacuations(view);
                    json_reply(200, &self.node.evacuations_view())
                }
                Err(fault) => fault_reply(&fault),
            },
            ("POST", "/v1/config") => match request.json::<ApplyRequest>() {
                Ok(apply) => to_reply(self.apply(apply).await),
                Err(fault) => fault_reply(&fault),
            },
            ("GET", "/v1/config") => to_reply(self.config().await),
            ("POST", "/v1/jobs") => match request.json::<JobSpec>() {
                Ok(spec) => to_reply(self.submit(spec).await),
                Err(fault) => fault_reply(&fault),
            },
            ("GET", "/v1/jobs") => to_reply(self.jobs().await),
            ("GET", "/v1/status") => json_reply(200, &self.status().await),
            ("GET", "/v1/events") => json_reply(200, &self.node.log.records()),
            ("POST", path) if path.starts_with("/v1/placer/") => self.placer.serve(&request).await,
            _ => unknown_operation(&request),
        }
    }

    async fn status(&self) -> Status {
        Status {
            name: self.node.settings.name.clone(),
            generation: self.node.generation(),
            members: self.node.member_views(),
            placer: self.placer.view().await,
            evacuations: self.node.evacuations_view(),
        }
    }
}

fn unknown_operation(request: &Request) -> Reply {
    let detail = format!("no such operation: {} {}", request.method, request.path);
    fault_reply(&Fault::new(Code::BadRequest, detail))
}

fn to_reply(result: Result<impl Serialize, Fault>) -> Reply {
    match result {
        Ok(value) => json_reply(200, &value),
        Err(fault) => fault_reply(&fault),
    }
}
