//! Parses JSON text and reports duplicate object members.
//!
//! `serde_json` keeps the last of two members with the same name. In a settings file such a pair is usually a mistake
//! in a merge and would silently drop an account or a route, so it is a finding here.

use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};

use crate::error::Findings;

use super::reader::{ROOT_PLACE, child_place};

/// Parses `text` as JSON.
///
/// # Errors
///
/// Returns a finding with line and column for a syntax error, or one finding for each duplicate member.
pub(crate) fn parse_document(text: &str) -> Result<Value, Findings> {
    let mut findings = Findings::default();
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let seed = ValueSeed { place: ROOT_PLACE.to_string(), findings: &mut findings };
    let parsed = seed.deserialize(&mut deserializer).and_then(|it| deserializer.end().map(|()| it));
    match parsed {
        Ok(value) => findings.into_result(value),
        Err(cause) => {
            findings.push(ROOT_PLACE, format!("invalid JSON: {cause}"));
            Err(findings)
        }
    }
}

/// Deserializes the value at one JSON path.
struct ValueSeed<'f> {
    place: String,
    findings: &'f mut Findings,
}

impl<'de> DeserializeSeed<'de> for ValueSeed<'_> {
    type Value = Value;

    fn deserialize<D>(self, deserializer: D) -> Result<Value, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for ValueSeed<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, flag: bool) -> Result<Value, E> {
        Ok(Value::Bool(flag))
    }

    fn visit_u64<E>(self, number: u64) -> Result<Value, E> {
        Ok(Value::from(number))
    }

    fn visit_i64<E>(self, number: i64) -> Result<Value, E> {
        Ok(Value::from(number))
    }

    fn visit_f64<E>(self, number: f64) -> Result<Value, E> {
        Ok(Number::from_f64(number).map_or(Value::Null, Value::Number))
    }

    fn visit_str<E>(self, text: &str) -> Result<Value, E> {
        Ok(Value::from(text))
    }

    fn visit_seq<A>(self, mut elements: A) -> Result<Value, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let mut list = Vec::new();
        loop {
            let place = format!("{}[{}]", self.place, list.len());
            let seed = ValueSeed { place, findings: &mut *self.findings };
            match elements.next_element_seed(seed)? {
                Some(value) => list.push(value),
                None => return Ok(Value::Array(list)),
            }
        }
    }

    fn visit_map<A>(self, mut members: A) -> Result<Value, A::Error>
    where
        A: MapAccess<'de>,
    {
        let mut fields = Map::new();
        while let Some(name) = members.next_key::<String>()? {
            let place = child_place(&self.place, &name);
            if fields.contains_key(&name) {
                self.findings.push(place.clone(), "duplicate member; allowed: each name once");
            }
            let seed = ValueSeed { place, findings: &mut *self.findings };
            fields.insert(name, members.next_value_seed(seed)?);
        }
        Ok(Value::Object(fields))
    }
}
