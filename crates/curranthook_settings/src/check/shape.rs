//! Checks the fields, types, units and ranges of values.

use std::{collections::BTreeMap, net::SocketAddr};

use super::{Finding, path};
use crate::source::{Node, Value};

/// The type and range that a value must have.
#[derive(Debug)]
pub(crate) enum Shape {
    /// A name that refers to something declared elsewhere, which the reference checks validate.
    Text,
    /// An id that this value declares.
    Id,
    Bool,
    /// A number from 0 to 1.
    Fraction,
    /// A number greater than 0.
    Positive,
    Integer,
    Unsigned {
        min: u64,
        unit: &'static str,
    },
    Address {
        min_port: u16,
    },
    /// The SHA-256 of a key, in hexadecimal.
    KeyHash,
    /// Secret bytes, in hexadecimal.
    Secret {
        min_bytes: usize,
    },
    OneOf(&'static [&'static str]),
    List(&'static Shape),
    Map(KeyFormat, &'static Shape),
    Record(&'static [Field]),
}

/// The format that the keys of a map must have.
#[derive(Debug)]
pub(crate) enum KeyFormat {
    Plain,
    /// A model and a version of it, as `model@version`.
    Version,
}

#[derive(Debug)]
pub(crate) struct Field {
    name: &'static str,
    shape: Shape,
    presence: Presence,
}

#[derive(Debug, PartialEq)]
enum Presence {
    Required,
    Optional,
}

pub(crate) const fn required(name: &'static str, shape: Shape) -> Field {
    Field { name, shape, presence: Presence::Required }
}

pub(crate) const fn optional(name: &'static str, shape: Shape) -> Field {
    Field { name, shape, presence: Presence::Optional }
}

/// Checks `node` and its descendants. `base_file` is the name of the base file, if `node`
/// was merged from one.
pub(crate) fn check(node: &Node, shape: &Shape, base_file: Option<&str>, out: &mut Vec<Finding>) {
    Checker { base_file, out }.check_node(node, shape, "");
}

struct Checker<'a> {
    base_file: Option<&'a str>,
    out: &'a mut Vec<Finding>,
}

impl Checker<'_> {
    fn check_node(&mut self, node: &Node, shape: &Shape, path: &str) {
        for (key, location) in &node.duplicate_keys {
            let message = "duplicate key in the same map";
            self.out.push(Finding::error(location, &path::key(path, key), message));
        }
        match (shape, &node.value) {
            (Shape::Record(fields), Value::Map(map)) => self.check_record(node, map, fields, path),
            (Shape::Map(format, item), Value::Map(map)) => self.check_map(map, format, item, path),
            (Shape::List(item), Value::List(list)) => self.check_list(list, item, path),
            (_, value) => {
                if let Err(message) = check_scalar(shape, value) {
                    self.out.push(Finding::error(&node.location, path, message));
                }
            }
        }
    }

    fn check_record(
        &mut self,
        node: &Node,
        map: &BTreeMap<String, Node>,
        fields: &[Field],
        path: &str,
    ) {
        for (key, child) in map {
            let path = path::key(path, key);
            match fields.iter().find(|it| it.name == key) {
                Some(field) => self.check_node(child, &field.shape, &path),
                None => self.out.push(Finding::error(
                    &child.location,
                    &path,
                    unknown_key_message(fields),
                )),
            }
        }
        let missing = fields
            .iter()
            .filter(|it| it.presence == Presence::Required && !map.contains_key(it.name));
        for field in missing {
            let message = self.missing_key_message(node, field.name, path);
            self.out.push(Finding::error(&node.location, &path::key(path, field.name), message));
        }
    }

    fn missing_key_message(&self, node: &Node, name: &str, path: &str) -> String {
        if name == "site" && path.is_empty() {
            return "lacks `site`, the site's name".to_owned();
        }
        let is_from_base = self.base_file.is_none_or(|it| it == &*node.location.file);
        if path.is_empty() || is_from_base {
            return format!("lacks `{name}`");
        }
        format!("isn't in the base file and can't stand alone: lacks `{name}`")
    }

    fn check_map(
        &mut self,
        map: &BTreeMap<String, Node>,
        format: &KeyFormat,
        item: &Shape,
        path: &str,
    ) {
        for (key, child) in map {
            let path = path::key(path, key);
            if let Err(message) = check_key(format, key) {
                self.out.push(Finding::error(&child.location, &path, message));
            }
            self.check_node(child, item, &path);
        }
    }

    fn check_list(&mut self, list: &[Node], item: &Shape, path: &str) {
        for (index, child) in list.iter().enumerate() {
            self.check_node(child, item, &path::index(path, index));
        }
    }
}

