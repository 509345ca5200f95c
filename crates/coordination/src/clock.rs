//! The clock as an interface.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

/// Reads a monotonic clock and a wall clock through closures.
#[derive(Clone)]
pub struct Clock {
    monotonic: Rc<dyn Fn() -> Duration>,
    wall: Rc<dyn Fn() -> Duration>,
}

impl Clock {
    /// Returns the clock of the machine.
    pub fn system() -> Self {
        let origin = Instant::now();
        Self {
            monotonic: Rc::new(move || origin.elapsed()),
            wall: Rc::new(|| {
                let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
                since.unwrap_or_default()
            }),
        }
    }

    /// Returns a clock that only moves when the returned cell is set.
    pub fn manual() -> (Self, Rc<Cell<Duration>>) {
        let time = Rc::new(Cell::new(Duration::ZERO));
        let (monotonic, wall) = (time.clone(), time.clone());
        let clock = Self {
            monotonic: Rc::new(move || monotonic.get()),
            wall: Rc::new(move || wall.get()),
        };
        (clock, time)
    }

    /// Returns the time since the clock's origin; it never goes back.
    pub fn now(&self) -> Duration {
        (self.monotonic)()
    }

    /// Returns the time since the Unix epoch; it may jump.
    pub fn wall(&self) -> Duration {
        (self.wall)()
    }

    /// Returns milliseconds since the Unix epoch.
    pub fn wall_ms(&self) -> u64 {
        self.wall().as_millis() as u64
    }
}
