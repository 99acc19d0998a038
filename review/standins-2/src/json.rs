//! Minimal JSON reader and base64, for the bodies of store calls.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut position = 0;
        let value = parse_value(bytes, &mut position)?;
        skip_spaces(bytes, &mut position);
        (position == bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }
}

fn skip_spaces(bytes: &[u8], position: &mut usize) {
    while bytes.get(*position).is_some_and(u8::is_ascii_whitespace) {
        *position += 1;
    }
}

fn parse_value(bytes: &[u8], position: &mut usize) -> Option<Json> {
    skip_spaces(bytes, position);
    match bytes.get(*position)? {
        b'{' => parse_object(bytes, position),
        b'[' => parse_list(bytes, position),
        b'"' => parse_text(bytes, position).map(Json::Text),
        b't' => literal(bytes, position, "true", Json::Bool(true)),
        b'f' => literal(bytes, position, "false", Json::Bool(false)),
        b'n' => literal(bytes, position, "null", Json::Null),
        _ => parse_number(bytes, position),
    }
}

fn literal(bytes: &[u8], position: &mut usize, word: &str, value: Json) -> Option<Json> {
    bytes[*position..].starts_with(word.as_bytes()).then(|| {
        *position += word.len();
        value
    })
}

fn parse_number(bytes: &[u8], position: &mut usize) -> Option<Json> {
    let start = *position;
    while bytes
        .get(*position)
        .is_some_and(|byte| byte.is_ascii_digit() || b"+-.eE".contains(byte))
    {
        *position += 1;
    }
    let text = std::str::from_utf8(&bytes[start..*position]).ok()?;
    text.parse().ok().map(Json::Number)
}

fn parse_text(bytes: &[u8], position: &mut usize) -> Option<String> {
    *position += 1;
    let mut text = Vec::new();
    loop {
        let byte = *bytes.get(*position)?;
        *position += 1;
        match byte {
            b'"' => return String::from_utf8(text).ok(),
            b'\\' => {
                let escaped = *bytes.get(*position)?;
                *position += 1;
                match escaped {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'r' => text.push(b'\r'),
                    b'u' => {
                        let hex = std::str::from_utf8(bytes.get(*position..*position + 4)?).ok()?;
                        let code = u32::from_str_radix(hex, 16).ok()?;
                        *position += 4;
                        let character = char::from_u32(code)?;
                        text.extend(character.to_string().bytes());
                    }
                    other => text.push(other),
                }
            }
            other => text.push(other),
        }
    }
}

fn parse_list(bytes: &[u8], position: &mut usize) -> Option<Json> {
    *position += 1;
    let mut items = Vec::new();
    loop {
        skip_spaces(bytes, position);
        match bytes.get(*position)? {
            b']' => {
                *position += 1;
                return Some(Json::List(items));
            }
            b',' => *position += 1,
            _ => items.push(parse_value(bytes, position)?),
        }
    }
}

fn parse_object(bytes: &[u8], position: &mut usize) -> Option<Json> {
    *position += 1;
    let mut fields = BTreeMap::new();
    loop {
        skip_spaces(bytes, position);
        match bytes.get(*position)? {
            b'}' => {
                *position += 1;
                return Some(Json::Object(fields));
            }
            b',' => *position += 1,
            _ => {
                let key = parse_text(bytes, position)?;
                skip_spaces(bytes, position);
                if bytes.get(*position)? != &b':' {
                    return None;
                }
                *position += 1;
                fields.insert(key, parse_value(bytes, position)?);
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let value = chunk
            .iter()
            .fold(0_u32, |value, byte| (value << 8) | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            if index <= chunk.len() {
                let digit = (value >> (18 - 6 * index)) & 63;
                text.push(char::from(ALPHABET[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn decode_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut value, mut bits) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(digit) = ALPHABET.iter().position(|known| *known == byte) else {
            continue;
        };
        value = (value << 6) | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((value >> bits) as u8);
            value &= (1 << bits) - 1;
        }
    }
    bytes
}
