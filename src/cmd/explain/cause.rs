//! Derivation of a job's outcome, its cause and the decisive event.

use hibiscusbarrow_model::event::Event;
use hibiscusbarrow_model::event::Record;

/// A wait or a lost run of at most this duration is not reported as a delay.
const NEGLIGIBLE_DELAY_MS: u64 = 300;

/// The outcome of a job, its cause and the event that decided it.
#[derive(Debug, Default, Eq, PartialEq)]
pub struct Diagnosis {
    pub outcome: String,
    pub cause: String,
    /// The index of the decisive event.
    pub decisive: Option<usize>,
}

/// Derives the outcome of a job from the events related to it.
pub fn diagnose(events: &[Record], job: &str) -> Diagnosis {
    let own = |event: Event| {
        let found = events.iter().enumerate();
        found.filter(move |(_, r)| r.event == event && r.subject == job)
    };
    let finished = own(Event::JobFinished).next_back();
    let accepted = own(Event::JobAccepted).next();
    let rejected = own(Event::JobRefused).rfind(|(_, r)| r.detail.starts_with("POST"));
    match (accepted, finished) {
        (None, _) => rejected.map_or_else(Diagnosis::default, |(index, r)| {
            diagnose_rejection(events, index, r)
        }),
        (Some(_), Some((index, r))) if r.detail.contains("Failed") => {
            diagnose_failure(events, job, index)
        }
        (Some(_), Some((index, r))) if r.detail.contains("Cancelled") => Diagnosis {
            outcome: "cancelled by its owner".into(),
            cause: "a cancellation was stored".into(),
            decisive: own(Event::JobCancelled)
                .next()
                .map_or(Some(index), |c| Some(c.0)),
        },
        (Some((from, _)), end) => {
            let outcome = match end {
                Some((index, _)) => {
                    let duration = events[index].at - events[from].at;
                    format!("completed {duration} ms after it was accepted")
                }
                None => "accepted and not finished yet".into(),
            };
            Diagnosis {
                outcome,
                ..diagnose_delay(events, job, from)
            }
        }
    }
}

/// Explains a submission that a gateway refused.
fn diagnose_rejection(events: &[Record], index: usize, rejected: &Record) -> Diagnosis {
    let field = |name: &str| {
        let mut fields = rejected.detail.split(' ');
        fields.find_map(|f| f.strip_prefix(name)).unwrap_or("")
    };
    let before = |event: Event| {
        let earlier = events[..index].iter().enumerate();
        let of_process = earlier.filter(|(_, r)| r.process == rejected.process);
        of_process
            .rev()
            .find(|(_, r)| r.event == event)
            .map(|f| f.0)
    };
    let manifest = field("manifest=");
    let (cause, decisive) = match field("code=") {
        "HB303" => match before(Event::StoreDown) {
            Some(down) => (
                "the store did not answer; nothing was written".into(),
                Some(down),
            ),
            None => (
                "the store refused the write, or the request timed out".into(),
                Some(index),
            ),
        },
        "HB306" => (
            "the store did not confirm a write; the job may be stored".into(),
            before(Event::StoreDown).or(Some(index)),
        ),
        "HB409" => (
            format!("the key is not in version {manifest} of the manifest"),
            before(Event::ConfigApplied).or(Some(index)),
        ),
        "HB410" => (
            format!("no queue in version {manifest} of the manifest matches host and path"),
            before(Event::ConfigApplied).or(Some(index)),
        ),
        "HB505" => (
            "the gateway had no manifest yet".into(),
            before(Event::Started).or(Some(index)),
        ),
        "HB411" => ("the job is malformed".into(), Some(index.saturating_sub(1))),
        _ => (String::new(), Some(index)),
    };
    Diagnosis {
        outcome: format!("refused with status {}", field("status=")),
        cause,
        decisive,
    }
}

/// Explains a job that failed because its runs failed, or because workers crashed under them.
fn diagnose_failure(events: &[Record], job: &str, end: usize) -> Diagnosis {
    let ended = events[..end].iter().enumerate();
    let given_up = |r: &Record| r.event == Event::JobGivenUp && r.subject == job;
    if let Some((index, record)) = ended.clone().rfind(|(_, r)| given_up(r)) {
        return Diagnosis {
            outcome: "shown as failed".into(),
            cause: format!("workers crashed under one of its tasks: {}", record.detail),
            decisive: Some(index),
        };
    }
    let failed = ended.filter(|(_, r)| {
        r.event == Event::RunEnded && r.subject == job && r.detail.contains("end=Failed")
    });
    let failed: Vec<usize> = failed.map(|f| f.0).collect();
    Diagnosis {
        outcome: "shown as failed".into(),
        cause: format!("{} runs failed; the last failure is marked", failed.len()),
        decisive: failed.last().copied().or(Some(end)),
    }
}

