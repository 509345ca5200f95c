//! What the messages and calls of a peer's connection hold.

use super::server::RpcLimits;
use crate::clients::ClientConnection;
use crate::clients::SMALL_BODY_BYTES;
use compio::time::sleep;
use futures_util::AsyncRead;
use hibiscusbarrow_coordination::client_budget::Phase;
use hibiscusbarrow_coordination::client_budget::Size;
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::io::ErrorKind;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

/// The size of a word of a message, in bytes.
const WORD_BYTES: u64 = 8;
/// The largest number of segments of a message.
const MAX_SEGMENTS: u64 = 512;

/// What one connection of a peer holds: the message that is being received, and its calls.
pub(super) struct PeerShare {
    connection: Rc<ClientConnection>,
    message: Cell<u64>,
    calls: Cell<u64>,
    /// The number of calls in progress.
    open_calls: Cell<usize>,
}

/// A call in progress, which returns its share when it is dropped.
pub(super) struct OpenCall {
    share: Rc<PeerShare>,
    bytes: u64,
}

impl PeerShare {
    pub fn new(connection: Rc<ClientConnection>) -> Self {
        Self {
            connection,
            message: Cell::new(0),
            calls: Cell::new(0),
            open_calls: Cell::new(0),
        }
    }

    /// Begins a call that holds `bytes`; returns nothing if they do not fit.
    pub async fn begin_call(self: &Rc<Self>, bytes: u64) -> Option<OpenCall> {
        self.open_calls.set(self.open_calls.get() + 1);
        self.update_phase();
        let mut call = OpenCall {
            share: self.clone(),
            bytes: 0,
        };
        let held = ClientConnection::wait_for_room(|cx| {
            let total = self.message.get() + self.calls.get() + bytes;
            let held = ready!(self.connection.poll_hold(cx, total, size_of(total)));
            if held.is_ok() {
                self.calls.set(self.calls.get() + bytes);
            }
            Poll::Ready(held)
        });
        if held.await.is_err() {
            let detail = format!("cause=peer_call bytes={bytes}");
            let limiter = self.connection.limiter();
            limiter.record_refused("peer_call", self.connection.addr, &detail);
            return None;
        }
        call.bytes = bytes;
        Some(call)
    }

    /// Sets what the message being received holds.
    fn poll_message(&self, cx: &mut Context<'_>, bytes: u64) -> Poll<Result<(), ()>> {
        let total = bytes + self.calls.get();
        let held = ready!(self.connection.poll_hold(cx, total, size_of(total)));
        if held.is_ok() {
            self.message.set(bytes);
            self.update_phase();
        }
        Poll::Ready(held.map_err(|_| ()))
    }

    /// Lowers what the connection holds after a message or a call has ended.
    fn lower(&self) {
        let total = self.message.get() + self.calls.get();
        self.connection.lower(total, size_of(total));
        self.update_phase();
    }

    fn update_phase(&self) {
        let phase = match (self.open_calls.get(), self.message.get()) {
            (0, 0) => Phase::Idle,
            (0, _) => Phase::Body,
            _ => Phase::Handling,
        };
        self.connection.enter(phase);
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        let share = &self.share;
        share.open_calls.set(share.open_calls.get() - 1);
        share.calls.set(share.calls.get() - self.bytes);
        share.lower();
    }
}

fn size_of(bytes: u64) -> Size {
    if bytes <= SMALL_BODY_BYTES as u64 {
        Size::Small
    } else {
        Size::Large
    }
}

/// The part of a message that comes next on a stream.
#[derive(Clone, Copy)]
enum Part {
    /// The number of segments and the length of the first one.
    First { word: [u8; 8], len: usize },
    /// The lengths of further segments, and perhaps padding.
    Lengths {
        word: [u8; 4],
        len: usize,
        /// The segments whose length has yet to come.
        segments: u64,
        /// The bytes of the table that have yet to come.
        left: u64,
        words: u64,
    },
    /// The segments, which are held from the beginning.
    Announced { bytes: u64 },
    /// The rest of the segments.
    Segments { left: u64 },
}

const NEXT_MESSAGE: Part = Part::First {
    word: [0; 8],
    len: 0,
};

/// A reader that charges each message before it is received and fails when a message stalls.
///
/// It follows the framing of messages: a table with the number and lengths of the segments,
/// then the segments.
pub(super) struct MessageMeter<R> {
    reader: R,
    share: Rc<PeerShare>,
    limits: RpcLimits,
    part: Part,
    /// Whether a whole message was received.
    is_greeted: bool,
    /// Ends the connection when no byte arrives or no memory is left for the stall timeout.
    timer: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl<R> MessageMeter<R> {
    pub fn new(reader: R, share: Rc<PeerShare>, limits: RpcLimits) -> Self {
        Self {
            reader,
            share,
            limits,
            part: NEXT_MESSAGE,
            is_greeted: false,
            timer: None,
        }
    }

    /// Returns pending, or an error once nothing has happened for the stall timeout.
    fn poll_stall<T>(&mut self, cx: &mut Context<'_>, cause: &'static str) -> Poll<io::Result<T>> {
        let stall_timeout = self.limits.stall_timeout;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(sleep(stall_timeout)));
        ready!(timer.as_mut().poll(cx));
        self.timer = None;
        let addr = self.share.connection.addr;
        let detail = format!("cause={cause} class=peers timeout={stall_timeout:?}");
        self.limits.limiter.record_closed(cause, addr, &detail);
        Poll::Ready(Err(ErrorKind::TimedOut.into()))
    }

