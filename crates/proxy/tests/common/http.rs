//! A slow, plain parser of HTTP/1.1 that shares no code with the library that the proxy uses.

/// The reason why bytes are not a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParseError {
    /// The message is not complete.
    Incomplete,
    /// The bytes are not a message, and no further bytes can make them one.
    Invalid(&'static str),
}

/// A request or a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn all(&self, name: &str) -> Vec<&str> {
        let named = self
            .headers
            .iter()
            .filter(|(known, _)| known.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.as_str()).collect()
    }

    /// The value of a header that occurs exactly once.
    pub fn single(&self, name: &str) -> Option<&str> {
        match self.all(name)[..] {
            [value] => Some(value),
            _ => None,
        }
    }

    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0)
    }

    /// Whether the sender closes the connection after this message.
    pub fn closes(&self) -> bool {
        let options = self.all("connection").join(",").to_ascii_lowercase();
        let mut options = options.split(',').map(str::trim);
        if self.start.contains("HTTP/1.0") {
            !options.any(|option| option == "keep-alive")
        } else {
            options.any(|option| option == "close")
        }
    }
}

fn is_token(text: &str) -> bool {
    let is_invalid_char = |c: char| !(c.is_ascii_alphanumeric() || "!#$%&'*+-.^_`|~".contains(c));
    !text.is_empty() && !text.contains(is_invalid_char)
}

/// Returns a line and the offset of the next one; a line feed ends it, with or without a carriage
/// return.
fn parse_line(bytes: &[u8], from: usize) -> Result<(String, usize), ParseError> {
    let end = bytes[from..]
        .iter()
        .position(|byte| *byte == b'\n')
        .ok_or(ParseError::Incomplete)?;
    let text: String = bytes[from..from + end]
        .iter()
        .map(|byte| char::from(*byte))
        .collect();
    let text = text.strip_suffix('\r').unwrap_or(&text).to_owned();
    Ok((text, from + end + 1))
}

fn parse_headers(bytes: &[u8], from: usize) -> Result<(Vec<(String, String)>, usize), ParseError> {
    let (mut headers, mut at) = (Vec::new(), from);
    loop {
        let (text, next) = parse_line(bytes, at)?;
        at = next;
        if text.is_empty() {
            return Ok((headers, at));
        }
        let (name, value) = text.split_once(':').ok_or(ParseError::Invalid("colon"))?;
        if !is_token(name) || value.chars().any(|c| (c < ' ' && c != '\t') || c == '\x7f') {
            return Err(ParseError::Invalid("header"));
        }
        headers.push((name.to_owned(), value.trim_matches([' ', '\t']).to_owned()));
    }
}

/// Parses the start line and headers, and returns the offset of the body. Skips leading empty
/// lines.
fn parse_head(bytes: &[u8], from: usize) -> Result<(Message, usize), ParseError> {
    let mut at = from;
    let start = loop {
        let (text, next) = parse_line(bytes, at)?;
        at = next;
        if !text.is_empty() {
            break text;
        }
    };
    let (headers, at) = parse_headers(bytes, at)?;
    Ok((
        Message {
            start,
            headers,
            body: Vec::new(),
        },
        at,
    ))
}

fn parse_chunks(bytes: &[u8], from: usize) -> Result<(Vec<u8>, usize), ParseError> {
    let (mut body, mut at) = (Vec::new(), from);
    loop {
        let (text, next) = parse_line(bytes, at)?;
        let size = text.split(';').next().unwrap_or_default().trim();
        if size.is_empty() || !size.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(ParseError::Invalid("chunk"));
        }
        let size = usize::from_str_radix(size, 16).map_err(|_| ParseError::Invalid("chunk"))?;
        if size == 0 {
            let (_, at) = parse_headers(bytes, next)?;
            return Ok((body, at));
        }
        let end = next.checked_add(size).ok_or(ParseError::Invalid("chunk"))?;
        if bytes.len() < end + 2 {
            return Err(ParseError::Incomplete);
        }
        if &bytes[end..end + 2] != b"\r\n" {
            return Err(ParseError::Invalid("chunk end"));
        }
        body.extend_from_slice(&bytes[next..end]);
        at = end + 2;
    }
}

fn parse_body(bytes: &[u8], message: &mut Message, at: usize) -> Result<usize, ParseError> {
    match (
        &message.all("content-length")[..],
        &message.all("transfer-encoding")[..],
    ) {
        ([length], [])
            if !length.is_empty() && length.bytes().all(|byte| byte.is_ascii_digit()) =>
        {
            let length: usize = length.parse().map_err(|_| ParseError::Invalid("length"))?;
            let end = at
                .checked_add(length)
                .ok_or(ParseError::Invalid("length"))?;
            message.body = bytes.get(at..end).ok_or(ParseError::Incomplete)?.to_vec();
            Ok(end)
        }
        ([], [coding])
            if coding.eq_ignore_ascii_case("chunked") && !message.start.contains("HTTP/1.0") =>
        {
            let (body, end) = parse_chunks(bytes, at)?;
            message.body = body;
            Ok(end)
        }
        _ => Err(ParseError::Invalid("framing")),
    }
}

/// Returns the final response that begins at `from`, and its end. Skips informational responses.
pub fn parse_response(
    bytes: &[u8],
    from: usize,
    request_method: &str,
) -> Result<(Message, usize), ParseError> {
    let mut from = from;
    loop {
        let (mut message, at) = parse_head(bytes, from)?;
        let mut fields = message.start.splitn(3, ' ');
        let version = fields.next().unwrap_or_default();
        let status = fields.next().unwrap_or_default();
        if !["HTTP/1.0", "HTTP/1.1"].contains(&version)
            || status.len() != 3
            || !status.bytes().all(|byte| byte.is_ascii_digit())
        {
            return Err(ParseError::Invalid("status line"));
        }
        match message.status() {
            101 => return Err(ParseError::Invalid("upgrade")),
            100..200 => from = at,
            204 | 304 => return Ok((message, at)),
            200..600 if request_method == "HEAD" => return Ok((message, at)),
            200..600 => {
                let end = parse_body(bytes, &mut message, at)?;
                return Ok((message, end));
            }
            _ => return Err(ParseError::Invalid("status")),
        }
    }
}

/// Returns the request that begins at `from`, and its end.
pub fn parse_request(bytes: &[u8], from: usize) -> Result<(Message, usize), ParseError> {
    let (mut message, at) = parse_head(bytes, from)?;
    if message.start.split(' ').count() != 3 {
        return Err(ParseError::Invalid("request line"));
    }
    if message.all("content-length").is_empty() && message.all("transfer-encoding").is_empty() {
        return Ok((message, at));
    }
    let end = parse_body(bytes, &mut message, at)?;
    Ok((message, end))
}
