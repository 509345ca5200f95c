//! Requests of operators to evacuate a failure domain, and their cancellation.

use super::Gateway;
use super::apply::store_fault;
use hibiscusbarrow_adapters::store::Compare;
use hibiscusbarrow_adapters::store::RequestOp;
use hibiscusbarrow_adapters::store::StoreError;
use hibiscusbarrow_adapters::store::TxnRequest;
use hibiscusbarrow_coordination::membership::Role;
use hibiscusbarrow_coordination::membership::State;
use hibiscusbarrow_model::code::Code;
use hibiscusbarrow_model::code::Fault;
use hibiscusbarrow_model::event::Event;
use hibiscusbarrow_model::state::EVACUATION_PREFIX;
use hibiscusbarrow_model::state::EvacuationReply;
use hibiscusbarrow_model::state::Evacuations;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// The number of attempts to write a set that others change at the same time.
const MAX_ATTEMPTS: usize = 5;

impl Gateway {
    /// Requests that no more work be sent to a failure domain of this gateway's region.
    pub(super) async fn evacuate(&self, domain: &str) -> Result<EvacuationReply, Fault> {
        self.change_evacuation(domain, true).await
    }

    /// Cancels the evacuation of a failure domain.
    pub(super) async fn end_evacuation(&self, domain: &str) -> Result<EvacuationReply, Fault> {
        self.change_evacuation(domain, false).await
    }

    async fn change_evacuation(
        &self,
        domain: &str,
        evacuate: bool,
    ) -> Result<EvacuationReply, Fault> {
        let (changed, domains) = self.store_evacuation(domain, evacuate).await?;
        if changed {
            let event = if evacuate {
                Event::EvacuationBegan
            } else {
                Event::EvacuationEnded
            };
            let region = &self.node.settings.region;
            self.node
                .log
                .emit(event, domain, format!("region={region}"));
        }
        let pending = self.node.spread_evacuations().await;
        Ok(EvacuationReply {
            region: self.node.settings.region.clone(),
            domain: domain.into(),
            evacuated: evacuate,
            changed,
            domains,
            pending,
        })
    }

    /// Writes the set of the region with the domain added or removed, unless it is so already.
    ///
    /// Returns whether the set was changed, and the set.
    async fn store_evacuation(
        &self,
        domain: &str,
        evacuate: bool,
    ) -> Result<(bool, BTreeSet<SmolStr>), Fault> {
        let region = &self.node.settings.region;
        let key = format!("{EVACUATION_PREFIX}{region}");
        let mut unconfirmed = None;
        for _ in 0..MAX_ATTEMPTS {
            let found = self.node.store.get(&key).await;
            let found = found.map_err(|e| match &unconfirmed {
                Some(detail) => Fault::new(Code::AcceptUnknown, format!("{detail}; {e}")),
                None => store_fault(e),
            })?;
            let revision = found.as_ref().map_or(0, |e| e.mod_revision);
            let stored = found.and_then(|e| e.json::<Evacuations>());
            let mut stored = stored.unwrap_or_default();
            if stored.domains.contains(domain) == evacuate {
                let domains = stored.domains;
                self.node
                    .install_evacuations(region, revision, domains.clone());
                return Ok((unconfirmed.is_some(), domains));
            }
            if evacuate {
                self.check_domain(domain, &stored.domains).await?;
                stored.domains.insert(domain.into());
            } else {
                stored.domains.remove(domain);
            }
            let request = TxnRequest {
                compare: vec![Compare::unchanged(&key, revision)],
                success: vec![RequestOp::put(&key, &stored, 0)],
                ..TxnRequest::default()
            };
            match self.node.store.txn(&request).await {
                Ok(reply) if reply.succeeded => {
                    let (revision, domains) = (reply.header.revision, stored.domains);
                    self.node
                        .install_evacuations(region, revision, domains.clone());
                    return Ok((true, domains));
                }
                Ok(_) => {}
                Err(StoreError::Unknown(detail)) => unconfirmed = Some(detail),
                Err(e) => return Err(store_fault(e)),
            }
        }
        match unconfirmed {
            Some(detail) => Err(Fault::new(Code::AcceptUnknown, detail)),
            None => Err(Fault::new(
                Code::Conflict,
                "the evacuations were changed concurrently; try again",
            )),
        }
    }

    /// Checks that the region has the domain, and another one that is not evacuated.
    async fn check_domain(&self, domain: &str, evacuated: &BTreeSet<SmolStr>) -> Result<(), Fault> {
        let (domains, complete) = self.domains().await;
        let region = &self.node.settings.region;
        let count = domains.len();
        let fault = if !domains.contains_key(domain) {
            let detail =
                format!("no failure domain is named {domain:?}; region {region} has {count}");
            Fault::new(Code::UnknownDomain, detail)
        } else {
            let remains = |(name, serving): (&SmolStr, &bool)| {
                *serving && name != domain && !evacuated.contains(name)
            };
            if domains.iter().any(remains) {
                return Ok(());
            }
            let detail = format!(
                "evacuating {domain:?} would leave none of the {count} failure domains of \
                 region {region} in service; {} evacuated already",
                evacuated.len()
            );
            Fault::new(Code::LastDomain, detail)
        };
        if complete {
            return Err(fault);
        }
        let detail = format!("no placer answers, so the domains of workers are unknown: {fault}");
        Err(Fault::new(Code::NotPlacer, detail))
    }

    /// Returns the failure domains of the region, each with whether a worker or an upstream of
    /// it is in service, and whether the placer's workers are among them.
    async fn domains(&self) -> (BTreeMap<SmolStr, bool>, bool) {
        let mut domains: BTreeMap<SmolStr, bool> = BTreeMap::new();
        for member in &self.node.members().entries {
            let info = &member.latest.info;
            let is_upstream = info.role == Role::Sidecar
                && info.region == self.node.settings.region
                && member.latest.state != State::Dead;
            if let Some(domain) = self.node.domain_of(member).filter(|_| is_upstream) {
                *domains.entry(domain).or_default() |= !info.service.is_empty();
            }
        }
        let view = self.placer.view().await;
        for (domain, workers) in view.iter().flat_map(|v| &v.domains) {
            *domains.entry(domain.clone()).or_default() |= *workers > 0;
        }
        (domains, view.is_some())
    }
}
