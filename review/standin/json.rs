//! The part of JSON that the store's calls need, and base64 for the values of rows.

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        const NULL: &Json = &Json::Null;
        let Json::Object(fields) = self else { return NULL };
        fields.iter().find(|(found, _)| found == name).map_or(NULL, |(_, value)| value)
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Json::Number(number) = self { *number as u64 } else { 0 }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let mut rest = text.trim_start();
        let value = parse_value(&mut rest)?;
        rest.trim().is_empty().then_some(value)
    }
}

fn parse_value(rest: &mut &str) -> Option<Json> {
    *rest = rest.trim_start();
    let first = rest.chars().next()?;
    match first {
        '"' => parse_text(rest).map(Json::Text),
        '[' => {
            let mut list = Vec::new();
            advance(rest, 1);
            loop {
                if take(rest, "]") {
                    return Some(Json::List(list));
                }
                take(rest, ",");
                list.push(parse_value(rest)?);
            }
        }
        '{' => {
            let mut fields = Vec::new();
            advance(rest, 1);
            loop {
                if take(rest, "}") {
                    return Some(Json::Object(fields));
                }
                take(rest, ",");
                *rest = rest.trim_start();
                let name = parse_text(rest)?;
                if !take(rest, ":") {
                    return None;
                }
                fields.push((name, parse_value(rest)?));
            }
        }
        _ if take(rest, "null") => Some(Json::Null),
        _ if take(rest, "true") => Some(Json::Bool(true)),
        _ if take(rest, "false") => Some(Json::Bool(false)),
        _ => {
            let end = rest.find([',', ']', '}', ' ', '\n']).unwrap_or(rest.len());
            let number = rest[..end].parse().ok()?;
            advance(rest, end);
            Some(Json::Number(number))
        }
    }
}

fn advance(rest: &mut &str, bytes: usize) {
    *rest = &rest[bytes..];
}

fn take(rest: &mut &str, token: &str) -> bool {
    *rest = rest.trim_start();
    let found = rest.starts_with(token);
    if found {
        advance(rest, token.len());
    }
    found
}

fn parse_text(rest: &mut &str) -> Option<String> {
    let mut text = String::new();
    let mut characters = rest.char_indices().skip(1);
    while let Some((index, character)) = characters.next() {
        match character {
            '"' => {
                advance(rest, index + 1);
                return Some(text);
            }
            '\\' => match characters.next()?.1 {
                'n' => text.push('\n'),
                'r' => text.push('\r'),
                't' => text.push('\t'),
                'u' => {
                    let digits: String = (0..4).filter_map(|_| characters.next()).map(|(_, digit)| digit).collect();
                    text.push(char::from_u32(u32::from_str_radix(&digits, 16).ok()?)?);
                }
                other => text.push(other),
            },
            other => text.push(other),
        }
    }
    None
}

/// A JSON string; the texts of stand-ins have no control characters.
pub fn quote(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

pub fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = (0..3).fold(0u32, |word, index| word << 8 | u32::from(*chunk.get(index).unwrap_or(&0)));
        for index in 0..4 {
            let digit = ALPHABET[(word >> (18 - 6 * index)) as usize & 63] as char;
            text.push(if index <= chunk.len() { digit } else { '=' });
        }
    }
    text
}
