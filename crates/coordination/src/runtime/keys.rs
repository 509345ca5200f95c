//! The keys under which run times are learned.

use super::Kind;
use super::Shape;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// How wide a key is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub(super) enum Level {
    /// Queue, account, shape and step.
    Step,
    /// Queue, account and shape.
    Shape,
    /// Queue and shape, over all accounts.
    AllAccounts,
    /// Queue, over all accounts.
    Queue,
}

impl Level {
    /// The levels from narrow to wide.
    pub(super) const ALL: [Level; 4] =
        [Level::Step, Level::Shape, Level::AllAccounts, Level::Queue];

    /// Returns whether the level is over all accounts.
    pub(super) fn is_wide(self) -> bool {
        matches!(self, Level::AllAccounts | Level::Queue)
    }
}

/// A key; the fields of the kind that its level leaves out are empty.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub(super) struct Key {
    pub(super) level: Level,
    /// Whether the tasks declare a run time.
    pub(super) declared: bool,
    pub(super) kind: Kind,
}

impl Key {
    pub(super) fn new(level: Level, kind: &Kind, declared: bool) -> Self {
        let account = if level.is_wide() {
            SmolStr::default()
        } else {
            kind.account.clone()
        };
        let shape = if level == Level::Queue {
            Shape::default()
        } else {
            kind.shape
        };
        let step = if level == Level::Step { kind.step } else { 0 };
        Self {
            level,
            declared,
            kind: Kind {
                queue: kind.queue.clone(),
                account,
                shape,
                step,
            },
        }
    }
}