    fn fail<T>(&self, detail: &str) -> Poll<io::Result<T>> {
        let addr = self.share.connection.addr;
        let detail = format!("cause=peer_message {detail}");
        let limiter = &self.limits.limiter;
        limiter.record_refused("peer_message", addr, &detail);
        Poll::Ready(Err(io::Error::new(ErrorKind::InvalidData, detail)))
    }

    /// Holds the announced message; waits while there is no memory.
    fn poll_charge(&mut self, cx: &mut Context<'_>, bytes: u64) -> Poll<io::Result<()>> {
        if bytes > self.limits.max_message {
            return self.fail(&format!("bytes={bytes} max={}", self.limits.max_message));
        }
        match self.share.poll_message(cx, bytes) {
            Poll::Ready(Ok(())) => {
                self.timer = None;
                self.part = Part::Segments { left: bytes };
                Poll::Ready(Ok(()))
            }
            Poll::Pending => self.poll_stall(cx, "peer_memory"),
            Poll::Ready(Err(())) => {
                self.limits.limiter.wait_for_release(cx);
                self.poll_stall(cx, "peer_memory")
            }
        }
    }

    /// Releases a message that was received; its call holds what it needs from then on.
    fn finish_message(&mut self) {
        if !matches!(self.part, Part::Segments { left: 0 }) {
            return;
        }
        self.is_greeted = true;
        self.part = NEXT_MESSAGE;
        self.share.message.set(0);
        self.share.lower();
    }

    /// Returns how many bytes the current part still has.
    fn left(&self) -> usize {
        let left = match self.part {
            Part::First { len, .. } => (8 - len) as u64,
            Part::Lengths { left, .. } => left,
            Part::Announced { .. } => 0,
            Part::Segments { left } => left,
        };
        usize::try_from(left).unwrap_or(usize::MAX)
    }

    /// Follows the framing over received bytes, which do not exceed the current part.
    fn advance(&mut self, data: &[u8]) -> Result<(), String> {
        self.part = match self.part {
            Part::First { mut word, len } => {
                word[len..len + data.len()].copy_from_slice(data);
                let len = len + data.len();
                if len < 8 {
                    Part::First { word, len }
                } else {
                    parse_first(word)?
                }
            }
            Part::Lengths {
                mut word,
                mut len,
                mut segments,
                left,
                mut words,
            } => {
                for byte in data {
                    word[len % 4] = *byte;
                    len += 1;
                    if len.is_multiple_of(4) && segments > 0 {
                        words += u64::from(u32::from_le_bytes(word));
                        segments -= 1;
                    }
                }
                let left = left - data.len() as u64;
                match left {
                    0 => Part::Announced {
                        bytes: words * WORD_BYTES,
                    },
                    _ => Part::Lengths {
                        word,
                        len,
                        segments,
                        left,
                        words,
                    },
                }
            }
            Part::Announced { bytes } => Part::Announced { bytes },
            Part::Segments { left } => Part::Segments {
                left: left - data.len() as u64,
            },
        };
        Ok(())
    }
}

/// Parses the first word of a message: the number of segments less one, and the first length.
fn parse_first(word: [u8; 8]) -> Result<Part, String> {
    let [a, b, c, d, e, f, g, h] = word;
    let segments = u64::from(u32::from_le_bytes([a, b, c, d])) + 1;
    let words = u64::from(u32::from_le_bytes([e, f, g, h]));
    if segments > MAX_SEGMENTS {
        return Err(format!("segments={segments} max={MAX_SEGMENTS}"));
    }
    if segments == 1 {
        let bytes = words * WORD_BYTES;
        return Ok(Part::Announced { bytes });
    }
    Ok(Part::Lengths {
        word: [0; 4],
        len: 0,
        segments: segments - 1,
        left: (segments & !1) * 4,
        words,
    })
}

impl<R: AsyncRead + Unpin> AsyncRead for MessageMeter<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        if let Part::Announced { bytes } = this.part {
            ready!(this.poll_charge(cx, bytes))?;
        }
        this.finish_message();
        let limit = this.left().min(buf.len());
        match Pin::new(&mut this.reader).poll_read(cx, &mut buf[..limit]) {
            Poll::Ready(Ok(count)) => {
                this.timer = None;
                if let Err(detail) = this.advance(&buf[..count]) {
                    return this.fail(&detail);
                }
                this.finish_message();
                Poll::Ready(Ok(count))
            }
            Poll::Ready(Err(e)) => Poll::Ready(Err(e)),
            Poll::Pending => {
                let is_between = matches!(this.part, Part::First { len: 0, .. });
                if is_between && this.is_greeted {
                    return Poll::Pending;
                }
                this.poll_stall(cx, "stalled_message")
            }
        }
    }
}
