//! What the messages and calls of a peer's connection hold.

use super::server::RpcLimits;
use crate::clients::BUFFER_BYTES;
use crate::clients::ClientConnection;
use crate::clients::SMALL_BODY_BYTES;
use crate::node_capnp::node;
use crate::signal::Flag;
use capnp::message::Builder;
use capnp::message::Reader;
use capnp::message::ReaderOptions;
use capnp::message::SegmentArray;
use capnp_rpc::rpc_capnp::message;
use compio::time::sleep;
use futures_util::AsyncRead;
use hibiscusbarrow_coordination::client_budget::Phase;
use hibiscusbarrow_coordination::client_budget::Size;
use std::cell::Cell;
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::io::ErrorKind;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

/// The size of a word of a message, in bytes.
const WORD_BYTES: u64 = 8;
/// The largest number of segments of a message.
const MAX_SEGMENTS: u64 = 512;
/// The longest wait for memory for a message, while the messages behind it on its connection
/// wait too. Relayed store calls end after 800 ms; their callers have to learn before that
/// whether the call has run.
const MEMORY_WAIT: Duration = Duration::from_millis(300);
/// After a wait that ended without memory, the next messages on the connection are refused without a wait for this
/// time, so that many large calls cannot hold up small ones for a multiple of it.
const NO_WAIT_PERIOD: Duration = Duration::from_secs(2);
/// The bytes of a message that are kept when its call is refused. The call's identifier and
/// target are within the first hundred.
const MAX_CALL_HEAD: u64 = 8 << 10;
/// The size of the steps in which the bytes of a refused call are discarded.
const DISCARD_STEP: usize = 1 << 10;

