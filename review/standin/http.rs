//! Blocking HTTP/1.1 for stand-ins: reads and writes messages on a socket.

use std::fmt;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or an answer; the body is complete unless `whole` is false.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(found, _)| found.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn id(&self) -> String {
        self.header("attempt-id").unwrap_or("").to_owned()
    }
}

/// Reads start line and headers; `None` when the peer closed the connection before.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            let is_between = message.start_line.is_empty();
            return if is_between { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
        let line = line.trim_end();
        if line.is_empty() {
            if message.start_line.is_empty() {
                continue;
            }
            return Ok(Some(message));
        }
        if message.start_line.is_empty() {
            message.start_line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that the headers announce. `until_end` reads to the end of the connection when
/// there is no length, as for answers.
pub fn read_body(
    reader: &mut impl BufRead,
    message: &mut Message,
    until_end: bool,
) -> io::Result<()> {
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            let mut filled = 0;
            while filled < chunk.len() {
                match reader.read(&mut chunk[filled..])? {
                    0 => break,
                    count => filled += count,
                }
            }
            message.body.extend_from_slice(&chunk[..filled.min(size)]);
            if filled < chunk.len() {
                return Ok(());
            }
            if size == 0 {
                message.whole = true;
                return Ok(());
            }
        }
    }
    match message.header("content-length").and_then(|text| text.parse::<u64>().ok()) {
        Some(length) => {
            reader.take(length).read_to_end(&mut message.body)?;
            message.whole = message.body.len() as u64 == length;
        }
        None if until_end => {
            message.whole = reader.read_to_end(&mut message.body).is_ok();
        }
        None => message.whole = true,
    }
    Ok(())
}

/// An answer with a length.
pub fn answer(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str("\r\n");
    [bytes.as_bytes(), body].concat()
}

/// How a client's call ended.
pub enum CallEnd {
    Answered(Message),
    /// The connection was refused, or not established in a second.
    NotConnected(String),
    /// The connection ended, or the client's time was over, without an answer.
    Unanswered(String),
}

impl fmt::Display for CallEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered(answer) => {
                let seal = answer.header("runner-seal").unwrap_or("none");
                let end = if answer.whole { "whole" } else { "broken off" };
                write!(f, "answered {}, signature {seal}, {end}", answer.status())
            }
            Self::NotConnected(error) => write!(f, "not connected: {error}"),
            Self::Unanswered(error) => write!(f, "not answered: {error}"),
        }
    }
}

/// Sends a request on a new connection and reads its answer within `timeout`.
pub fn call(address: SocketAddr, request: &[u8], timeout: Duration) -> CallEnd {
    let socket = match TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
        Ok(socket) => socket,
        Err(error) => return CallEnd::NotConnected(error.to_string()),
    };
    let received = (|| -> io::Result<Option<Message>> {
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(timeout))?;
        (&socket).write_all(request)?;
        let mut reader = BufReader::new(&socket);
        let Some(mut message) = read_head(&mut reader)? else { return Ok(None) };
        // What arrived before an error still counts as a part of the answer.
        let _ = read_body(&mut reader, &mut message, true);
        Ok(Some(message))
    })();
    match received {
        Ok(Some(message)) => CallEnd::Answered(message),
        Ok(None) => CallEnd::Unanswered("the connection was closed".to_owned()),
        Err(error) => CallEnd::Unanswered(error.to_string()),
    }
}
