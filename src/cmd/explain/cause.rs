//! Finding the event that decided what became of a job.

use hibiscusbarrow_model::event::Event;
use hibiscusbarrow_model::event::Record;

/// A wait shorter than this, in milliseconds, explains nothing.
const NOTABLE: u64 = 300;

/// Holds what became of a job and why.
#[derive(Debug, Default, Eq, PartialEq)]
pub struct Verdict {
    pub outcome: String,
    pub cause: String,
    /// The position of the deciding event.
    pub decisive: Option<usize>,
}

/// Decides from the events of a story.
pub fn find(events: &[Record], job: &str) -> Verdict {
    let own = |event: Event| {
        let found = events.iter().enumerate();
        found.filter(move |(_, r)| r.event == event && r.subject == job)
    };
    let finished = own(Event::JobFinished).next_back();
    let accepted = own(Event::JobAccepted).next();
    let refused = own(Event::JobRefused).rfind(|(_, r)| r.detail.starts_with("POST"));
    match (accepted, finished) {
        (None, _) => refused.map_or_else(Verdict::default, |(at, r)| refusal(events, at, r)),
        (Some(_), Some((at, r))) if r.detail.contains("Failed") => failure(events, job, at),
        (Some(_), Some((at, r))) if r.detail.contains("Cancelled") => Verdict {
            outcome: "cancelled by its owner".into(),
            cause: "a cancellation was stored".into(),
            decisive: own(Event::JobCancelled)
                .next()
                .map_or(Some(at), |c| Some(c.0)),
        },
        (Some((from, _)), end) => {
            let outcome = match end {
                Some((at, _)) => {
                    let took = events[at].at - events[from].at;
                    format!("completed {took} ms after it was accepted")
                }
                None => "accepted and not over yet".into(),
            };
            Verdict {
                outcome,
                ..delay(events, job, from)
            }
        }
    }
}

/// Explains a request that was refused at the door.
fn refusal(events: &[Record], at: usize, refused: &Record) -> Verdict {
    let field = |name: &str| {
        let mut fields = refused.detail.split(' ');
        fields.find_map(|f| f.strip_prefix(name)).unwrap_or("")
    };
    let before = |event: Event| {
        let earlier = events[..at].iter().enumerate();
        let of_process = earlier.filter(|(_, r)| r.process == refused.process);
        of_process
            .rev()
            .find(|(_, r)| r.event == event)
            .map(|f| f.0)
    };
    let manifest = field("manifest=");
    let (cause, decisive) = match field("code=") {
        "HB303" => match before(Event::StoreDown) {
            Some(down) => ("the store was lost; nothing was written".into(), Some(down)),
            None => (
                "the store refused the write, or the time was up".into(),
                Some(at),
            ),
        },
        "HB306" => (
            "a write got no answer; the job may be stored".into(),
            before(Event::StoreDown).or(Some(at)),
        ),
        "HB409" => (
            format!("the key is not in version {manifest} of the manifest"),
            before(Event::ConfigApplied).or(Some(at)),
        ),
        "HB410" => (
            format!("no queue of version {manifest} fits host and path"),
            before(Event::ConfigApplied).or(Some(at)),
        ),
        "HB505" => (
            "the gateway had no manifest yet".into(),
            before(Event::Started).or(Some(at)),
        ),
        "HB411" => ("the job is malformed".into(), Some(at.saturating_sub(1))),
        _ => (String::new(), Some(at)),
    };
    Verdict {
        outcome: format!("refused with status {}", field("status=")),
        cause,
        decisive,
    }
}

/// Explains a job that was given up after failed runs.
fn failure(events: &[Record], job: &str, end: usize) -> Verdict {
    let failed = events[..end].iter().enumerate();
    let failed = failed.filter(|(_, r)| {
        r.event == Event::RunEnded && r.subject == job && r.detail.contains("end=Failed")
    });
    let failed: Vec<usize> = failed.map(|f| f.0).collect();
    Verdict {
        outcome: "shown as failed".into(),
        cause: format!("{} runs failed, the last as marked", failed.len()),
        decisive: failed.last().copied().or(Some(end)),
    }
}

