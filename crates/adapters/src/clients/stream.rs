//! A stream with small buffers that records the progress of a client's connection.

use super::ClientConnection;
use compio::io::compat::AsyncStream;
use compio::net::TcpStream;
use compio::time::sleep;
use futures_util::AsyncBufRead;
use futures_util::AsyncRead;
use futures_util::AsyncWrite;
use hibiscusbarrow_coordination::client_budget::Phase;
use hibiscusbarrow_coordination::client_budget::Size;
use std::future::Future;
use std::io;
use std::io::ErrorKind;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

/// The size of a stream's buffer for reading and of that for writing.
pub(crate) const BUFFER_BYTES: usize = 8 << 10;
/// The largest size of each of these buffers. Without a limit, the stream would copy an answer
/// of any size into its buffer at once.
pub(crate) const MAX_BUFFER_BYTES: usize = 16 << 10;
/// A reader that takes fewer bytes than this within the stall timeout counts as stalled, so that
/// it cannot keep an answer by reading single bytes.
const MIN_WRITTEN_BYTES: usize = 4 << 10;

/// A TCP stream with bounded buffers, for HTTP and RPC.
///
/// With a connection, it records each byte received or sent, charges the heads of requests, and
/// fails when a client takes no answer for the stall timeout.
pub struct LimitedStream {
    io: Pin<Box<AsyncStream<TcpStream>>>,
    connection: Option<Rc<ClientConnection>>,
    stall_timeout: Duration,
    /// Ends the connection while the client does not read.
    write_timer: Option<Pin<Box<dyn Future<Output = ()>>>>,
    /// The bytes written since the timer was set.
    written: usize,
}

impl LimitedStream {
    /// Creates a stream to a server, which is limited by the timeouts of its calls.
    pub fn outgoing(stream: TcpStream) -> Self {
        Self {
            io: Box::pin(AsyncStream::with_limits(
                BUFFER_BYTES,
                MAX_BUFFER_BYTES,
                stream,
            )),
            connection: None,
            stall_timeout: Duration::MAX,
            write_timer: None,
            written: 0,
        }
    }

    /// Creates the stream of a client's connection.
    pub fn incoming(
        stream: TcpStream,
        connection: Rc<ClientConnection>,
        stall_timeout: Duration,
    ) -> Self {
        Self {
            connection: Some(connection),
            stall_timeout,
            ..Self::outgoing(stream)
        }
    }

    /// Polls for received bytes of at most `limit`, and passes them to `take`.
    fn poll_take(
        &mut self,
        cx: &mut Context<'_>,
        limit: usize,
        take: impl FnOnce(&[u8]),
    ) -> Poll<io::Result<usize>> {
        let data = ready!(self.io.as_mut().poll_fill_buf(cx))?;
        let data = &data[..data.len().min(limit)];
        if let Some(connection) = &self.connection
            && !data.is_empty()
        {
            ready!(poll_charge_head(connection, cx, data.len()))?;
            connection.record_read(data.len());
        }
        let count = data.len();
        take(data);
        self.io.as_mut().consume(count);
        Poll::Ready(Ok(count))
    }

    /// Returns the result of a write; fails once the client has not read for the stall timeout.
    fn watch_write<T>(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<T>>,
        written: impl FnOnce(&T) -> usize,
    ) -> Poll<io::Result<T>> {
        let Some(connection) = &self.connection else {
            return result;
        };
        match result {
            Poll::Ready(result) => {
                let count = result.as_ref().map_or(0, written);
                if count > 0 {
                    connection.record_progress();
                }
                self.written += count;
                if self.written >= MIN_WRITTEN_BYTES {
                    (self.write_timer, self.written) = (None, 0);
                }
                Poll::Ready(result)
            }
            Poll::Pending => {
                let stall_timeout = self.stall_timeout;
                let timer = self
                    .write_timer
                    .get_or_insert_with(|| Box::pin(sleep(stall_timeout)));
                ready!(timer.as_mut().poll(cx));
                self.write_timer = None;
                let detail = format!("cause=unread_reply timeout={stall_timeout:?}");
                let limiter = connection.limiter();
                limiter.record_closed("unread_reply", connection.addr, &detail);
                let message = "the client does not read";
                Poll::Ready(Err(io::Error::new(ErrorKind::TimedOut, message)))
            }
        }
    }
}

/// Charges the bytes of a head that exceed the parser's first buffer.
fn poll_charge_head(
    connection: &ClientConnection,
    cx: &mut Context<'_>,
    count: usize,
) -> Poll<io::Result<()>> {
    let former = connection.head_bytes.get();
    let head_bytes = former + count as u64;
    if connection.phase.get() != Phase::Head || head_bytes <= BUFFER_BYTES as u64 {
        return Poll::Ready(Ok(()));
    }
    connection.head_bytes.set(head_bytes);
    let held = connection.poll_hold(cx, 0, Size::Small);
    connection.head_bytes.set(former);
    ready!(held).map_err(|e| {
        let limiter = connection.limiter();
        limiter.record_closed("head_memory", connection.addr, "cause=head_memory");
        io::Error::new(ErrorKind::OutOfMemory, e)
    })?;
    Poll::Ready(Ok(()))
}

impl hyper::rt::Read for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: hyper::rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let limit = buf.remaining();
        let read = self.poll_take(cx, limit, |data| buf.put_slice(data));
        read.map_ok(|_| ())
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let limit = buf.len();
        self.poll_take(cx, limit, |data| buf[..data.len()].copy_from_slice(data))
    }
}

impl hyper::rt::Write for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = self.io.as_mut().poll_write(cx, buf);
        self.watch_write(cx, result, |count| *count)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = self.io.as_mut().poll_flush(cx);
        self.watch_write(cx, result, |()| MIN_WRITTEN_BYTES)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = self.io.as_mut().poll_close(cx);
        self.watch_write(cx, result, |()| MIN_WRITTEN_BYTES)
    }

    fn is_write_vectored(&self) -> bool {
        // The parser then keeps an answer as it is, instead of copying it into its own buffer.
        true
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        hyper::rt::Write::poll_write(self, cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        hyper::rt::Write::poll_flush(self, cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        hyper::rt::Write::poll_shutdown(self, cx)
    }
}