/// What one connection of a peer holds: the message that is being received, and its calls.
pub(super) struct PeerShare {
    connection: Rc<ClientConnection>,
    message: Cell<u64>,
    calls: Cell<u64>,
    /// The number of calls in progress.
    open_calls: Cell<usize>,
    /// Whether a whole message was received, after which the peer may send calls.
    is_greeted: Cell<bool>,
    /// Raised to ask the peer to close the connection, as another peer needs the room.
    pub leaving: Flag,
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
            is_greeted: Cell::new(false),
            leaving: Flag::default(),
        }
    }

    /// Returns whether the peer can be asked to close the connection, as it has no call.
    pub fn is_idle(&self) -> bool {
        self.is_greeted.get() && self.open_calls.get() == 0 && !self.leaving.is_raised()
    }

    /// Returns when the last byte was received.
    pub fn last_read(&self) -> Duration {
        self.connection.last_read()
    }

    fn greet(&self) {
        self.is_greeted.set(true);
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
    ///
    /// A message as small as the stream's buffer is part of the connection's fixed cost, so that
    /// small calls and the ends of calls are received also when no memory is left.
    fn poll_message(&self, cx: &mut Context<'_>, bytes: u64) -> Poll<Result<(), ()>> {
        let bytes = if bytes <= BUFFER_BYTES as u64 {
            0
        } else {
            bytes
        };
        if bytes == 0 {
            return Poll::Ready(Ok(()));
        }
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
        let phase = match (self.open_calls.get(), self.is_greeted.get()) {
            (0, false) => Phase::Body,
            (0, true) => Phase::Persistent,
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
    /// The rest of the segments of a call that is refused.
    Refused { left: u64 },
}

const NEXT_MESSAGE: Part = Part::First {
    word: [0; 8],
    len: 0,
};

/// A reader that charges each message before it is received and fails when a message stalls.
///
/// It follows the framing of messages: a table with the number and lengths of the segments,
/// then the segments. A call whose message does not fit is discarded and replaced by one without
/// a request, which the server answers as overloaded.
pub(super) struct MessageMeter<R> {
    reader: R,
    share: Rc<PeerShare>,
    limits: RpcLimits,
    part: Part,
    /// The table of the message being received, which is passed on once the message is charged.
    table: Vec<u8>,
    /// Bytes that are passed on before further ones are received.
    pending: VecDeque<u8>,
    /// The first bytes of a call that is refused.
    call_head: Vec<u8>,
    /// Until when messages that do not fit are refused without a wait.
    no_wait_until: Duration,
    /// Ends the connection when no byte arrives for the stall timeout, or a wait for memory.
    timer: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl<R> MessageMeter<R> {
    pub fn new(reader: R, share: Rc<PeerShare>, limits: RpcLimits) -> Self {
        Self {
            reader,
            share,
            limits,
            part: NEXT_MESSAGE,
            table: Vec::new(),
            pending: VecDeque::new(),
            call_head: Vec::new(),
            no_wait_until: Duration::ZERO,
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

    /// Holds the announced message; waits a bounded time for memory and refuses it after that.
    fn poll_charge(&mut self, cx: &mut Context<'_>, bytes: u64) -> Poll<io::Result<()>> {
        if bytes > self.limits.max_message {
            return self.fail(&format!("bytes={bytes} max={}", self.limits.max_message));
        }
        match self.share.poll_message(cx, bytes) {
            Poll::Ready(Ok(())) => {
                self.timer = None;
                self.pending.extend(self.table.drain(..));
                self.part = Part::Segments { left: bytes };
                return Poll::Ready(Ok(()));
            }
            Poll::Ready(Err(())) => self.limits.limiter.wait_for_release(cx),
            Poll::Pending => {}
        }
        let now = self.share.connection.now();
        if now >= self.no_wait_until {
            let timer = self
                .timer
                .get_or_insert_with(|| Box::pin(sleep(MEMORY_WAIT)));
            ready!(timer.as_mut().poll(cx));
            self.no_wait_until = self.share.connection.now() + NO_WAIT_PERIOD;
        }
        self.timer = None;
        let detail = format!("cause=peer_call bytes={bytes}");
        let addr = self.share.connection.addr;
        self.limits
            .limiter
            .record_refused("peer_call", addr, &detail);
        self.part = Part::Refused { left: bytes };
        Poll::Ready(Ok(()))
    }

    /// Passes on the replacement of a call that was refused and discarded.
    fn replace_call(&mut self) -> Result<(), String> {
        let table = std::mem::take(&mut self.table);
        let head = std::mem::take(&mut self.call_head);
        let first_words = u32::from_le_bytes([table[4], table[5], table[6], table[7]]);
        let first_bytes = usize::try_from(u64::from(first_words) * WORD_BYTES).unwrap_or(0);
        let head = &head[..head.len().min(first_bytes)];
        let call = call_without_request(head).map_err(|e| format!("detail={e}"))?;
        self.pending.extend(call);
        self.share.greet();
        self.share.update_phase();
        self.part = NEXT_MESSAGE;
        Ok(())
    }

    /// Releases a message that was received; its call holds what it needs from then on.
    fn finish_message(&mut self) {
        if !matches!(self.part, Part::Segments { left: 0 }) {
            return;
        }
        self.share.greet();
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
            Part::Segments { left } | Part::Refused { left } => left,
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
            Part::Refused { left } => Part::Refused {
                left: left - data.len() as u64,
            },
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

/// Returns a message with the call that begins with `head`, without its request.
///
/// Fails if the bytes do not contain the identifier and the target of a call.
fn call_without_request(head: &[u8]) -> capnp::Result<Vec<u8>> {
    let words = head.len() - head.len() % WORD_BYTES as usize;
    let segments = [&head[..words]];
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_CALL_HEAD as usize));
    let reader = Reader::new(SegmentArray::new(&segments), options);
    let message::Call(call) = reader.get_root::<message::Reader<'_>>()?.which()? else {
        return Err(capnp::Error::failed("the message is not a call".into()));
    };
    let call = call?;
    let mut replacement = Builder::new_default();
    let mut out = replacement.init_root::<message::Builder<'_>>().init_call();
    out.set_question_id(call.get_question_id());
    out.set_target(call.get_target()?)?;
    out.set_interface_id(call.get_interface_id());
    out.set_method_id(call.get_method_id());
    let params = out.init_params().init_content();
    params.init_as::<node::forward_params::Builder<'_>>();
    Ok(capnp::serialize::write_message_to_words(&replacement))
}

impl<R: AsyncRead + Unpin> MessageMeter<R> {
    /// Polls for bytes of the current part, and follows the framing over them.
    fn poll_part(&mut self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let limit = self.left().min(buf.len());
        match Pin::new(&mut self.reader).poll_read(cx, &mut buf[..limit]) {
            Poll::Ready(Ok(count)) => {
                self.timer = None;
                if let Err(detail) = self.advance(&buf[..count]) {
                    return self.fail(&detail);
                }
                Poll::Ready(Ok(count))
            }
            Poll::Ready(Err(e)) => Poll::Ready(Err(e)),
            Poll::Pending => {
                let is_between = matches!(self.part, Part::First { len: 0, .. });
                if is_between && self.share.is_greeted.get() {
                    return Poll::Pending;
                }
                self.poll_stall(cx, "stalled_message")
            }
        }
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for MessageMeter<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let mut step = [0; DISCARD_STEP];
        loop {
            if !this.pending.is_empty() {
                return Poll::Ready(io::Read::read(&mut this.pending, buf));
            }
            this.finish_message();
            match this.part {
                Part::Announced { bytes } => ready!(this.poll_charge(cx, bytes))?,
                Part::Segments { .. } => {
                    let count = ready!(this.poll_part(cx, buf))?;
                    this.finish_message();
                    return Poll::Ready(Ok(count));
                }
                Part::Refused { left: 0 } => {
                    if let Err(detail) = this.replace_call() {
                        return this.fail(&detail);
                    }
                }
                Part::First { .. } | Part::Lengths { .. } => {
                    let count = ready!(this.poll_part(cx, &mut step))?;
                    if count == 0 {
                        return Poll::Ready(Ok(0));
                    }
                    this.table.extend_from_slice(&step[..count]);
                }
                Part::Refused { .. } => {
                    let count = ready!(this.poll_part(cx, &mut step))?;
                    if count == 0 {
                        return Poll::Ready(Ok(0));
                    }
                    let room = (MAX_CALL_HEAD as usize).saturating_sub(this.call_head.len());
                    this.call_head.extend_from_slice(&step[..count.min(room)]);
                }
            }
        }
    }
}
