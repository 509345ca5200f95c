//! Selection of the events that explain the outcome of one job.

use hibiscusbarrow_model::event::Event;
use hibiscusbarrow_model::event::Record;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// The time before a job's first event for which events of its dependencies are included.
const CONTEXT_MS: u64 = 5_000;

/// Returns the events that mention a job, those about the store, the placer, evacuations and
/// the job's workers and gateways from [`CONTEXT_MS`] before its first event to its last, and
/// earlier requests of evacuations that were in force then.
pub fn related_events(records: &[Record], job: &str) -> Vec<Record> {
    let own: Vec<&Record> = records.iter().filter(|r| r.subject == job).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let (from, to) = (first.at.saturating_sub(CONTEXT_MS), last.at);
    let gateways: BTreeSet<&SmolStr> = own.iter().map(|r| &r.process).collect();
    let workers: BTreeSet<&str> = own.iter().flat_map(|r| named_workers(&r.detail)).collect();
    let standing = standing_evacuations(records, from);
    let is_related = |r: &&Record| {
        let evacuation =
            r.event == Event::EvacuationBegan && standing.get(&r.subject) == Some(&r.seq);
        let near = (from..=to).contains(&r.at);
        let about = r.subject == job || r.detail.contains(job);
        let dependency = match r.event {
            Event::PlacerElected | Event::PlacerLapsed => true,
            Event::EvacuationBegan | Event::EvacuationEnded | Event::GuaranteeShort => true,
            Event::StoreDown | Event::StoreBack | Event::PathLost | Event::PathBack => {
                gateways.contains(&r.process)
            }
            Event::Started | Event::Stopped | Event::ConfigApplied => gateways.contains(&r.process),
            Event::WorkerCrashed
            | Event::WorkerLost
            | Event::WorkerQuarantined
            | Event::WorkerDraining => workers.contains(r.subject.as_str()),
            Event::WorkerSeen => workers.contains(r.subject.as_str()),
            _ => false,
        };
        about || evacuation || (near && dependency)
    };
    records.iter().filter(is_related).cloned().collect()
}

/// Returns the requests of evacuations that were made before `at` and not cancelled by then.
fn standing_evacuations(records: &[Record], at: u64) -> BTreeMap<&SmolStr, u64> {
    let mut standing = BTreeMap::new();
    for record in records.iter().filter(|r| r.at < at) {
        match record.event {
            Event::EvacuationBegan => {
                standing.insert(&record.subject, record.seq);
            }
            Event::EvacuationEnded => {
                standing.remove(&record.subject);
            }
            _ => {}
        }
    }
    standing
}

/// Returns the workers that a detail names as `worker=NAME` or `...@NAME`.
fn named_workers(detail: &str) -> Vec<&str> {
    let fields = detail.split([' ', ':']);
    let workers = fields.filter_map(|f| {
        f.strip_prefix("worker=")
            .or_else(|| f.split_once('@').map(|p| p.1))
    });
    workers.collect()
}