fn unknown_key_message(fields: &[Field]) -> String {
    let names: Vec<_> = fields.iter().map(|it| it.name).collect();
    format!("unknown key; known are {}", names.join(", "))
}

fn check_key(format: &KeyFormat, key: &str) -> Result<(), &'static str> {
    // Names become parts of URLs, object keys and metric names.
    if key.is_empty() || key.contains(|c: char| c.is_whitespace() || c.is_control() || c == '/') {
        return Err("a name has at least one character, no spaces and no slashes");
    }
    let has_version =
        key.split_once('@').is_some_and(|(model, it)| !model.is_empty() && !it.is_empty());
    match format {
        KeyFormat::Version if !has_version => Err("must be written `model@version`"),
        KeyFormat::Version | KeyFormat::Plain => Ok(()),
    }
}

fn check_scalar(shape: &Shape, value: &Value) -> Result<(), String> {
    if matches!(value, Value::Null) {
        return Err("has no value; leave the key out".to_owned());
    }
    if let (Shape::Id, Value::Text(id)) = (shape, value) {
        return check_key(&KeyFormat::Plain, id).map_err(str::to_owned);
    }
    let is_valid = match (shape, value) {
        (Shape::Text, Value::Text(text)) => !text.trim().is_empty(),
        (Shape::Bool, Value::Bool(_)) => true,
        (Shape::Fraction, Value::Number(it)) => {
            it.as_f64().is_some_and(|it| (0.0..=1.0).contains(&it))
        }
        (Shape::Positive, Value::Number(it)) => it.as_f64().is_some_and(|it| 0.0 < it),
        (Shape::Integer, Value::Number(it)) => {
            it.as_i64().is_some_and(|it| i32::try_from(it).is_ok())
        }
        (Shape::Unsigned { min, .. }, Value::Number(it)) => {
            it.as_u64().is_some_and(|it| *min <= it)
        }
        (Shape::Address { min_port }, Value::Text(it)) => {
            it.parse().is_ok_and(|it: SocketAddr| *min_port <= it.port())
        }
        (Shape::KeyHash, Value::Text(it)) => {
            const SHA256_BYTES: usize = 32;
            hex::decode(it).is_ok_and(|it| it.len() == SHA256_BYTES)
        }
        (Shape::Secret { min_bytes }, Value::Text(it)) => {
            hex::decode(it).is_ok_and(|it| *min_bytes <= it.len())
        }
        (Shape::OneOf(names), Value::Text(it)) => names.contains(&it.as_str()),
        _ => false,
    };
    if is_valid { Ok(()) } else { Err(expected_message(shape)) }
}

/// Describes the expected value. The actual value is omitted, as it may be a secret.
fn expected_message(shape: &Shape) -> String {
    match shape {
        Shape::Text | Shape::Id => {
            "must be text; a text that looks like a number needs quotes".to_owned()
        }
        Shape::Bool => "must be true or false".to_owned(),
        Shape::Fraction => "must be a number from 0 to 1".to_owned(),
        Shape::Positive => "must be a number over 0".to_owned(),
        Shape::Integer => "must be a whole number of 32 bits".to_owned(),
        Shape::Unsigned { min, unit } => format!("must be a whole number{unit}, {min} or more"),
        Shape::Address { min_port: 0 } => "must be IP:port, such as 10.0.0.7:8080".to_owned(),
        Shape::Address { .. } => {
            "must be IP:port, such as 10.0.0.7:8080, and the port not 0".to_owned()
        }
        Shape::KeyHash => {
            "must be the SHA-256 of a key in 64 hexadecimal digits, in quotes; a key \
                           itself must not be in a file (see `curranthook accounts hash-key`)"
                .to_owned()
        }
        Shape::Secret { min_bytes } => {
            format!("must be at least {min_bytes} bytes in hexadecimal digits, in quotes")
        }
        Shape::OneOf(names) => format!("must be one of {}", names.join(", ")),
        Shape::List(_) => "must be a list".to_owned(),
        Shape::Map(..) | Shape::Record(_) => "must be a map".to_owned(),
    }
}
