//! Fencing tokens for the orders to one worker.
//!
//! A worker refuses a token below the highest one that it has seen, and a new incarnation has seen
//! none. The lower bits of a token are a generation that grows with each incarnation. Once an
//! incarnation has seen its own token, it refuses the calls that were meant for a former one.

use crate::worker::Boot;

/// The number of bits of a token that hold the generation.
const GENERATION_BITS: u32 = 16;
/// The highest generation within an epoch.
const MAX_GENERATION: u64 = (1 << GENERATION_BITS) - 1;
/// The most incarnations whose generations are remembered; the oldest are forgotten first.
const CAPACITY: usize = 64;

/// The fencing tokens of the incarnations of one worker, remembered by its sidecar.
#[derive(Clone, Debug, Default)]
pub struct FencingTokens {
    /// The highest epoch of a placer so far.
    epoch: u64,
    /// The generation of each known incarnation, the highest last.
    generations: Vec<(Boot, u64)>,
}

impl FencingTokens {
    /// Returns the token for an order of a placer to an incarnation. The first token of an
    /// incarnation is above those of all incarnations known before.
    pub fn token(&mut self, epoch: u64, boot: &Boot) -> u64 {
        if epoch > self.epoch {
            self.begin_epoch(epoch);
        }
        let known = self.generations.iter().find(|(b, _)| b == boot);
        let generation = match known {
            Some((_, generation)) => *generation,
            None => self.add(boot, 1),
        };
        epoch << GENERATION_BITS | generation
    }

    /// Raises the token of an incarnation that has refused it, by `step` generations above those of
    /// all incarnations; returns whether there is a higher token for the epoch.
    ///
    /// The sidecar does not know the tokens that the worker has seen before the sidecar started.
    pub fn raise(&mut self, boot: &Boot, step: u64) -> bool {
        let is_exhausted = self.newest() == MAX_GENERATION;
        self.generations.retain(|(b, _)| b != boot);
        self.add(boot, step);
        !is_exhausted
    }

    /// Makes room for further generations: every token of a new epoch is above those before.
    fn begin_epoch(&mut self, epoch: u64) {
        self.epoch = epoch;
        for (rank, (_, generation)) in self.generations.iter_mut().enumerate() {
            *generation = rank as u64;
        }
    }

    fn newest(&self) -> u64 {
        self.generations.last().map_or(0, |(_, g)| *g)
    }

    fn add(&mut self, boot: &Boot, step: u64) -> u64 {
        let generation = self.newest().saturating_add(step).min(MAX_GENERATION);
        if self.generations.len() == CAPACITY {
            self.generations.remove(0);
        }
        self.generations.push((boot.clone(), generation));
        generation
    }
}
