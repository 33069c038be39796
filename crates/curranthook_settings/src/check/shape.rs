//! Types, units and ranges of single values.

use std::{collections::BTreeMap, net::SocketAddr};

use super::{Finding, path};
use crate::source::{Node, Value};

/// What a value must look like.
#[derive(Debug)]
pub(crate) enum Shape {
    /// A name that stands for something elsewhere, which the reference checks look at.
    Text,
    /// An id that is declared here.
    Id,
    Bool,
    /// From 0 to 1.
    Fraction,
    /// Any number over 0.
    Positive,
    Integer,
    Whole {
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
    Map(Name, &'static Shape),
    Record(&'static [Field]),
}

/// What the keys of a map must look like.
#[derive(Debug)]
pub(crate) enum Name {
    Plain,
    /// `model@version`
    Version,
}

#[derive(Debug)]
pub(crate) struct Field {
    name: &'static str,
    shape: Shape,
    need: Need,
}

#[derive(Debug, PartialEq)]
enum Need {
    Required,
    Optional,
}

pub(crate) const fn required(name: &'static str, shape: Shape) -> Field {
    Field { name, shape, need: Need::Required }
}

pub(crate) const fn optional(name: &'static str, shape: Shape) -> Field {
    Field { name, shape, need: Need::Optional }
}

/// Checks `node` and all below it. `base` is the base file, if `node` was merged from one.
pub(crate) fn check(node: &Node, shape: &Shape, base: Option<&str>, out: &mut Vec<Finding>) {
    Walk { base, out }.node(node, shape, "");
}

struct Walk<'a> {
    base: Option<&'a str>,
    out: &'a mut Vec<Finding>,
}

impl Walk<'_> {
    fn node(&mut self, node: &Node, shape: &Shape, at: &str) {
        for (key, location) in &node.repeated {
            let message = "stands twice in the same map";
            self.out.push(Finding::error(location, &path::key(at, key), message));
        }
        match (shape, &node.value) {
            (Shape::Record(fields), Value::Map(map)) => self.record(node, map, fields, at),
            (Shape::Map(name, item), Value::Map(map)) => self.map(map, name, item, at),
            (Shape::List(item), Value::List(list)) => self.list(list, item, at),
            (_, value) => {
                if let Err(message) = scalar(shape, value) {
                    self.out.push(Finding::error(&node.location, at, message));
                }
            }
        }
    }

    fn record(&mut self, node: &Node, map: &BTreeMap<String, Node>, fields: &[Field], at: &str) {
        for (key, child) in map {
            let at = path::key(at, key);
            match fields.iter().find(|it| it.name == key) {
                Some(field) => self.node(child, &field.shape, &at),
                None => self.out.push(Finding::error(&child.location, &at, unknown(fields))),
            }
        }
        let missing =
            fields.iter().filter(|it| it.need == Need::Required && !map.contains_key(it.name));
        for field in missing {
            let message = self.lacks(node, field.name, at);
            self.out.push(Finding::error(&node.location, &path::key(at, field.name), message));
        }
    }

    fn lacks(&self, node: &Node, name: &str, at: &str) -> String {
        if name == "site" && at.is_empty() {
            return "lacks `site`, the site's name".to_owned();
        }
        let is_from_base = self.base.is_none_or(|base| base == &*node.location.file);
        if at.is_empty() || is_from_base {
            return format!("lacks `{name}`");
        }
        format!("isn't in the base file and can't stand alone: lacks `{name}`")
    }

    fn map(&mut self, map: &BTreeMap<String, Node>, name: &Name, item: &Shape, at: &str) {
        for (key, child) in map {
            let at = path::key(at, key);
            if let Err(message) = check_name(name, key) {
                self.out.push(Finding::error(&child.location, &at, message));
            }
            self.node(child, item, &at);
        }
    }

    fn list(&mut self, list: &[Node], item: &Shape, at: &str) {
        for (index, child) in list.iter().enumerate() {
            self.node(child, item, &path::index(at, index));
        }
    }
}

fn unknown(fields: &[Field]) -> String {
    let names: Vec<_> = fields.iter().map(|it| it.name).collect();
    format!("unknown key; known are {}", names.join(", "))
}

fn check_name(name: &Name, key: &str) -> Result<(), &'static str> {
    // Names stand in URLs, object keys and metric names.
    if key.is_empty() || key.contains(|c: char| c.is_whitespace() || c.is_control() || c == '/') {
        return Err("a name has at least one character, no spaces and no slashes");
    }
    let has_version =
        key.split_once('@').is_some_and(|(model, it)| !model.is_empty() && !it.is_empty());
    match name {
        Name::Version if !has_version => Err("must be written `model@version`"),
        Name::Version | Name::Plain => Ok(()),
    }
}

fn scalar(shape: &Shape, value: &Value) -> Result<(), String> {
    if matches!(value, Value::Null) {
        return Err("has no value; leave the key out".to_owned());
    }
    if let (Shape::Id, Value::Text(id)) = (shape, value) {
        return check_name(&Name::Plain, id).map_err(str::to_owned);
    }
    let is_right = match (shape, value) {
        (Shape::Text, Value::Text(text)) => !text.trim().is_empty(),
        (Shape::Bool, Value::Bool(_)) => true,
        (Shape::Fraction, Value::Number(it)) => {
            it.as_f64().is_some_and(|it| (0.0..=1.0).contains(&it))
        }
        (Shape::Positive, Value::Number(it)) => it.as_f64().is_some_and(|it| 0.0 < it),
        (Shape::Integer, Value::Number(it)) => {
            it.as_i64().is_some_and(|it| i32::try_from(it).is_ok())
        }
        (Shape::Whole { min, .. }, Value::Number(it)) => it.as_u64().is_some_and(|it| *min <= it),
        (Shape::Address { min_port }, Value::Text(it)) => {
            it.parse().is_ok_and(|it: SocketAddr| *min_port <= it.port())
        }
        (Shape::KeyHash, Value::Text(it)) => {
            const BYTES: usize = 32;
            hex::decode(it).is_ok_and(|it| it.len() == BYTES)
        }
        (Shape::Secret { min_bytes }, Value::Text(it)) => {
            hex::decode(it).is_ok_and(|it| *min_bytes <= it.len())
        }
        (Shape::OneOf(names), Value::Text(it)) => names.contains(&it.as_str()),
        _ => false,
    };
    if is_right { Ok(()) } else { Err(expected(shape)) }
}

/// Says what was expected. The value itself isn't quoted, as it may be a secret.
fn expected(shape: &Shape) -> String {
    match shape {
        Shape::Text | Shape::Id => {
            "must be text; a text that looks like a number needs quotes".to_owned()
        }
        Shape::Bool => "must be true or false".to_owned(),
        Shape::Fraction => "must be a number from 0 to 1".to_owned(),
        Shape::Positive => "must be a number over 0".to_owned(),
        Shape::Integer => "must be a whole number of 32 bits".to_owned(),
        Shape::Whole { min, unit } => format!("must be a whole number{unit}, {min} or more"),
        Shape::Address { min_port: 0 } => "must be IP:port, such as 10.0.0.7:8080".to_owned(),
        Shape::Address { .. } => {
            "must be IP:port, such as 10.0.0.7:8080, and the port not 0".to_owned()
        }
        Shape::KeyHash => {
            "must be the SHA-256 of a key in 64 hexadecimal digits, in quotes; a key \
                           itself never stands in a file (see `curranthook accounts hash-key`)"
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
