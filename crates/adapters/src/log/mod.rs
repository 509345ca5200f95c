//! Logs by `slog`, each line a numbered event, kept for the time line as well.

use hibiscusbarrow_coordination::clock::Clock;
use hibiscusbarrow_model::event::Event;
use hibiscusbarrow_model::event::Record;
use hibiscusbarrow_model::settings::LogFormat;
use slog::Drain;
use slog::Logger;
use slog::info;
use slog::o;
use smol_str::SmolStr;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

/// The events that a process keeps for the time line.
const KEPT: usize = 4096;

/// Creates the logger of a process.
pub fn logger(format: LogFormat) -> Logger {
    match format {
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stdout()).fuse();
            Logger::root(slog_async::Async::new(drain).build().fuse(), o!())
        }
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::CompactFormat::new(decorator).build().fuse();
            Logger::root(slog_async::Async::new(drain).build().fuse(), o!())
        }
    }
}

/// Returns a logger that drops everything.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

struct Inner {
    process: SmolStr,
    clock: Clock,
    logger: Logger,
    next: u64,
    kept: VecDeque<Record>,
}

/// Logs numbered events and keeps the newest of them.
#[derive(Clone)]
pub struct EventLog {
    inner: Rc<RefCell<Inner>>,
}

impl EventLog {
    /// Creates the event log of a process.
    pub fn new(process: impl Into<SmolStr>, clock: Clock, logger: Logger) -> Self {
        let inner = Inner {
            process: process.into(),
            clock,
            logger,
            next: 0,
            kept: VecDeque::with_capacity(KEPT),
        };
        Self {
            inner: Rc::new(RefCell::new(inner)),
        }
    }

    /// Logs an event about a subject.
    pub fn note(&self, event: Event, subject: impl Into<SmolStr>, detail: impl Into<SmolStr>) {
        self.note_for(event, subject, "", detail);
    }

    /// Logs an event about a subject of a client account.
    pub fn note_for(
        &self,
        event: Event,
        subject: impl Into<SmolStr>,
        account: impl Into<SmolStr>,
        detail: impl Into<SmolStr>,
    ) {
        let mut inner = self.inner.borrow_mut();
        let record = Record {
            at: inner.clock.wall_ms(),
            seq: inner.next,
            process: inner.process.clone(),
            event,
            subject: subject.into(),
            account: account.into(),
            detail: detail.into(),
        };
        inner.next += 1;
        info!(inner.logger, "{}", event.meaning();
            "event" => event.number(),
            "at" => record.at,
            "process" => record.process.as_str(),
            "subject" => record.subject.as_str(),
            "account" => record.account.as_str(),
            "detail" => record.detail.as_str());
        if inner.kept.len() == KEPT {
            inner.kept.pop_front();
        }
        inner.kept.push_back(record);
    }

    /// Returns the kept events, oldest first.
    pub fn records(&self) -> Vec<Record> {
        self.inner.borrow().kept.iter().cloned().collect()
    }
}
