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
enum State<A> {
    Running,
    Answered(A, usize),
    Closed,
}

/// Remembers the outcome of each key for a fixed time.
#[derive(Clone, Debug)]
pub struct KeyGate<A> {
    states: HashMap<SmolStr, State<A>>,
    expiry: VecDeque<(Duration, SmolStr)>,
    memory: Duration,
    capacity: usize,
    /// The size of all remembered answers and its limit, in bytes.
    bytes: usize,
    max_bytes: usize,
}

impl<A: Clone> KeyGate<A> {
    /// Creates a gate that remembers up to `capacity` keys for `memory` after their end.
    ///
    /// New keys are refused once the remembered answers reach `max_bytes`.
    pub fn new(memory: Duration, capacity: usize, max_bytes: usize) -> Self {
        Self {
            states: HashMap::new(),
            expiry: VecDeque::new(),
            memory,
            capacity,
            bytes: 0,
            max_bytes,
        }
    }

    /// Decides on an arriving request.
    pub fn arrive(&mut self, key: &SmolStr, mode: Mode, now: Duration) -> Arrival<A> {
        self.expire(now);
        match self.states.get(key) {
            Some(State::Running) => Arrival::Join,
            Some(State::Answered(answer, _)) => Arrival::Answer(answer.clone()),
            Some(State::Closed) => Arrival::Closed,
            None if self.is_full() => Arrival::Full,
            None if mode == Mode::Run => {
                self.states.insert(key.clone(), State::Running);
                Arrival::Run
            }
            None => {
                self.end(key, State::Closed, now);
                Arrival::Closed
            }
        }
    }

    /// Records the answer of a run, which takes `size` bytes.
    pub fn answer(&mut self, key: &SmolStr, answer: A, size: usize, now: Duration) {
        self.bytes += size;
        self.end(key, State::Answered(answer, size), now);
    }

    /// Records that a run was refused before the request was forwarded.
    pub fn close(&mut self, key: &SmolStr, now: Duration) {
        self.end(key, State::Closed, now);
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
        self.states.len() >= self.capacity || self.bytes >= self.max_bytes
    }

    fn end(&mut self, key: &SmolStr, state: State<A>, now: Duration) {
        self.states.insert(key.clone(), state);
        self.expiry.push_back((now + self.memory, key.clone()));
    }

    fn expire(&mut self, now: Duration) {
        while let Some((at, _)) = self.expiry.front() {
            if *at > now {
                return;
            }
            let (_, key) = self.expiry.pop_front().expect("the queue has a front");
            if let Some(State::Answered(_, size)) = self.states.remove(&key) {
                self.bytes -= size;
            }
        }
    }
}
