//! The order in which processes take over a duty that one of them performs at a time.
//!
//! Each process derives the order from the entries that all of them register, so they agree
//! without further messages once they know the same entries. The order only decides who tries
//! first and who keeps the state that the duty needs; a lease decides who performs it. A process
//! that is missing or unknown therefore delays a takeover and does not prevent it.

use smol_str::SmolStr;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

/// The number of processes, from the front of the order, that keep the state of the duty.
pub const STANDBYS: usize = 3;

/// The delay of each standby after the one before it.
const STANDBY_DELAY: Duration = Duration::from_millis(60);
/// The additional delay of all processes that must first read the state.
const COLD_DELAY: Duration = Duration::from_millis(400);
/// The delay of each of these processes after the one before it.
const COLD_STEP: Duration = Duration::from_millis(40);
/// The longest delay, so that a takeover ends soon although few processes are left.
const MAX_DELAY: Duration = Duration::from_millis(2_500);

/// A process that can take over the duty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The unique name of the process.
    pub name: SmolStr,
    /// The failure domain.
    pub domain: SmolStr,
    /// The processor capacity, in thousandths of a core.
    pub capacity: u64,
}

/// Returns the names of the candidates in the order of succession.
///
/// Candidates with more capacity come first. Among those of the same capacity the failure
/// domains take turns, so that the loss of one domain leaves standbys in others.
pub fn order(candidates: impl IntoIterator<Item = Candidate>) -> Vec<SmolStr> {
    let mut sorted: Vec<Candidate> = candidates.into_iter().collect();
    sorted.sort_by(|a, b| a.name.cmp(&b.name));
    let mut turns: HashMap<(u64, SmolStr), usize> = HashMap::new();
    let mut ranked = Vec::new();
    for candidate in sorted {
        let turn = turns
            .entry((candidate.capacity, candidate.domain.clone()))
            .or_default();
        ranked.push((*turn, candidate));
        *turn += 1;
    }
    ranked.sort_by_key(|(turn, c)| (Reverse(c.capacity), *turn, c.domain.clone()));
    ranked.into_iter().map(|(_, c)| c.name).collect()
}

/// Returns how long a process waits before it takes over a duty that has become free.
pub fn takeover_delay(rank: usize) -> Duration {
    if rank < STANDBYS {
        return STANDBY_DELAY * rank as u32;
    }
    let step = COLD_STEP * (rank - STANDBYS).min(1_000) as u32;
    (COLD_DELAY + step).min(MAX_DELAY)
}
