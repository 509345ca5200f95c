//! At-most-once execution of idempotency keys at their owner.
//!
//! A claim, written elsewhere, binds a key to one incarnation of one owner. Only
//! the writer of the claim sends [`Mode::Run`], and only once; all others send
//! [`Mode::Repeat`]. An owner that receives a repeat of an unknown key closes the
//! key: it refuses a run that arrives later, so its answer "not run" stays true.

use smol_str::SmolStr;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Whether a keyed request may run the key or only asks for its outcome.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// The only request that may run the key.
    Run,
    /// A request for the outcome of the key, which never runs it.
    Repeat,
}

/// What an owner does with a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Arrival<A> {
    /// Runs the request and reports its end to the gate.
    Run,
    /// Waits for the run in progress.
    Join,
    /// Returns the retained answer.
    Answer(A),
    /// Answers that the key was not run and never will be by this owner.
    Closed,
    /// Answers that no further key can be recorded; the request was not recorded.
    Full,
}

#[derive(Clone, Debug)]
enum KeyState<A> {
    Running,
    Answered(A, usize),
    Closed,
}

/// The outcome of each key, retained for a fixed time after its end.
#[derive(Clone, Debug)]
pub struct KeyGate<A> {
    states: HashMap<SmolStr, KeyState<A>>,
    expiry: VecDeque<(Duration, SmolStr)>,
    retention: Duration,
    capacity: usize,
    /// The total size of all retained answers, in bytes.
    answer_bytes: usize,
    /// The total size of retained answers at which new keys are refused, in bytes.
    max_answer_bytes: usize,
}

impl<A: Clone> KeyGate<A> {
    /// Creates a gate that holds up to `capacity` keys, each for `retention` after its end.
    ///
    /// New keys are refused once the retained answers reach `max_answer_bytes`.
    pub fn new(retention: Duration, capacity: usize, max_answer_bytes: usize) -> Self {
        Self {
            states: HashMap::new(),
            expiry: VecDeque::new(),
            retention,
            capacity,
            answer_bytes: 0,
            max_answer_bytes,
        }
    }

    /// Records an arriving request and returns what to do with it.
    pub fn arrive(&mut self, key: &SmolStr, mode: Mode, now: Duration) -> Arrival<A> {
        self.expire(now);
        match self.states.get(key) {
            Some(KeyState::Running) => Arrival::Join,
            Some(KeyState::Answered(answer, _)) => Arrival::Answer(answer.clone()),
            Some(KeyState::Closed) => Arrival::Closed,
            None if self.is_full() => Arrival::Full,
            None if mode == Mode::Run => {
                self.states.insert(key.clone(), KeyState::Running);
                Arrival::Run
            }
            None => {
                self.record(key, KeyState::Closed, now);
                Arrival::Closed
            }
        }
    }

    /// Records the answer of a run; `size` is its length in bytes.
    pub fn answer(&mut self, key: &SmolStr, answer: A, size: usize, now: Duration) {
        self.answer_bytes += size;
        self.record(key, KeyState::Answered(answer, size), now);
    }

    /// Records that a run was refused before the request was forwarded.
    pub fn close(&mut self, key: &SmolStr, now: Duration) {
        self.record(key, KeyState::Closed, now);
    }

    /// Returns the number of keys in progress or retained.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns whether no key is in progress or retained.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    fn is_full(&self) -> bool {
        self.states.len() >= self.capacity || self.answer_bytes >= self.max_answer_bytes
    }

    fn record(&mut self, key: &SmolStr, state: KeyState<A>, now: Duration) {
        self.states.insert(key.clone(), state);
        self.expiry.push_back((now + self.retention, key.clone()));
    }

    fn expire(&mut self, now: Duration) {
        while let Some((expires_at, _)) = self.expiry.front() {
            if *expires_at > now {
                return;
            }
            let (_, key) = self.expiry.pop_front().expect("the queue has a front");
            if let Some(KeyState::Answered(_, size)) = self.states.remove(&key) {
                self.answer_bytes -= size;
            }
        }
    }
}
