//! A minimal HTTP/1.1 client and server: bodies have a length, one thread for each connection.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// A request that a server has received.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    pub method: String,
    pub path: String,
    pub query: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// Returns the value of a header by its name in lower case, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(it, _)| it == name).map_or("", |(_, value)| value)
    }

    /// Returns a parameter of the query, or an empty text.
    pub fn parameter(&self, name: &str) -> String {
        let pairs = self.query.split('&').filter_map(|it| it.split_once('='));
        let value = pairs.into_iter().find(|(key, _)| *key == name).map_or("", |(_, it)| it);
        value.replace("%00", "\0")
    }
}

/// A response.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    pub status: u16,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether a second copy of the response follows late, where the next response is expected.
    pub has_late_copy: bool,
}

impl HttpResponse {
    pub fn new(status: u16) -> HttpResponse {
        HttpResponse { status, headers: Vec::new(), body: Vec::new(), has_late_copy: false }
    }

    pub fn header(&mut self, name: &str, value: &str) {
        self.headers.push((name.to_string(), value.to_string()));
    }

    /// Returns the value of a header by its name in lower case, or an empty text.
    pub fn value(&self, name: &str) -> &str {
        self.headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name)).map_or("", |(_, it)| it)
    }

    fn encode(&self) -> Vec<u8> {
        let mut head = format!("HTTP/1.1 {} X\r\n", self.status);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

pub type Handler = Arc<dyn Fn(&HttpRequest) -> HttpResponse + Send + Sync>;

/// Serves a listener in threads, until `is_stopped` is set: from then on no connection is accepted and nothing is
/// answered.
pub fn serve(listener: TcpListener, is_stopped: Arc<AtomicBool>, handler: Handler) {
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            if is_stopped.load(Ordering::Relaxed) {
                return;
            }
            let (handler, is_stopped) = (Arc::clone(&handler), Arc::clone(&is_stopped));
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let _ = serve_connection(stream, &is_stopped, &handler);
            });
        }
    });
}

fn serve_connection(
    mut stream: TcpStream,
    is_stopped: &AtomicBool,
    handler: &Handler,
) -> io::Result<()> {
    let mut buffer = Vec::new();
    let mut late_copy: Option<Vec<u8>> = None;
    loop {
        let Some(request) = read_request(&mut stream, &mut buffer)? else { return Ok(()) };
        if let Some(copy) = late_copy.take() {
            stream.write_all(&copy)?;
        }
        let response = handler(&request);
        if is_stopped.load(Ordering::Relaxed) {
            return Ok(());
        }
        let bytes = response.encode();
        stream.write_all(&bytes)?;
        late_copy = response.has_late_copy.then_some(bytes);
    }
}

fn find_head_end(buffer: &[u8]) -> Option<usize> {
    buffer.windows(4).position(|it| it == b"\r\n\r\n").map(|at| at + 4)
}

fn parse_headers(head: &str) -> Vec<(String, String)> {
    head.lines()
        .skip(1)
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_string()))
        .collect()
}

fn content_length(headers: &[(String, String)]) -> usize {
    let value = headers.iter().find(|(name, _)| name == "content-length");
    value.and_then(|(_, it)| it.parse().ok()).unwrap_or(0)
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    let mut chunk = [0_u8; 65_536];
    let n_read = stream.read(&mut chunk)?;
    buffer.extend_from_slice(&chunk[..n_read]);
    Ok(n_read)
}

fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<HttpRequest>> {
    let head_end = loop {
        if let Some(at) = find_head_end(buffer) {
            break at;
        }
        if read_more(stream, buffer)? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let headers = parse_headers(&head);
    let total = head_end + content_length(&headers);
    while buffer.len() < total {
        if read_more(stream, buffer)? == 0 {
            return Ok(None);
        }
    }
    let body = buffer[head_end..total].to_vec();
    buffer.drain(..total);
    let first = head.lines().next().unwrap_or_default().to_string();
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_string();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (path, query) = (path.to_string(), query.to_string());
    Ok(Some(HttpRequest { method, path, query, headers, body }))
}

/// A request to send.
pub struct ClientRequest<'r> {
    pub method: &'r str,
    pub path: &'r str,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl ClientRequest<'_> {
    /// Returns the bytes of the request's head.
    pub fn encode_head(&self) -> Vec<u8> {
        let mut head =
            format!("{} {} HTTP/1.1\r\nHost: {}\r\n", self.method, self.path, super::HOST);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if !self.body.is_empty() || self.method != "GET" {
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        head.push_str("\r\n");
        head.into_bytes()
    }
}

/// Sends a request on a new connection and reads the whole response. Fails when it takes longer than `limit`.
pub fn send(
    address: SocketAddr,
    request: &ClientRequest<'_>,
    limit: Duration,
) -> io::Result<HttpResponse> {
    let deadline = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(limit))?;
    let mut bytes = request.encode_head();
    bytes.extend_from_slice(&request.body);
    stream.write_all(&bytes)?;
    read_response(&mut stream, deadline)
}

/// Reads a whole response up to `deadline`.
pub fn read_response(stream: &mut TcpStream, deadline: Instant) -> io::Result<HttpResponse> {
    let mut buffer = Vec::new();
    let read_part = |stream: &mut TcpStream, buffer: &mut Vec<u8>| -> io::Result<()> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        match read_more(stream, buffer)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    };
    let head_end = loop {
        if let Some(at) = find_head_end(&buffer) {
            break at;
        }
        read_part(stream, &mut buffer)?;
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let headers = parse_headers(&head);
    let total = head_end + content_length(&headers);
    while buffer.len() < total {
        read_part(stream, &mut buffer)?;
    }
    let status = head.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    Ok(HttpResponse {
        status,
        headers,
        body: buffer[head_end..total].to_vec(),
        has_late_copy: false,
    })
}
