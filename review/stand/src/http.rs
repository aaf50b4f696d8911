//! The little of HTTP/1.1 that the stand-ins need, on blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// A request as it arrived.
#[derive(Debug, Clone, Default)]
pub struct Request {
    pub target: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// A response as it arrived.
#[derive(Debug, Clone, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The body ended as its framing says.
    pub complete: bool,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|p| p.split_once('='))
            .find(|(n, _)| *n == name)
            .map(|(_, v)| v)
    }
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(n, _)| n == name)
        .map(|(_, v)| v.as_str())
}

/// Reads a start line and headers; `None` at the end of the input.
fn read_head(input: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut start = String::new();
    if input.read_line(&mut start)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((start.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_chunks(input: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let len = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; len + 2];
        input.read_exact(&mut chunk)?;
        if len == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..len]);
    }
}

/// Reads the next request of a connection; `None` at its end.
pub fn read_request(input: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((start, headers)) = read_head(input)? else {
        return Ok(None);
    };
    let mut parts = start.split(' ');
    let mut request = Request {
        target: parts.nth(1).unwrap_or_default().to_owned(),
        headers,
        body: Vec::new(),
    };
    if request.header("transfer-encoding").is_some() {
        request.body = read_chunks(input)?;
    } else if let Some(len) = request
        .header("content-length")
        .and_then(|v| v.parse().ok())
    {
        request.body = vec![0; len];
        input.read_exact(&mut request.body)?;
    }
    Ok(Some(request))
}

/// Reads a response; one that breaks off is returned as incomplete.
pub fn read_response(input: &mut BufReader<TcpStream>) -> io::Result<Option<Response>> {
    let Some((start, headers)) = read_head(input)? else {
        return Ok(None);
    };
    let status = start
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let mut response = Response {
        status,
        headers,
        body: Vec::new(),
        complete: false,
    };
    if response.header("transfer-encoding").is_some() {
        if let Ok(body) = read_chunks(input) {
            response.body = body;
            response.complete = true;
        }
    } else if let Some(len) = response
        .header("content-length")
        .and_then(|v| v.parse().ok())
    {
        response.body = vec![0; len];
        response.complete = input.read_exact(&mut response.body).is_ok();
    } else {
        response.complete = input.read_to_end(&mut response.body).is_ok();
    }
    Ok(Some(response))
}

/// Writes a response with a length.
pub fn write_response(
    out: &mut impl Write,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    out.write_all(&bytes)?;
    out.flush()
}
