//! A small HTTP/1.1 server and client with bodies of a given length.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// A request as a handler sees it.
pub struct Request {
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, v)| v)
    }

    pub fn param(&self, name: &str) -> &str {
        let pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs
            .filter(|(n, _)| *n == name)
            .map(|(_, v)| v)
            .next()
            .unwrap_or("")
    }
}

/// The status and the body of an answer; none closes the channel without an answer.
pub type Answer = Option<(u16, String)>;

type Handler = Arc<dyn Fn(Request) -> Answer + Send + Sync>;

/// A listening server; closing it resets its channels.
pub struct Server {
    closed: Arc<AtomicBool>,
    channels: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(
        addr: SocketAddr,
        handler: impl Fn(Request) -> Answer + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        let closed = Arc::new(AtomicBool::new(false));
        let channels: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let server = Self {
            closed: closed.clone(),
            channels: channels.clone(),
        };
        let handler: Handler = Arc::new(handler);
        std::thread::spawn(move || {
            while !closed.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    let mut open = channels.lock().unwrap();
                    open.retain(|c| c.peer_addr().is_ok());
                    open.push(copy);
                }
                let (handler, closed) = (handler.clone(), closed.clone());
                std::thread::spawn(move || {
                    serve(&stream, &handler, &closed);
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                });
            }
        });
        Ok(server)
    }

    /// Stops listening and closes all channels.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        for channel in self.channels.lock().unwrap().drain(..) {
            let _ = channel.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn serve(stream: &TcpStream, handler: &Handler, closed: &AtomicBool) {
    let mut reader = BufReader::new(stream);
    while let Some((head, headers, body)) = read_message(&mut reader) {
        let mut words = head.split(' ');
        let target = words.nth(1).unwrap_or("");
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let request = Request {
            path: path.to_owned(),
            query: query.to_owned(),
            headers,
            body,
        };
        let Some((status, body)) = handler(request) else {
            return;
        };
        if closed.load(Ordering::SeqCst) {
            return;
        }
        let reply = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut writer = stream;
        if writer.write_all(reply.as_bytes()).is_err() {
            return;
        }
    }
}

type Message = (String, Vec<(String, String)>, Vec<u8>);

fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut head = String::new();
    if reader.read_line(&mut head).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let length = headers.iter().find(|(n, _)| n == "content-length");
    let length: usize = length.map_or(Some(0), |(_, v)| v.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((head.trim_end().to_owned(), headers, body))
}

/// Makes one call on a channel of its own; none if no complete answer came in time.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&addr, limit).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n",
        body.len()
    );
    if !headers.iter().any(|(n, _)| *n == "host") {
        text += &format!("host: {addr}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "content-type: application/json\r\n\r\n";
    text += body;
    stream.write_all(text.as_bytes()).ok()?;
    let (head, _, body) = read_message(&mut BufReader::new(&stream))?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
