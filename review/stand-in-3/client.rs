//! HTTP/1.1 messages over plain connections, as clients and the stand-in servers use them.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub method: String,
    pub target: String,
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Reads a head, byte by byte so that nothing after it is read.
fn read_head(stream: &mut TcpStream) -> Option<Message> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let mut lines = text.split("\r\n");
    let mut words = lines.next()?.split(' ');
    let (first, second) = (words.next()?.to_string(), words.next()?.to_string());
    let headers = lines
        .filter_map(|it| it.split_once(':'))
        .map(|(name, value)| (name.to_string(), value.trim().to_string()))
        .collect();
    Some(Message {
        status: second.parse().unwrap_or(0),
        method: first,
        target: second,
        headers,
        body: Vec::new(),
    })
}

/// Reads the body of a message that names its length; other messages have none here.
fn read_body(stream: &mut TcpStream, message: &mut Message) -> Option<()> {
    let length = message.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    stream.read_exact(&mut message.body).ok()
}

/// Reads a whole request, or returns `None` if the connection ends.
pub fn read_request(stream: &mut TcpStream) -> Option<Message> {
    let mut request = read_head(stream)?;
    read_body(stream, &mut request)?;
    Some(request)
}

/// Writes a response with a length.
pub fn write_response(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)
}

/// A connection of a client.
#[derive(Debug)]
pub struct Connection(pub TcpStream);

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(30)))?;
        Ok(Connection(stream))
    }

    /// Sends a request.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        self.0.write_all(head.as_bytes())?;
        self.0.write_all(body)
    }

    /// Reads a whole response, or returns `None` if the connection ends before.
    pub fn receive(&mut self) -> Option<Message> {
        let mut response = read_head(&mut self.0)?;
        read_body(&mut self.0, &mut response)?;
        Some(response)
    }
}
