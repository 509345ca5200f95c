//! Gossip datagrams: a keyed `blake3` tag followed by a `postcard` body.

use compio::BufResult;
use compio::net::UdpSocket;
use hibiscusbarrow_coordination::membership::Message;
use std::io;
use std::net::SocketAddr;

/// The largest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// The length of the authentication tag, in bytes.
const TAG_BYTES: usize = 16;

/// Encodes and authenticates messages with a key that all processes share.
#[derive(Clone)]
pub struct DatagramCodec {
    key: [u8; 32],
}

impl DatagramCodec {
    /// Creates a codec with a key derived from the secret in the settings.
    pub fn new(secret: &str) -> Self {
        Self {
            key: blake3::derive_key("hibiscusbarrow gossip v1", secret.as_bytes()),
        }
    }

    /// Encodes a message, dropping membership updates from its end until it fits.
    pub fn encode(&self, mut message: Message) -> Vec<u8> {
        loop {
            let body = postcard::to_allocvec(&message).expect("messages always encode");
            if body.len() + TAG_BYTES <= MAX_DATAGRAM_BYTES || message.updates.len() <= 1 {
                let mut datagram = self.tag(&body).to_vec();
                datagram.extend_from_slice(&body);
                return datagram;
            }
            message.updates.pop();
        }
    }

    /// Decodes a datagram; returns `None` if it is malformed or its tag does not match.
    pub fn decode(&self, datagram: &[u8]) -> Option<Message> {
        let (tag, body) = datagram.split_at_checked(TAG_BYTES)?;
        let tag: [u8; TAG_BYTES] = tag.try_into().ok()?;
        let expected = blake3::keyed_hash(&self.key, body);
        let mut received = *expected.as_bytes();
        received[..TAG_BYTES].copy_from_slice(&tag);
        if blake3::Hash::from_bytes(received) != expected {
            return None;
        }
        let (message, rest) = postcard::take_from_bytes(body).ok()?;
        rest.is_empty().then_some(message)
    }

    fn tag(&self, body: &[u8]) -> [u8; TAG_BYTES] {
        let hash = blake3::keyed_hash(&self.key, body);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
        tag
    }
}

/// The UDP socket through which a process sends and receives gossip messages.
pub struct GossipSocket {
    socket: UdpSocket,
    codec: DatagramCodec,
}

impl GossipSocket {
    /// Binds the socket to `addr`.
    pub async fn bind(addr: SocketAddr, codec: DatagramCodec) -> io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(addr).await?,
            codec,
        })
    }

    /// Sends a message and returns the size of the datagram, in bytes.
    pub async fn send(&self, addr: SocketAddr, message: Message) -> io::Result<usize> {
        let datagram = self.codec.encode(message);
        let BufResult(result, _) = self.socket.send_to(datagram, addr).await;
        result
    }

    /// Receives a datagram and returns its sender, its size in bytes and its message.
    ///
    /// The message is `None` if the datagram is malformed or not authentic.
    pub async fn receive(&self) -> io::Result<(SocketAddr, usize, Option<Message>)> {
        let buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES + 1);
        let BufResult(result, buffer) = self.socket.recv_from(buffer).await;
        let (size, addr) = result?;
        Ok((addr, size, self.codec.decode(&buffer[..size])))
    }
}
