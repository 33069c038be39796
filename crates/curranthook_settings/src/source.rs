//! Parses a YAML file to a tree in which each value has its file and line.
//!
//! Typed deserialisation stops at the first error, but operators need all errors at once. Files
//! are therefore parsed to this tree first and checked there.

use std::{collections::BTreeMap, fmt, path::Path, sync::Arc};

use serde::{
    Deserialize, Deserializer,
    de::{self, MapAccess, SeqAccess, Visitor},
};
use serde_saphyr::{DuplicateKeyPolicy, NonFiniteFloatPolicy, Spanned};

/// The source location of a value.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Location {
    /// The file, as named on the command line.
    pub file: Arc<str>,
    /// The line, counted from 1.
    pub line: u64,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file, self.line)
    }
}

/// A value and its location. The location of an entry of a map is that of its key.
#[derive(Debug, Clone)]
pub struct Node {
    /// The location of the value.
    pub location: Location,
    /// The parsed value.
    pub value: Value,
    /// The duplicate keys of this map, with the locations of the duplicates.
    pub duplicate_keys: Vec<(String, Location)>,
}

/// A YAML value.
#[derive(Debug, Clone)]
pub enum Value {
    /// `null` or an absent value.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A finite number.
    Number(serde_json::Number),
    /// Any other scalar, as text.
    Text(String),
    /// A list.
    List(Vec<Node>),
    /// A map.
    Map(BTreeMap<String, Node>),
}

/// Why a file can't be read or parsed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("{file}: {cause}")]
    Io {
        /// The path of the file, as named on the command line.
        file: String,
        /// The error of the operating system.
        cause: String,
    },
    /// The file isn't valid YAML.
    #[error("{location}: {cause}")]
    Syntax {
        /// The location of the error.
        location: Location,
        /// The error of the parser.
        cause: String,
    },
}

/// Reads and parses a file.
///
/// ```
/// # use curranthook_settings::source;
/// assert!(source::read("no/such/file.yaml".as_ref()).is_err());
/// ```
pub fn read(path: &Path) -> Result<Node, Error> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|e| Error::Io { file: file.clone(), cause: e.to_string() })?;
    parse(&file, &text)
}

/// Parses `text`, the content of `file`.
///
/// ```
/// # use curranthook_settings::source;
/// let node = source::parse("a.yaml", "site: vn-south\naccounts:\n  yard-7: {}\n").unwrap();
/// let account = node.get("accounts").unwrap().get("yard-7").unwrap();
/// assert_eq!(account.location.to_string(), "a.yaml:3");
/// ```
pub fn parse(file: &str, text: &str) -> Result<Node, Error> {
    let file: Arc<str> = file.into();
    let options = serde_saphyr::options! {
        // Duplicate keys and infinite numbers are reported with all other errors, so they must not
        // stop the parser.
        duplicate_keys: DuplicateKeyPolicy::PassThrough,
        non_finite_float_policy: NonFiniteFloatPolicy::PassThrough,
        // `no` and `on` are valid names, and strings of hexadecimal digits may begin with zeros.
        strict_booleans: true,
        leading_zero_numbers_as_strings: true,
    };
    let raw: Result<Spanned<Raw>, _> = serde_saphyr::from_str_with_options(text, options);
    let raw = raw.map_err(|e| {
        let line = e.location().map_or(1, |it| it.line());
        let cause = e.without_snippet().to_string();
        Error::Syntax { location: Location { file: Arc::clone(&file), line }, cause }
    })?;
    Ok(raw_to_node(raw, &file))
}

impl Node {
    /// The value of entry `key`, if this is a map that contains it.
    pub fn get(&self, key: &str) -> Option<&Self> {
        match &self.value {
            Value::Map(map) => map.get(key),
            _ => None,
        }
    }

    /// The entries; empty if this isn't a map.
    pub fn entries(&self) -> impl Iterator<Item = (&str, &Self)> {
        let map = match &self.value {
            Value::Map(map) => Some(map),
            _ => None,
        };
        map.into_iter().flatten().map(|(key, node)| (key.as_str(), node))
    }

    /// The items; empty if this isn't a list.
    pub fn items(&self) -> &[Self] {
        match &self.value {
            Value::List(list) => list,
            _ => &[],
        }
    }

