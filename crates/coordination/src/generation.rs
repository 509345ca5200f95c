//! Monotone generations of a value that every process must reach.

/// Holds the newest generation that a process has, and the newest it heard of.
#[derive(Clone, Debug)]
pub struct Generation<T> {
    current: u64,
    value: Option<T>,
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
    /// Returns the number of the generation in force; 0 before the first.
    pub fn current(&self) -> u64 {
        self.current
    }

    /// Returns the value in force.
    pub fn value(&self) -> Option<&T> {
        self.value.as_ref()
    }

    /// Takes a value into force if its generation is higher.
    ///
    /// Returns whether it was taken.
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
    /// Returns whether it is newer than the one in force, so that it should be pulled.
    pub fn hear(&mut self, generation: u64) -> bool {
        self.newest_known = self.newest_known.max(generation);
        self.is_behind()
    }

    /// Tells whether a newer generation is known to exist.
    pub fn is_behind(&self) -> bool {
        self.newest_known > self.current
    }
}
