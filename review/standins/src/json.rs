//! A small JSON parser, enough for the bodies that hosts send to the store.

use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a whole text; `None` if it is not JSON.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.skip_space();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    /// Returns the text of a field; empty if there is none.
    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Self::Text(text)) => text,
            _ => "",
        }
    }

    pub fn number(&self, name: &str) -> Option<f64> {
        match self.get(name) {
            Some(Self::Number(number)) => Some(*number),
            _ => None,
        }
    }

    /// Returns the entries of a field; none if it is no list.
    pub fn list(&self, name: &str) -> &[Self] {
        match self.get(name) {
            Some(Self::List(list)) => list,
            _ => &[],
        }
    }
}

/// Quotes a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.skip_space();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.array(),
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while self
            .bytes
            .get(self.at)
            .is_some_and(|b| b"+-.eE0123456789".contains(b))
        {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escape = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let c = match escape {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let hex = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(hex).ok()?, 16);
                            char::from_u32(code.ok()?)?
                        }
                        other => char::from(other),
                    };
                    out.extend_from_slice(c.encode_utf8(&mut [0; 4]).as_bytes());
                }
                byte => out.push(byte),
            }
        }
    }

    fn array(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut list = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(list));
        }
        loop {
            list.push(self.value()?);
            if self.take(b']').is_some() {
                return Some(Json::List(list));
            }
            self.take(b',')?;
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut fields = BTreeMap::new();
        if self.take(b'}').is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.skip_space();
            let name = self.string()?;
            self.take(b':')?;
            fields.insert(name, self.value()?);
            if self.take(b'}').is_some() {
                return Some(Json::Object(fields));
            }
            self.take(b',')?;
        }
    }
}
