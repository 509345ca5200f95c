//! Fencing of commands by epoch.

/// Tracks the highest epoch that a receiver has seen, so that it can refuse commands of a
/// lower one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Fence {
    highest: u64,
}

impl Fence {
    /// Returns whether a command of this epoch is accepted, which it is unless a higher epoch
    /// was seen.
    pub fn admit(&mut self, epoch: u64) -> bool {
        if epoch < self.highest {
            return false;
        }
        self.highest = epoch;
        true
    }

    /// Returns the highest epoch seen.
    pub fn highest(&self) -> u64 {
        self.highest
    }
}
