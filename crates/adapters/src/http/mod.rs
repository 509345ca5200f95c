//! HTTP/1.1 through `hyper` on `compio` sockets.

pub(crate) mod body;
mod client;
mod server;

pub use client::Greeting;
pub use client::HttpClient;
pub use client::Patience;
pub use client::SendError;
pub use server::Limits;
pub use server::Reply;
pub use server::Request;
pub use server::bind;
pub use server::fault_reply;
pub use server::json_reply;
pub use server::serve;
pub use server::serve_limited;
pub use server::text_reply;
