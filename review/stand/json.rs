//! A minimal JSON reader, for the transactions that daemons send to the table.

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum JsonValue {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<JsonValue>),
    Object(Vec<(String, JsonValue)>),
}

impl JsonValue {
    /// Returns a field of an object, or null.
    pub fn field(&self, name: &str) -> &JsonValue {
        match self {
            JsonValue::Object(fields) => {
                fields.iter().find(|(key, _)| key == name).map_or(&JsonValue::Null, |(_, it)| it)
            }
            _ => &JsonValue::Null,
        }
    }

    /// Returns the items of a list, or none.
    pub fn items(&self) -> &[JsonValue] {
        match self {
            JsonValue::List(items) => items,
            _ => &[],
        }
    }

    /// Returns a text, or an empty one.
    pub fn text(&self) -> String {
        match self {
            JsonValue::Text(text) => text.clone(),
            _ => String::new(),
        }
    }

    /// Returns a whole number, or 0.
    pub fn number(&self) -> u64 {
        match self {
            JsonValue::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

/// Parses a JSON document, or returns `None` if it is invalid.
pub fn parse(bytes: &[u8]) -> Option<JsonValue> {
    let mut reader = JsonReader { bytes, at: 0 };
    reader.value()
}

struct JsonReader<'b> {
    bytes: &'b [u8],
    at: usize,
}

impl JsonReader<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, expected: u8) -> Option<()> {
        (self.peek()? == expected).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<JsonValue> {
        match self.peek()? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                while self.peek()? != b'}' {
                    let key = self.string()?;
                    self.take(b':')?;
                    fields.push((key, self.value()?));
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(JsonValue::Object(fields))
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                while self.peek()? != b']' {
                    items.push(self.value()?);
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(JsonValue::List(items))
            }
            b'"' => Some(JsonValue::Text(self.string()?)),
            b't' => self.word("true", JsonValue::Bool(true)),
            b'f' => self.word("false", JsonValue::Bool(false)),
            b'n' => self.word("null", JsonValue::Null),
            _ => {
                let start = self.at;
                while self.bytes.get(self.at).is_some_and(|it| b"+-.eE0123456789".contains(it)) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(JsonValue::Number)
            }
        }
    }

    fn word(&mut self, word: &str, value: JsonValue) -> Option<JsonValue> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    text.push(match escaped {
                        b'n' => b'\n',
                        b't' => b'\t',
                        other => other,
                    });
                }
                other => text.push(other),
            }
        }
    }
}
