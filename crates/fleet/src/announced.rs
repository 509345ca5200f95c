//! What a sidecar knows of its worker from the worker's messages.

use crate::worker::Announcement;
use crate::worker::Boot;
use smol_str::SmolStr;

/// The incarnation of a worker that its sidecar passes orders to.
///
/// A heartbeat may be late, or come from a process that is not the worker beside the
/// sidecar. Another incarnation therefore takes the place of the current one only once the
/// worker has answered under its identifier.
#[derive(Clone, Debug, Default)]
pub struct AnnouncedWorker {
    /// The newest heartbeat of the current incarnation; none after it has left.
    current: Option<Announcement>,
    /// The last incarnation that has left.
    departed: Option<Boot>,
}

/// What a sidecar makes of a heartbeat.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is the newest of the current incarnation.
    Accepted,
    /// The current incarnation has sent a newer one.
    Outdated,
    /// It is from an incarnation that has yet to answer under its identifier.
    Unconfirmed,
}

impl AnnouncedWorker {
    /// Returns the newest heartbeat of the current incarnation; none before the first one and
    /// after it has left.
    pub fn current(&self) -> Option<&Announcement> {
        self.current.as_ref()
    }

    /// Returns whether the current incarnation has announced its end.
    pub fn is_leaving(&self) -> bool {
        self.current.as_ref().is_some_and(|a| a.leaving)
    }

    /// Returns the last incarnation that has left.
    pub fn departed(&self) -> Option<&Boot> {
        self.departed.as_ref()
    }

    /// Handles a heartbeat. The first one is accepted without confirmation.
    pub fn hear(&mut self, heartbeat: &Announcement) -> Verdict {
        match &self.current {
            Some(known) if known.boot != heartbeat.boot => return Verdict::Unconfirmed,
            Some(known) if heartbeat.sequence <= known.sequence => return Verdict::Outdated,
            None if self.departed.is_some() => return Verdict::Unconfirmed,
            _ => {}
        }
        self.confirm(heartbeat.clone());
        Verdict::Accepted
    }

    /// Makes the incarnation of a heartbeat the current one, as the worker has answered under
    /// its identifier.
    pub fn confirm(&mut self, heartbeat: Announcement) {
        self.current = Some(heartbeat);
        self.departed = None;
    }

    /// Handles the notice that the incarnation with this identifier ends; returns whether it is
    /// the current one, which then counts as leaving until its next heartbeat.
    ///
    /// The notice may be a late one of a former incarnation with the same identifier, so that
    /// it does not show yet that the current one is gone.
    pub fn announce_end(&mut self, id: &str) -> bool {
        let current = self.current.as_mut().filter(|a| a.boot.id == id);
        let Some(current) = current else {
            return false;
        };
        current.leaving = true;
        true
    }

    /// Records that the current incarnation has left; returns its identifier.
    pub fn end(&mut self) -> Option<SmolStr> {
        let ended = self.current.take()?;
        let id = ended.boot.id.clone();
        self.departed = Some(ended.boot);
        Some(id)
    }
}
