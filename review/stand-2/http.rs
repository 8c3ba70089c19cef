//! HTTP/1.1 as far as the stand-ins need it: one message at a time on a blocking connection.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Head and body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it == name).map(|(_, value)| value.as_str())
    }

    /// Returns the part of the first line at `index`: method, target and version, or version and status.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr) -> io::Result<Connection> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Connection::new)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0_u8; 16 << 10];
        let n_read = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..n_read]);
        Ok(n_read)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|it| *it == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_string());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn exactly(&mut self, n_bytes: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < n_bytes {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..n_bytes).collect())
    }

    /// Reads the head of a message.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let mut message = Message { first_line: self.line()?, ..Message::default() };
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else { return Ok(message) };
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
    }

    /// Reads a whole message. A body has a length or is sent in chunks.
    pub fn read_message(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        if message.header("transfer-encoding").is_some_and(|it| it.contains("chunked")) {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
                let chunk = self.exactly(size)?;
                self.line()?;
                if size == 0 {
                    return Ok(message);
                }
                message.body.extend(chunk);
            }
        }
        let length = message.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        message.body = self.exactly(length)?;
        Ok(message)
    }

    /// Takes the bytes that have been read but belong to no message yet.
    pub fn take_buffered(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buffer)
    }

    pub fn write(&mut self, head: &str, body: &[u8]) -> io::Result<()> {
        self.stream.write_all(head.as_bytes())?;
        self.stream.write_all(body)
    }

    /// Writes a response with a JSON body.
    pub fn respond_json(&mut self, status: &str, body: &str) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        self.write(&head, body.as_bytes())
    }
}
