//! Reads JSON documents field by field, and collects all findings instead of stopping at the first one.

use std::fmt::Display;

use serde_json::{Map, Value};

use crate::error::Findings;

/// Maximum length of the excerpt of an invalid value in a finding, in characters.
const MAX_QUOTED_CHARS: usize = 60;

/// JSON path of the document root.
pub(crate) const ROOT_PLACE: &str = "$";

/// Reads the fields of one JSON object.
///
/// Each requested field counts as known; [`ObjectReader::finish`] reports all other fields. An invalid or missing field
/// yields `None` and a finding, and does not stop the reader.
pub(crate) struct ObjectReader<'d, 'f> {
    place: String,
    fields: Option<&'d Map<String, Value>>,
    known: Vec<&'static str>,
    findings: &'f mut Findings,
}

impl<'d, 'f> ObjectReader<'d, 'f> {
    /// Creates a reader of `value` at the JSON path `place`. A value that isn't an object is a finding.
    pub(crate) fn new(
        value: &'d Value,
        place: impl Into<String>,
        findings: &'f mut Findings,
    ) -> Self {
        let place = place.into();
        let fields = value.as_object();
        if fields.is_none() {
            findings.push(place.clone(), unexpected(value, "an object"));
        }
        ObjectReader { place, fields, known: Vec::new(), findings }
    }

    /// Returns the JSON path of the field `name`.
    pub(crate) fn place_of(&self, name: &str) -> String {
        child_place(&self.place, name)
    }

    /// Records a finding about the field `name`.
    pub(crate) fn report(&mut self, name: &str, message: impl Into<String>) {
        let place = self.place_of(name);
        self.findings.push(place, message);
    }

    /// Returns the field `name`, if present, and marks it as known.
    pub(crate) fn field(&mut self, name: &'static str) -> Option<&'d Value> {
        self.known.push(name);
        self.fields?.get(name)
    }

    /// Returns the field `name`, converted by `convert`. `allowed` describes the valid values for the finding.
    pub(crate) fn optional<T, C>(
        &mut self,
        name: &'static str,
        allowed: &str,
        convert: C,
    ) -> Option<T>
    where
        C: FnOnce(&'d Value) -> Option<T>,
    {
        let value = self.field(name)?;
        let converted = convert(value);
        if converted.is_none() {
            self.report(name, unexpected(value, allowed));
        }
        converted
    }

    /// Returns the field `name` like [`ObjectReader::optional`]; its absence is a finding.
    pub(crate) fn required<T, C>(
        &mut self,
        name: &'static str,
        allowed: &str,
        convert: C,
    ) -> Option<T>
    where
        C: FnOnce(&'d Value) -> Option<T>,
    {
        let missing = self.fields.is_some_and(|fields| !fields.contains_key(name));
        if missing {
            self.known.push(name);
            self.report(name, format!("is missing; allowed: {allowed}"));
            return None;
        }
        self.optional(name, allowed, convert)
    }

    /// Returns the integer in the field `name`, or the default of `bounds` when it is absent or invalid.
    pub(crate) fn bounded(&mut self, name: &'static str, bounds: NumberBounds) -> u64 {
        let allowed = format!("a whole number from {} to {}", bounds.min, bounds.max);
        let convert = |it: &Value| it.as_u64().filter(|n| (bounds.min..=bounds.max).contains(n));
        self.optional(name, &allowed, convert).unwrap_or(bounds.default)
    }

    /// Returns a reader of the object in the field `name`. An absent field is read as an empty object.
    pub(crate) fn section(&mut self, name: &'static str) -> ObjectReader<'d, '_> {
        let place = self.place_of(name);
        match self.field(name) {
            Some(value) => ObjectReader::new(value, place, self.findings),
            None => {
                ObjectReader { place, fields: None, known: Vec::new(), findings: self.findings }
            }
        }
    }

    /// Returns the entries of the object in the field `name`, or none when it is absent or not an object.
    pub(crate) fn entries(&mut self, name: &'static str) -> Vec<(&'d str, &'d Value)> {
        let entries = self.optional(name, "an object", Value::as_object);
        entries.into_iter().flatten().map(|(key, value)| (key.as_str(), value)).collect()
    }

    /// Returns the findings, for values that are read without this reader.
    pub(crate) fn findings(&mut self) -> &mut Findings {
        self.findings
    }

    /// Reports every field that was not requested.
    pub(crate) fn finish(self) {
        let unknown = self.fields.into_iter().flat_map(Map::keys);
        for name in unknown.filter(|name| !self.known.contains(&name.as_str())) {
            let message = format!("unknown field; allowed: {}", self.known.join(", "));
            self.findings.push(child_place(&self.place, name), message);
        }
    }
}

/// Bounds and default of an integer field.
#[derive(Clone, Copy)]
pub(crate) struct NumberBounds {
    /// Minimum allowed value.
    pub(crate) min: u64,
    /// Maximum allowed value.
    pub(crate) max: u64,
    /// Value for an absent field.
    pub(crate) default: u64,
}

/// Returns the JSON path of the member `name` of the object at `place`.
pub(crate) fn child_place(place: &str, name: impl Display) -> String {
    format!("{place}.{name}")
}

/// Returns the message of a finding for an invalid `value`.
pub(crate) fn unexpected(value: &Value, allowed: &str) -> String {
    let text = value.to_string();
    let quoted = text.chars().take(MAX_QUOTED_CHARS).collect::<String>();
    let ellipsis = if quoted.len() < text.len() { "..." } else { "" };
    format!("found {quoted}{ellipsis}; allowed: {allowed}")
}

/// Maximum length of a name, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 64;

/// Description of valid names for findings.
pub(crate) const NAME_ALLOWED: &str =
    "1 to 64 of the characters a-z, 0-9, '-' and '_', starting with a letter or digit";

/// Returns whether `name` is a valid name of a team, account, route, service, key or instance.
pub(crate) fn is_name(name: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    let starts_plain = name.bytes().next().is_some_and(is_plain);
    let is_inner = |byte: u8| is_plain(byte) || byte == b'-' || byte == b'_';
    starts_plain && name.len() <= MAX_NAME_BYTES && name.bytes().all(is_inner)
}

/// Returns `value` as a name, if it is a valid one.
pub(crate) fn parse_name(value: &Value) -> Option<&str> {
    value.as_str().filter(|name| is_name(name))
}
