//! A small HTTP/1.1 server and client with one thread a connection.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, v)| v)
    }
}

/// Answers with a status and a body, or not at all.
pub type Handler = Arc<dyn Fn(&Request) -> Option<(u16, String)> + Send + Sync>;

/// A server that can be closed with all its connections, as if its process had crashed.
pub struct Server {
    streams: Arc<Mutex<Vec<TcpStream>>>,
    closed: Arc<AtomicBool>,
    addr: String,
}

impl Server {
    pub fn start(addr: &str, handler: Handler) -> std::io::Result<Server> {
        let listener = TcpListener::bind(addr)?;
        let server = Server {
            streams: Arc::default(),
            closed: Arc::default(),
            addr: listener.local_addr()?.to_string(),
        };
        let (streams, closed) = (server.streams.clone(), server.closed.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if closed.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                streams.lock().unwrap().extend(stream.try_clone());
                let handler = handler.clone();
                std::thread::spawn(move || serve(stream, &handler));
            }
        });
        Ok(server)
    }

    /// Closes the port and all connections.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(&self.addr);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(mut stream: TcpStream, handler: &Handler) {
    let Ok(clone) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(clone);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(&request) else {
            // Nothing further is answered on this connection.
            let mut rest = Vec::new();
            let _ = reader.read_to_end(&mut rest);
            return;
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        if stream.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let first = read_line(reader)?;
    let mut words = first.split(' ');
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (headers, body) = read_rest(reader)?;
    Some(Request {
        method,
        path,
        headers,
        body,
    })
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    (reader.read_line(&mut line).ok()? > 0).then(|| line.trim_end().to_owned())
}

fn read_rest(reader: &mut BufReader<TcpStream>) -> Option<(Vec<(String, String)>, String)> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let length = headers.iter().find(|(n, _)| n == "content-length");
    let length = length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((headers, String::from_utf8(body).ok()?))
}

/// Sends one request on a new connection; returns status and body, or none without an answer.
pub fn call(
    addr: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let addr = addr.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!(
        "content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let first = read_line(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let (_, body) = read_rest(&mut reader)?;
    Some((status, body))
}
