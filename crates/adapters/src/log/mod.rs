//! Logging through `slog`; each line is a numbered event that is also kept in memory.

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
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

/// The number of events that a process retains for the `timeline` command.
const MAX_RETAINED_EVENTS: usize = 4096;

/// The largest number of lines that a process writes for one event in [`RATE_WINDOW`].
const MAX_LINES_PER_WINDOW: u32 = 50;
/// The capacity of the queue to the writer thread; further lines are dropped and counted.
const QUEUE_LINES: usize = 1024;
/// The interval after which the line count of an event is reset.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Creates the logger of a process: JSON on standard output or text on standard error.
pub fn logger(format: LogFormat) -> Logger {
    match format {
        LogFormat::Json => async_logger(slog_json::Json::default(std::io::stdout()).fuse()),
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            async_logger(slog_term::CompactFormat::new(decorator).build().fuse())
        }
    }
}

/// Creates a logger that writes on its own thread, so that a slow reader of the log
/// does not block the process.
fn async_logger(drain: impl Drain<Err = slog::Never, Ok = ()> + Send + 'static) -> Logger {
    let queue = slog_async::Async::new(drain).chan_size(QUEUE_LINES).build();
    Logger::root(queue.fuse(), o!())
}

/// Returns a logger that discards all lines.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

struct Inner {
    process: SmolStr,
    clock: Clock,
    logger: Logger,
    next_seq: u64,
    retained: VecDeque<Record>,
    budgets: BTreeMap<Event, Budget>,
}

/// The lines of one event in the current [`RATE_WINDOW`].
#[derive(Clone, Copy, Debug, Default)]
struct Budget {
    window_start: Duration,
    lines: u32,
    dropped: u64,
}

/// Logs numbered events and retains the newest of them in memory.
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
            next_seq: 0,
            retained: VecDeque::with_capacity(MAX_RETAINED_EVENTS),
            budgets: BTreeMap::new(),
        };
        Self {
            inner: Rc::new(RefCell::new(inner)),
        }
    }

    /// Logs an event about a subject.
    pub fn emit(&self, event: Event, subject: impl Into<SmolStr>, detail: impl Into<SmolStr>) {
        self.emit_for(event, subject, "", detail);
    }

    /// Logs an event about a subject of a client account.
    ///
    /// Lines beyond the rate limit of the event are dropped. Their number is logged as
    /// [`Event::LinesDropped`] before the first line of the event in a later window.
    pub fn emit_for(
        &self,
        event: Event,
        subject: impl Into<SmolStr>,
        account: impl Into<SmolStr>,
        detail: impl Into<SmolStr>,
    ) {
        let mut inner = self.inner.borrow_mut();
        let now = inner.clock.now();
        let budget = inner.budgets.entry(event).or_default();
        if now >= budget.window_start + RATE_WINDOW {
            let dropped = std::mem::take(&mut budget.dropped);
            (budget.window_start, budget.lines) = (now, 0);
            if dropped > 0 {
                let detail = format!("event={event} lines={dropped}");
                inner.write(Event::LinesDropped, "log".into(), "".into(), detail.into());
            }
        }
        let budget = inner.budgets.entry(event).or_default();
        budget.lines += 1;
        if budget.lines > MAX_LINES_PER_WINDOW {
            budget.dropped += 1;
            return;
        }
        inner.write(event, subject.into(), account.into(), detail.into());
    }

    /// Returns the retained events, oldest first.
    pub fn records(&self) -> Vec<Record> {
        self.inner.borrow().retained.iter().cloned().collect()
    }
}

impl Inner {
    fn write(&mut self, event: Event, subject: SmolStr, account: SmolStr, detail: SmolStr) {
        let record = Record {
            at: self.clock.wall_ms(),
            seq: self.next_seq,
            process: self.process.clone(),
            event,
            subject,
            account,
            detail,
        };
        self.next_seq += 1;
        info!(self.logger, "{}", event.meaning();
            "event" => event.number(),
            "at" => record.at,
            "process" => record.process.as_str(),
            "subject" => record.subject.as_str(),
            "account" => record.account.as_str(),
            "detail" => record.detail.as_str());
        if self.retained.len() == MAX_RETAINED_EVENTS {
            self.retained.pop_front();
        }
        self.retained.push_back(record);
    }
}
