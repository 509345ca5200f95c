//! At-most-once execution for each idempotency key at its owner.
//!
//! A key is bound to one life of one owner by a claim outside this part. Only
//! the writer of the claim sends [`Mode::Run`], once; all others send
//! [`Mode::Repeat`]. An owner that gets a repeat of a key it never saw closes
//! the key, so that a run that arrives later is refused, and "not run" is true.

use smol_str::SmolStr;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Enumerates the ways in which a keyed request reaches its owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// The only request that may run the key.
    Run,
    /// Asks for the outcome of the key.
    Repeat,
}

/// Tells what an owner must do with a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Arrival<A> {
    /// Runs the request and reports its end.
    Run,
    /// Waits for the run in progress.
    Join,
    /// Answers with the remembered answer.
    Answer(A),
    /// Answers that the key was not run and never will be here.
    Closed,
    /// Answers that no further key can be remembered; nothing was recorded.
    Full,
}

#[derive(Clone, Debug)]
enum KeyState<A> {
    Running,
    Answered(A, usize),
    Closed,
}

/// Remembers the outcome of each key for a fixed time.
#[derive(Clone, Debug)]
pub struct KeyGate<A> {
    states: HashMap<SmolStr, KeyState<A>>,
    expiry: VecDeque<(Duration, SmolStr)>,
    retention: Duration,
    capacity: usize,
    /// The size of all remembered answers and its limit, in bytes.
    answer_bytes: usize,
    max_answer_bytes: usize,
}

impl<A: Clone> KeyGate<A> {
    /// Creates a gate that remembers up to `capacity` keys for `retention` after their end.
    ///
    /// New keys are refused once the remembered answers reach `max_answer_bytes`.
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

    /// Decides on an arriving request.
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

    /// Records the answer of a run, which takes `size` bytes.
    pub fn answer(&mut self, key: &SmolStr, answer: A, size: usize, now: Duration) {
        self.answer_bytes += size;
        self.record(key, KeyState::Answered(answer, size), now);
    }

    /// Records that a run was refused before the request was forwarded.
    pub fn close(&mut self, key: &SmolStr, now: Duration) {
        self.record(key, KeyState::Closed, now);
    }

    /// Returns the number of remembered keys.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Tells whether no key is remembered.
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
