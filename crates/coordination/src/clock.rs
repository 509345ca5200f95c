//! A clock that tests and simulations can replace.

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;

/// Returns the time since the machine started, including time in which it was suspended.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// A monotonic clock and a wall clock, read through closures.
#[derive(Clone)]
pub struct Clock {
    monotonic: Rc<dyn Fn() -> Duration>,
    wall: Rc<dyn Fn() -> Duration>,
}

impl Clock {
    /// Returns the clock of the machine; its origin is the time of this call.
    pub fn system() -> Self {
        let origin = boot_time();
        Self {
            monotonic: Rc::new(move || boot_time().saturating_sub(origin)),
            wall: Rc::new(|| {
                let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
                since_epoch.unwrap_or_default()
            }),
        }
    }

    /// Returns a clock that shows the time in the returned cell.
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

    /// Returns the time since the Unix epoch; it may jump in either direction.
    pub fn wall(&self) -> Duration {
        (self.wall)()
    }

    /// Returns the milliseconds since the Unix epoch; they may jump in either direction.
    pub fn wall_ms(&self) -> u64 {
        self.wall().as_millis() as u64
    }
}
