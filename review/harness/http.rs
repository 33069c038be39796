//! A minimal HTTP/1.1 server and client.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

#[derive(Debug, Clone)]
pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(it, _)| it == name).map(|(_, value)| value.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name).unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.path.split_once('?').map_or("", |(_, it)| it);
        let pairs = query.split('&').filter_map(|it| it.split_once('='));
        pairs.filter(|(it, _)| *it == name).map(|(_, it)| decode(it)).next().unwrap_or_default()
    }
}

fn decode(text: &str) -> String {
    let (bytes, mut out, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            out.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// The start line and the headers, with names in lowercase.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<(String, Vec<(String, String)>)> {
    let end = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let mut start = String::new();
    if reader.read_line(&mut start)? == 0 {
        return Err(end());
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(end());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok((start.trim_end().to_owned(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// The body, as the headers frame it; until the end of the connection if `or_end` is set.
pub fn read_body(
    reader: &mut impl BufRead,
    headers: &[(String, String)],
    or_end: bool,
) -> io::Result<Vec<u8>> {
    if find(headers, "transfer-encoding").is_some_and(|it| it.contains("chunked")) {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let mut body = Vec::new();
    match find(headers, "content-length").and_then(|it| it.parse().ok()) {
        Some(length) => {
            body = vec![0; length];
            reader.read_exact(&mut body)?;
        }
        None if or_end => {
            reader.read_to_end(&mut body)?;
        }
        None => {}
    }
    Ok(body)
}

pub fn read_request(reader: &mut impl BufRead) -> io::Result<Request> {
    let (start, headers) = read_head(reader)?;
    let mut words = start.split(' ');
    let path = words.nth(1).unwrap_or_default();
    let body = read_body(reader, &headers, false)?;
    Ok(Request { path: path.to_owned(), headers, body })
}

/// Answers one request on the connection. Returns whether the connection is kept.
pub type Handler = Arc<dyn Fn(Request, &mut TcpStream) -> bool + Send + Sync>;

/// Serves each connection in a thread of its own.
pub fn serve(listener: TcpListener, handler: Handler) {
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(read) = stream.try_clone() else { return };
                let mut reader = BufReader::new(read);
                while let Ok(request) = read_request(&mut reader) {
                    if !handler(request, &mut stream) {
                        break;
                    }
                }
                let _ = stream.shutdown(std::net::Shutdown::Both);
            });
        }
    });
}

pub fn respond(stream: &mut TcpStream, status: u16, extra: &str, body: &[u8]) -> bool {
    let head = format!("HTTP/1.1 {status} x\r\n{extra}Content-Length: {}\r\n\r\n", body.len());
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message).is_ok()
}

/// What a client saw of a response.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The whole response.
    Whole { status: u16, headers: Vec<(String, String)>, body: Vec<u8> },
    /// A head, and a body that ended early.
    Cut { status: u16, n_bytes: usize },
    /// No head.
    None(String),
}

impl Answer {
    pub fn status(&self) -> u16 {
        match self {
            Answer::Whole { status, .. } => *status,
            _ => 0,
        }
    }

    pub fn text(&self) -> String {
        match self {
            Answer::Whole { status, .. } => format!("{status}, whole"),
            Answer::Cut { status, n_bytes } => format!("{status}, cut after {n_bytes} bytes"),
            Answer::None(why) => format!("no answer: {why}"),
        }
    }
}

pub fn message(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn read_answer(reader: &mut impl BufRead) -> Answer {
    let (start, headers) = match read_head(reader) {
        Ok(it) => it,
        Err(e) => return Answer::None(e.kind().to_string()),
    };
    let status = start.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    let mut counted = Counted { inner: reader, n: 0 };
    match read_body(&mut counted, &headers, true) {
        Ok(body) => Answer::Whole { status, headers, body },
        Err(_) => Answer::Cut { status, n_bytes: counted.n },
    }
}

struct Counted<'a, R> {
    inner: &'a mut R,
    n: usize,
}

impl<R: BufRead> Read for Counted<'_, R> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let n = self.inner.read(buf)?;
        self.n += n;
        Ok(n)
    }
}

impl<R: BufRead> BufRead for Counted<'_, R> {
    fn fill_buf(&mut self) -> io::Result<&[u8]> {
        self.inner.fill_buf()
    }

    fn consume(&mut self, n: usize) {
        self.n += n;
        self.inner.consume(n);
    }
}

/// Sends one request on a new connection, which a client allows a second, and waits for `wait`.
pub fn call(addr: SocketAddr, message: &[u8], wait: Duration) -> Answer {
    let connected = TcpStream::connect_timeout(&addr, Duration::from_secs(1));
    let mut stream = match connected {
        Ok(it) => it,
        Err(e) => return Answer::None(format!("connect: {}", e.kind())),
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(wait));
    if let Err(e) = stream.write_all(message) {
        return Answer::None(format!("write: {}", e.kind()));
    }
    read_answer(&mut BufReader::new(stream))
}
