//! A one-shot flag for asynchronous tasks, and the signals that a process handles.

use compio::io::AsyncRead;
use compio::net::UnixStream;
use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::Shared;
use signal_hook::SigId;
use std::cell::RefCell;
use std::io;
use std::os::unix::net;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// The signal that requests a graceful shutdown.
pub const SIGTERM: i32 = 15;
/// The signal that requests a reload of the settings.
pub const SIGHUP: i32 = 1;
/// The signal of a keyboard interrupt, which also requests a graceful shutdown.
pub const SIGINT: i32 = 2;

/// A one-shot flag that wakes all waiting tasks when it is raised; clones share one state.
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
    /// Raises the flag and wakes all tasks that wait for it; has no effect if already raised.
    pub fn raise(&self) {
        if let Some(sender) = self.sender.borrow_mut().take() {
            let _ = sender.send(());
        }
    }

    /// Returns whether the flag is raised.
    pub fn is_raised(&self) -> bool {
        self.sender.borrow().is_none()
    }

    /// Waits until the flag is raised; returns at once if it already is.
    pub async fn wait(&self) {
        let _ = self.receiver.clone().await;
    }
}

/// Registers a handler for [`SIGHUP`] and returns a closure that polls it.
///
/// The closure returns whether the signal arrived since its last call. The handler stays
/// registered until the process exits.
pub fn reload_requests() -> impl Fn() -> bool {
    let raised = Arc::new(AtomicBool::new(false));
    if let Err(e) = signal_hook::flag::register(SIGHUP, raised.clone()) {
        eprintln!("hibiscusbarrow: cannot handle signal {SIGHUP}: {e}");
    }
    move || raised.swap(false, Ordering::Relaxed)
}

/// Waits until the process receives [`SIGTERM`] or [`SIGINT`].
///
/// The signal handler only writes a byte to a socket. A handler that wakes a task asks for the
/// current thread, and the process is aborted if the signal interrupts a thread that is starting.
pub async fn termination() {
    match TerminationPipe::open() {
        Ok(pipe) => pipe.wait().await,
        Err(e) => {
            eprintln!("hibiscusbarrow: cannot handle termination signals: {e}");
            std::future::pending().await
        }
    }
}

/// A socket to which the handlers of termination signals write.
struct TerminationPipe {
    reader: UnixStream,
    handlers: Vec<SigId>,
}

impl TerminationPipe {
    fn open() -> io::Result<Self> {
        let (reader, writer) = net::UnixStream::pair()?;
        let mut pipe = Self {
            reader: UnixStream::from_std(reader)?,
            handlers: Vec::new(),
        };
        for signal in [SIGTERM, SIGINT] {
            let handler = signal_hook::low_level::pipe::register(signal, writer.try_clone()?)?;
            pipe.handlers.push(handler);
        }
        Ok(pipe)
    }

    async fn wait(mut self) {
        let _ = self.reader.read(Vec::with_capacity(1)).await;
    }
}

impl Drop for TerminationPipe {
    fn drop(&mut self) {
        for handler in &self.handlers {
            signal_hook::low_level::unregister(*handler);
        }
    }
}
