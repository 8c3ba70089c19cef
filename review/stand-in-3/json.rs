//! JSON as far as the store and the heartbeats need it, and base64.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Flag(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(BTreeMap<String, Value>),
}

impl Value {
    /// Parses a document, or returns `None` if it is invalid.
    pub fn parse(text: &str) -> Option<Value> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        parser.value()
    }

    /// Returns the field of a table, or null.
    pub fn field(&self, name: &str) -> &Value {
        const NULL: Value = Value::Null;
        match self {
            Value::Table(fields) => fields.get(name).unwrap_or(&NULL),
            _ => &NULL,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Value::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Value::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Value] {
        match self {
            Value::List(items) => items,
            _ => &[],
        }
    }
}

struct Parser<'t> {
    bytes: &'t [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Value> {
        match self.peek()? {
            b'{' => {
                self.take(b'{')?;
                let mut fields = BTreeMap::new();
                while self.peek()? != b'}' {
                    let name = self.string()?;
                    self.take(b':')?;
                    fields.insert(name, self.value()?);
                    if self.take(b',').is_none() {
                        break;
                    }
                }
                self.take(b'}')?;
                Some(Value::Table(fields))
            }
            b'[' => {
                self.take(b'[')?;
                let mut items = Vec::new();
                while self.peek()? != b']' {
                    items.push(self.value()?);
                    if self.take(b',').is_none() {
                        break;
                    }
                }
                self.take(b']')?;
                Some(Value::List(items))
            }
            b'"' => self.string().map(Value::Text),
            b't' => self.word("true", Value::Flag(true)),
            b'f' => self.word("false", Value::Flag(false)),
            b'n' => self.word("null", Value::Null),
            _ => {
                let start = self.at;
                while self.bytes.get(self.at).is_some_and(|it| b"+-.eE0123456789".contains(it)) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(Value::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            match self.bytes.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(bytes).ok();
                }
                b'\\' => {
                    self.at += 1;
                    match self.bytes.get(self.at)? {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'u' => {
                            let code = self.bytes.get(self.at + 1..self.at + 5)?;
                            let code = u32::from_str_radix(std::str::from_utf8(code).ok()?, 16);
                            let char = char::from_u32(code.ok()?)?;
                            bytes.extend(char.to_string().as_bytes());
                            self.at += 4;
                        }
                        byte => bytes.push(*byte),
                    }
                }
                byte => bytes.push(*byte),
            }
            self.at += 1;
        }
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0_u32, |acc, byte| acc << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for idx in 0..4 {
            match idx <= chunk.len() {
                true => text.push(char::from(BASE64[(group >> (18 - 6 * idx) & 63) as usize])),
                false => text.push('='),
            }
        }
    }
    text
}
