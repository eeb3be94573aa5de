//! A small HTTP/1.1 server, a thread for each connection, and a client for single requests.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use crate::json::{parse, Json};

/// A request that was read whole.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn json(&self) -> Json {
        parse(&self.body)
    }

    /// Returns a parameter of the query.
    pub fn parameter(&self, name: &str) -> String {
        for pair in self.query.split('&') {
            if let Some((key, value)) = pair.split_once('=') {
                if key == name {
                    return unescape(value);
                }
            }
        }
        String::new()
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        match bytes[at] {
            b'%' if at + 2 < bytes.len() => {
                let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
                out.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
                at += 2;
            }
            b'+' => out.push(b' '),
            byte => out.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// What becomes of a request.
pub enum Reply {
    Answer(u16, Json),
    /// The connection is closed without an answer.
    Close,
    /// The connection stays open and returns nothing further.
    Silence,
}

/// Serves requests on an address until the process ends.
pub fn serve(address: SocketAddr, handler: Arc<dyn Fn(Request) -> Reply + Send + Sync>) {
    let listener = TcpListener::bind(address).expect("the address is free");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || serve_connection(&stream, &*handler));
        }
    });
}

fn serve_connection(stream: &TcpStream, handler: &(dyn Fn(Request) -> Reply + Send + Sync)) {
    stream.set_nodelay(true).ok();
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        match handler(request) {
            Reply::Answer(status, body) => {
                let body = if body == Json::Null { String::new() } else { body.to_string() };
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                let mut out = stream;
                if out.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Close => return,
            Reply::Silence => {
                // Waits until the client leaves.
                let mut rest = [0; 1024];
                while reader.read(&mut rest).is_ok_and(|count| count > 0) {}
                return;
            }
        }
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
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
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let length = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length = length.map_or(Some(0), |(_, value)| value.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut BufReader<&TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let body = read_body(reader, &headers)?;
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body,
    })
}

/// Sends one request on a connection of its own, and returns the status and body of the response. The
/// client leaves, with a close of the connection, if there is none within `limit`.
pub fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, Json)> {
    let stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_nodelay(true).ok();
    stream.set_read_timeout(Some(limit)).ok();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         X-Request-Deadline: 3000\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    (&stream).write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(&stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, parse(&body)))
}