/// Finds the longest delay of an accepted job: a wait for a start or a lost run.
fn diagnose_delay(events: &[Record], job: &str, from: usize) -> Diagnosis {
    let mut longest: (u64, String, Option<usize>) = (NEGLIGIBLE_DELAY_MS, String::new(), None);
    let mut consider = |duration: u64, cause: String, index: Option<usize>| {
        if duration > longest.0 {
            longest = (duration, cause, index);
        }
    };
    let mut waiting_since = Some(from);
    for (index, record) in events.iter().enumerate().skip(from + 1) {
        let own = record.subject == job;
        if own && matches!(record.event, Event::JobPlaced | Event::JobStarted) {
            if let Some(since) = waiting_since.take() {
                let duration = record.at - events[since].at;
                let (cause, decisive) = wait_cause(events, job, since, index);
                consider(duration, format!("{duration} ms: {cause}"), decisive);
            }
        } else if own && is_loss(record) {
            waiting_since = waiting_since.or(Some(index));
            let placed = events[from..index]
                .iter()
                .rfind(|r| r.subject == job && r.event == Event::JobPlaced);
            let duration = placed.map_or(0, |p| record.at - p.at);
            let (reason, decisive) = loss_cause(events, job, index);
            consider(
                duration,
                format!("{duration} ms of a run were lost: {reason}"),
                decisive,
            );
        }
    }
    if let Some(since) =
        waiting_since.filter(|_| events.iter().all(|r| r.event != Event::JobFinished))
    {
        let last = events.len() - 1;
        let duration = events[last].at - events[since].at;
        let (cause, decisive) = wait_cause(events, job, since, last);
        consider(duration, format!("{duration} ms so far: {cause}"), decisive);
    }
    let (_, cause, decisive) = longest;
    let cause = if cause.is_empty() {
        "no notable delay; the job took as long as its runs".into()
    } else {
        cause
    };
    Diagnosis {
        outcome: String::new(),
        cause,
        decisive,
    }
}

/// Returns whether the event ends a run that did not complete.
fn is_loss(record: &Record) -> bool {
    match record.event {
        Event::RunLost => true,
        Event::RunEnded => !record.detail.contains("end=Done"),
        _ => false,
    }
}

/// Returns why a run did not complete, and the index of the decisive event.
fn loss_cause(events: &[Record], job: &str, index: usize) -> (String, Option<usize>) {
    let detail = &events[index].detail;
    let earlier = |event: Event| {
        let found = events[..index].iter().enumerate();
        let mut own = found.filter(|(_, r)| r.event == event && r.subject == job);
        own.next_back()
    };
    let field = |text: &str, name: &str| {
        let mut fields = text.split(' ');
        let found = fields.find_map(|f| f.strip_prefix(name));
        found.unwrap_or("").to_owned()
    };
    if detail.contains("end=Failed") {
        let worker = field(detail, "worker=");
        return (format!("it failed on {worker}"), Some(index));
    }
    if detail.contains("end=Stopped") {
        if let Some((index, preempted)) = earlier(Event::JobPreempted) {
            let urgent = field(&preempted.detail, "for=");
            return (format!("it was stopped for job {urgent}"), Some(index));
        }
        if let Some((index, stopped)) = earlier(Event::RunStopped) {
            let reason = stopped.detail.rsplit(": ").next().unwrap_or("");
            return (reason.to_owned(), Some(index));
        }
    }
    let reason = detail.rsplit(": ").next().unwrap_or("");
    (reason.to_owned(), Some(index))
}

/// Returns why a job waited for a start between two events, and the index of the decisive
/// event.
fn wait_cause(events: &[Record], job: &str, from: usize, to: usize) -> (String, Option<usize>) {
    let between = |event: Event| {
        let span = events[from..to].iter().enumerate();
        span.rev()
            .find(|(_, r)| r.event == event)
            .map(|(i, _)| from + i)
    };
    if let Some(index) = between(Event::PlacerElected) {
        return (
            "no process was the placer until the marked takeover".into(),
            Some(index),
        );
    }
    if let Some(index) = between(Event::StoreDown) {
        return (
            "the store did not answer, so no start could be stored".into(),
            Some(index),
        );
    }
    let preemption = events[from..to]
        .iter()
        .position(|r| r.event == Event::JobPreempted && r.detail.contains(&format!("for={job}")));
    if let Some(index) = preemption {
        return (
            "it waited for preempted runs of other jobs to stop".into(),
            Some(from + index),
        );
    }
    if let Some(index) = standing_evacuation(&events[..to]) {
        return (
            format!(
                "no worker outside the evacuated domain {} had free capacity",
                events[index].subject
            ),
            Some(index),
        );
    }
    (
        "no worker had free capacity, or more urgent jobs came first".into(),
        Some(to),
    )
}

/// Returns the index of the newest request of an evacuation that was not cancelled.
fn standing_evacuation(events: &[Record]) -> Option<usize> {
    let ended_later = |index: usize| {
        let later = events[index..].iter();
        let mut ends = later.filter(|r| r.event == Event::EvacuationEnded);
        ends.any(|r| r.subject == events[index].subject)
    };
    (0..events.len())
        .rev()
        .find(|i| events[*i].event == Event::EvacuationBegan && !ended_later(*i))
}