/// Explains what held an accepted job up most.
fn delay(events: &[Record], job: &str, from: usize) -> Verdict {
    let mut worst: (u64, String, Option<usize>) = (NOTABLE, String::new(), None);
    let mut consider = |took: u64, cause: String, at: Option<usize>| {
        if took > worst.0 {
            worst = (took, cause, at);
        }
    };
    let mut waits = Some(from);
    for (at, record) in events.iter().enumerate().skip(from + 1) {
        let own = record.subject == job;
        if own && record.event == Event::JobPlaced {
            if let Some(since) = waits.take() {
                let took = record.at - events[since].at;
                let (cause, decisive) = wait(events, job, since, at);
                consider(took, format!("{took} ms: {cause}"), decisive);
            }
        } else if own && is_loss(record) {
            waits = waits.or(Some(at));
            let began = events[from..at]
                .iter()
                .rfind(|r| r.subject == job && r.event == Event::JobPlaced);
            let took = began.map_or(0, |b| record.at - b.at);
            let (why, decisive) = loss(events, job, at);
            consider(
                took,
                format!("{took} ms of a run were lost: {why}"),
                decisive,
            );
        }
    }
    if let Some(since) = waits.filter(|_| events.iter().all(|r| r.event != Event::JobFinished)) {
        let last = events.len() - 1;
        let took = events[last].at - events[since].at;
        let (cause, decisive) = wait(events, job, since, last);
        consider(took, format!("{took} ms so far: {cause}"), decisive);
    }
    let (_, cause, decisive) = worst;
    let cause = if cause.is_empty() {
        "nothing held it up; it took the time of its runs".into()
    } else {
        cause
    };
    Verdict {
        outcome: String::new(),
        cause,
        decisive,
    }
}

/// Tells whether a run of the job ended without its result.
fn is_loss(record: &Record) -> bool {
    match record.event {
        Event::RunLost => true,
        Event::RunEnded => !record.detail.contains("end=Done"),
        _ => false,
    }
}

/// Explains why a run ended without its result.
fn loss(events: &[Record], job: &str, at: usize) -> (String, Option<usize>) {
    let detail = &events[at].detail;
    let earlier = |event: Event| {
        let found = events[..at].iter().enumerate();
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
        return (format!("it failed on {worker}"), Some(at));
    }
    if detail.contains("end=Stopped") {
        if let Some((at, preempted)) = earlier(Event::JobPreempted) {
            let urgent = field(&preempted.detail, "for=");
            return (format!("it was stopped for job {urgent}"), Some(at));
        }
        if let Some((at, stopped)) = earlier(Event::RunStopped) {
            let why = stopped.detail.rsplit(": ").next().unwrap_or("");
            return (why.to_owned(), Some(at));
        }
    }
    let why = detail.rsplit(": ").next().unwrap_or("");
    (why.to_owned(), Some(at))
}

/// Explains a wait for a start between two events.
fn wait(events: &[Record], job: &str, from: usize, to: usize) -> (String, Option<usize>) {
    let between = |event: Event| {
        let span = events[from..to].iter().enumerate();
        span.rev()
            .find(|(_, r)| r.event == event)
            .map(|(i, _)| from + i)
    };
    if let Some(at) = between(Event::PlacerElected) {
        return (
            "no process was the placer; the marked one took over".into(),
            Some(at),
        );
    }
    if let Some(at) = between(Event::StoreDown) {
        return (
            "the store was lost, so that no start could be stored".into(),
            Some(at),
        );
    }
    let made = events[from..to]
        .iter()
        .position(|r| r.event == Event::JobPreempted && r.detail.contains(&format!("for={job}")));
    if let Some(at) = made {
        return (
            "it waited for runs of others to stop".into(),
            Some(from + at),
        );
    }
    (
        "no worker had room, or more urgent jobs came first".into(),
        Some(to),
    )
}
