//! A minimal JSON reader, enough for the bodies that nodes send to the store.

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes: Vec<char> = text.chars().collect();
        let mut at = 0;
        value(&bytes, &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(it, _)| it == name).map(|(_, it)| it),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(it)) => it.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Json::Number(it)) => Some(*it as u64),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(it)) => it,
            _ => &[],
        }
    }
}

fn skip(text: &[char], at: &mut usize) {
    while text.get(*at).is_some_and(|it| it.is_whitespace()) {
        *at += 1;
    }
}

fn value(text: &[char], at: &mut usize) -> Option<Json> {
    skip(text, at);
    match text.get(*at)? {
        '{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(text, at);
                match text.get(*at)? {
                    '}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    ',' => *at += 1,
                    _ => {
                        let name = string(text, at)?;
                        skip(text, at);
                        if *text.get(*at)? != ':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((name, value(text, at)?));
                    }
                }
            }
        }
        '[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(text, at);
                match text.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    ',' => *at += 1,
                    _ => items.push(value(text, at)?),
                }
            }
        }
        '"' => string(text, at).map(Json::Text),
        't' => word(text, at, "true", Json::Bool(true)),
        'f' => word(text, at, "false", Json::Bool(false)),
        'n' => word(text, at, "null", Json::Null),
        _ => {
            let begin = *at;
            while text.get(*at).is_some_and(|it| "+-.eE0123456789".contains(*it)) {
                *at += 1;
            }
            let number: String = text[begin..*at].iter().collect();
            number.parse().ok().map(Json::Number)
        }
    }
}

fn word(text: &[char], at: &mut usize, word: &str, it: Json) -> Option<Json> {
    let end = *at + word.len();
    let found: String = text.get(*at..end)?.iter().collect();
    *at = end;
    (found == word).then_some(it)
}

fn string(text: &[char], at: &mut usize) -> Option<String> {
    if *text.get(*at)? != '"' {
        return None;
    }
    *at += 1;
    let mut out = String::new();
    loop {
        let c = *text.get(*at)?;
        *at += 1;
        match c {
            '"' => return Some(out),
            '\\' => {
                let escaped = *text.get(*at)?;
                *at += 1;
                out.push(match escaped {
                    'n' => '\n',
                    't' => '\t',
                    'r' => '\r',
                    'u' => {
                        let code: String = text.get(*at..*at + 4)?.iter().collect();
                        *at += 4;
                        char::from_u32(u32::from_str_radix(&code, 16).ok()?)?
                    }
                    other => other,
                });
            }
            other => out.push(other),
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(char::from(ALPHABET[(bits >> (18 - 6 * index)) as usize & 63]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut bits, mut n) = (0u32, 0);
    for c in text.bytes().filter(|it| *it != b'=') {
        let Some(index) = ALPHABET.iter().position(|it| *it == c) else { continue };
        bits = bits << 6 | index as u32;
        n += 6;
        if 8 <= n {
            n -= 8;
            out.push((bits >> n) as u8);
        }
    }
    out
}
