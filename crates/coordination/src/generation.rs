//! A value that all processes converge to, with a generation that never decreases.

/// A value with its generation, and the newest generation known to exist.
#[derive(Clone, Debug)]
pub struct Generation<T> {
    current: u64,
    value: Option<T>,
    /// The highest generation that this process or a peer has.
    newest_known: u64,
}

impl<T> Default for Generation<T> {
    fn default() -> Self {
        Self {
            current: 0,
            value: None,
            newest_known: 0,
        }
    }
}

impl<T> Generation<T> {
    /// Returns the generation of the current value; 0 before the first value.
    pub fn current(&self) -> u64 {
        self.current
    }

    /// Returns the current value, if any was accepted.
    pub fn value(&self) -> Option<&T> {
        self.value.as_ref()
    }

    /// Replaces the value if `generation` is higher than the current one.
    ///
    /// Returns whether the value was replaced.
    pub fn offer(&mut self, generation: u64, value: T) -> bool {
        if generation <= self.current {
            return false;
        }
        self.current = generation;
        self.value = Some(value);
        self.newest_known = self.newest_known.max(generation);
        true
    }

    /// Records that a peer has a generation.
    ///
    /// Returns whether the process is behind and should fetch the newer value.
    pub fn observe(&mut self, generation: u64) -> bool {
        self.newest_known = self.newest_known.max(generation);
        self.is_behind()
    }

    /// Returns whether a newer generation is known to exist.
    pub fn is_behind(&self) -> bool {
        self.newest_known > self.current
    }
}
