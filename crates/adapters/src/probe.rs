//! A probe for processes that listen at an address.

use compio::net::TcpStream;
use compio::time::timeout;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

/// Returns whether the host answers that no process listens at `addr`.
///
/// Any other outcome returns false, also no answer within `limit`.
pub async fn is_unused(addr: SocketAddr, limit: Duration) -> bool {
    let attempt = timeout(limit, TcpStream::connect(addr)).await;
    matches!(attempt, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused)
}
