//! Fencing by epochs.

/// Refuses orders under an epoch lower than one already seen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Fence {
    highest: u64,
}

impl Fence {
    /// Admits an epoch unless a higher one was seen.
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
