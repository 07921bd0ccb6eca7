//! Messages of PostgreSQL's protocol, version 3, as far as simple queries need them.

use std::io::{self, Read};

pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![tag];
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
    out
}

pub fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

pub fn error(code: &str, text: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0VERROR\0C{code}\0M{text}\0\0").as_bytes())
}

/// One row with one binary column, and its command tag.
pub fn row(value: &[u8], tag: &str) -> Vec<u8> {
    let mut description = vec![0, 1];
    description.extend(b"content\0");
    description.extend([0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1]);
    let mut data = vec![0, 1];
    data.extend((value.len() as u32).to_be_bytes());
    data.extend(value);
    let mut out = message(b'T', &description);
    out.extend(message(b'D', &data));
    out.extend(message(b'C', format!("{tag}\0").as_bytes()));
    out
}

/// Role and position, then ReadyForQuery. Without a position only the role is told.
pub fn ready(is_primary: bool, position_ms: Option<u64>) -> Vec<u8> {
    let mut out = parameter("recovery", if is_primary { "off" } else { "on" });
    if let Some(position_ms) = position_ms {
        out.extend(parameter("lsn_ms", &position_ms.to_string()));
    }
    out.extend(message(b'Z', b"I"));
    out
}

pub fn read_message(source: &mut impl Read) -> io::Result<(u8, Vec<u8>)> {
    let mut header = [0; 5];
    source.read_exact(&mut header)?;
    Ok((header[0], read_rest(source, &header[1..])?))
}

pub fn read_startup(source: &mut impl Read) -> io::Result<()> {
    let mut length = [0; 4];
    source.read_exact(&mut length)?;
    read_rest(source, &length).map(drop)
}

fn read_rest(source: &mut impl Read, length: &[u8]) -> io::Result<Vec<u8>> {
    let length = u32::from_be_bytes(length.try_into().unwrap()) as usize;
    if !(4..=1 << 20).contains(&length) {
        return Err(io::Error::other("a length out of bounds"));
    }
    let mut body = vec![0; length - 4];
    source.read_exact(&mut body)?;
    Ok(body)
}

/// The value of a field in the comment of a statement.
pub fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let comment = &text[text.rfind("/*")? + 2..text.rfind("*/")?];
    comment.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='))
}

/// The first literal of a statement: its key.
pub fn key(text: &str) -> &str {
    text.split('\'').nth(1).unwrap_or("")
}