    /// The text, if this is a [`Value::Text`].
    pub fn text(&self) -> Option<&str> {
        match &self.value {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    /// The number, if this is a [`Value::Number`].
    pub fn number(&self) -> Option<f64> {
        match &self.value {
            Value::Number(number) => number.as_f64(),
            _ => None,
        }
    }

    /// The value as JSON, without locations. Entries whose value is `null` are omitted.
    ///
    /// ```
    /// # use curranthook_settings::source;
    /// let node = source::parse("a.yaml", "slots: 4\nservice:\n").unwrap();
    /// assert_eq!(node.to_json().to_string(), r#"{"slots":4}"#);
    /// ```
    pub fn to_json(&self) -> serde_json::Value {
        match &self.value {
            Value::Null => serde_json::Value::Null,
            Value::Bool(it) => (*it).into(),
            Value::Number(it) => serde_json::Value::Number(it.clone()),
            Value::Text(it) => it.as_str().into(),
            Value::List(list) => list.iter().map(Self::to_json).collect(),
            Value::Map(map) => {
                let entries = map.iter().filter(|(_, node)| !matches!(node.value, Value::Null));
                entries.map(|(key, node)| (key.clone(), node.to_json())).collect()
            }
        }
    }
}

/// A value as deserialised by the YAML library, without the file's name.
enum Raw {
    Null,
    Bool(bool),
    Number(serde_json::Number),
    Text(String),
    List(Vec<Spanned<Raw>>),
    Map(Vec<(Spanned<String>, Spanned<Raw>)>),
}

fn raw_to_node(raw: Spanned<Raw>, file: &Arc<str>) -> Node {
    // A value in an empty file has no line, so it is reported at line 1.
    let location = Location { file: Arc::clone(file), line: raw.referenced.line().max(1) };
    let value = match raw.value {
        Raw::Null => Value::Null,
        Raw::Bool(it) => Value::Bool(it),
        Raw::Number(it) => Value::Number(it),
        Raw::Text(it) => Value::Text(it),
        Raw::List(list) => Value::List(list.into_iter().map(|it| raw_to_node(it, file)).collect()),
        Raw::Map(entries) => return map_to_node(entries, location),
    };
    Node { location, value, duplicate_keys: Vec::new() }
}

fn map_to_node(entries: Vec<(Spanned<String>, Spanned<Raw>)>, location: Location) -> Node {
    let mut map = BTreeMap::new();
    let mut duplicate_keys = Vec::new();
    for (key, raw) in entries {
        let key_location =
            Location { file: Arc::clone(&location.file), line: key.referenced.line() };
        if map.contains_key(&key.value) {
            duplicate_keys.push((key.value, key_location));
            continue;
        }
        let node = raw_to_node(raw, &location.file);
        map.insert(key.value, Node { location: key_location, ..node });
    }
    Node { location, value: Value::Map(map), duplicate_keys }
}

impl<'de> Deserialize<'de> for Raw {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(RawVisitor)
    }
}

struct RawVisitor;

impl<'de> Visitor<'de> for RawVisitor {
    type Value = Raw;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_unit<E: de::Error>(self) -> Result<Raw, E> {
        Ok(Raw::Null)
    }

    fn visit_none<E: de::Error>(self) -> Result<Raw, E> {
        Ok(Raw::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Raw, D::Error> {
        Raw::deserialize(deserializer)
    }

    fn visit_bool<E: de::Error>(self, it: bool) -> Result<Raw, E> {
        Ok(Raw::Bool(it))
    }

    fn visit_i64<E: de::Error>(self, it: i64) -> Result<Raw, E> {
        Ok(Raw::Number(it.into()))
    }

    fn visit_u64<E: de::Error>(self, it: u64) -> Result<Raw, E> {
        Ok(Raw::Number(it.into()))
    }

    fn visit_i128<E: de::Error>(self, it: i128) -> Result<Raw, E> {
        Ok(Raw::Text(it.to_string()))
    }

    fn visit_u128<E: de::Error>(self, it: u128) -> Result<Raw, E> {
        Ok(Raw::Text(it.to_string()))
    }

    fn visit_f64<E: de::Error>(self, it: f64) -> Result<Raw, E> {
        // JSON has no infinity. As text, the value fails the check of any numeric field.
        let number = serde_json::Number::from_f64(it);
        Ok(number.map_or_else(|| Raw::Text(it.to_string()), Raw::Number))
    }

    fn visit_str<E: de::Error>(self, it: &str) -> Result<Raw, E> {
        Ok(Raw::Text(it.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Raw, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = seq.next_element()? {
            list.push(item);
        }
        Ok(Raw::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Raw, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = map.next_entry()? {
            entries.push(entry);
        }
        Ok(Raw::Map(entries))
    }
}
