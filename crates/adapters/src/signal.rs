//! A flag that wakes every task that waits for it.

use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::Shared;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// The signal that asks a process to stop as planned.
pub const SIGTERM: i32 = 15;
/// The signal that asks a process to read its settings again.
pub const SIGHUP: i32 = 1;
/// The signal of an interrupt from the keyboard.
pub const SIGINT: i32 = 2;

/// Can be raised once and waited for by many.
#[derive(Clone)]
pub struct Flag {
    sender: Rc<RefCell<Option<oneshot::Sender<()>>>>,
    receiver: Shared<oneshot::Receiver<()>>,
}

impl Default for Flag {
    fn default() -> Self {
        let (sender, receiver) = oneshot::channel();
        Self {
            sender: Rc::new(RefCell::new(Some(sender))),
            receiver: receiver.shared(),
        }
    }
}

impl Flag {
    /// Raises the flag.
    pub fn raise(&self) {
        if let Some(sender) = self.sender.borrow_mut().take() {
            let _ = sender.send(());
        }
    }

    /// Tells whether the flag was raised.
    pub fn is_raised(&self) -> bool {
        self.sender.borrow().is_none()
    }

    /// Waits until the flag is raised.
    pub async fn wait(&self) {
        let _ = self.receiver.clone().await;
    }
}

/// Returns a closure that tells whether the process was asked to read its settings again.
///
/// The handler stays registered until the process ends.
pub fn reload_requests() -> impl Fn() -> bool {
    let raised = Arc::new(AtomicBool::new(false));
    if let Err(e) = signal_hook::flag::register(SIGHUP, raised.clone()) {
        eprintln!("hibiscusbarrow: cannot handle signal {SIGHUP}: {e}");
    }
    move || raised.swap(false, Ordering::Relaxed)
}

/// Waits until the process is asked to stop.
pub async fn termination() {
    let term = Box::pin(compio::signal::unix::signal(SIGTERM));
    let int = Box::pin(compio::signal::unix::signal(SIGINT));
    futures_util::future::select(term, int).await;
}
