//! A small HTTP/1.1 server and client on threads.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// A request with its complete body.
pub struct Request {
    pub path: String,
    query: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a header field by its name in lower case; empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    /// Returns a query parameter; empty if it is absent.
    pub fn param(&self, name: &str) -> &str {
        let pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs
            .into_iter()
            .find(|(n, _)| *n == name)
            .map_or("", |(_, v)| v)
    }

    /// Returns a query parameter as a number; 0 if it is absent.
    pub fn number(&self, name: &str) -> u64 {
        self.param(name).parse().unwrap_or(0)
    }
}

/// The status and body of an answer; none to never answer on this connection again.
pub type Reply = Option<(u16, String)>;

/// Serves requests, each connection on a thread of its own.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(Request, &TcpStream) -> Reply + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Request, &TcpStream) -> Reply) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(request, &writer) else {
            // The connection stays open and silent until the peer closes it.
            let _ = std::io::copy(&mut reader, &mut std::io::sink());
            return;
        };
        let head = format!(
            "HTTP/1.1 {status} S\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

/// Reads the first line and the header fields; the names are in lower case.
fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|n| *n > 0)?;
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        match line.trim_end().split_once(':') {
            Some((name, value)) => headers.push((name.to_lowercase(), value.trim().to_owned())),
            None => return Some((first.trim_end().to_owned(), headers)),
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let length = headers.iter().find(|(n, _)| n == "content-length");
    let length = length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let target = words.nth(1)?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let body = read_body(reader, &headers)?;
    Some(Request {
        path,
        query,
        headers,
        body,
    })
}

/// Sends a request on a new connection; none if there is no complete answer in time.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let fields: String = headers
        .iter()
        .map(|(n, v)| format!("{n}: {v}\r\n"))
        .collect();
    let text = format!(
        "{method} {path} HTTP/1.1\r\n{fields}content-type: application/json\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
