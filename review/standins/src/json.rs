//! A small JSON reader, enough for the calls that a node makes.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        value(&chars, &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(table) => table.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> Option<String> {
        match self.get(name) {
            Some(Json::Text(text)) => Some(text.clone()),
            _ => None,
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Json::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> Vec<Json> {
        match self.get(name) {
            Some(Json::List(list)) => list.clone(),
            _ => Vec::new(),
        }
    }
}

fn space(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn value(chars: &[char], at: &mut usize) -> Option<Json> {
    space(chars, at);
    match chars.get(*at)? {
        '{' => table(chars, at),
        '[' => list(chars, at),
        '"' => Some(Json::Text(text(chars, at)?)),
        't' => word(chars, at, "true", Json::Bool(true)),
        'f' => word(chars, at, "false", Json::Bool(false)),
        'n' => word(chars, at, "null", Json::Null),
        _ => number(chars, at),
    }
}

fn word(chars: &[char], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    let end = *at + word.len();
    let found: String = chars.get(*at..end)?.iter().collect();
    *at = end;
    (found == word).then_some(value)
}

fn number(chars: &[char], at: &mut usize) -> Option<Json> {
    let start = *at;
    while chars.get(*at).is_some_and(|c| "+-.eE0123456789".contains(*c)) {
        *at += 1;
    }
    let digits: String = chars[start..*at].iter().collect();
    digits.parse().ok().map(Json::Number)
}

fn text(chars: &[char], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut out = String::new();
    loop {
        match chars.get(*at)? {
            '"' => {
                *at += 1;
                return Some(out);
            }
            '\\' => {
                *at += 1;
                match chars.get(*at)? {
                    'n' => out.push('\n'),
                    't' => out.push('\t'),
                    'u' => {
                        let digits: String = chars.get(*at + 1..*at + 5)?.iter().collect();
                        out.push(char::from_u32(u32::from_str_radix(&digits, 16).ok()?)?);
                        *at += 4;
                    }
                    other => out.push(*other),
                }
                *at += 1;
            }
            other => {
                out.push(*other);
                *at += 1;
            }
        }
    }
}

fn list(chars: &[char], at: &mut usize) -> Option<Json> {
    *at += 1;
    let mut out = Vec::new();
    loop {
        space(chars, at);
        match chars.get(*at)? {
            ']' => {
                *at += 1;
                return Some(Json::List(out));
            }
            ',' => *at += 1,
            _ => out.push(value(chars, at)?),
        }
    }
}

fn table(chars: &[char], at: &mut usize) -> Option<Json> {
    *at += 1;
    let mut out = BTreeMap::new();
    loop {
        space(chars, at);
        match chars.get(*at)? {
            '}' => {
                *at += 1;
                return Some(Json::Table(out));
            }
            ',' => *at += 1,
            _ => {
                let name = text(chars, at)?;
                space(chars, at);
                *at += 1;
                out.insert(name, value(chars, at)?);
            }
        }
    }
}
