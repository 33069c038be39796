//! Rows or objects with an `ETag` that changes on each write.

use std::collections::BTreeMap;

use bytes::Bytes;
use curranthook_http::{Body, body};
use http::{Method, header};
use serde::Serialize;

use crate::app::{self, Request};

/// Entries by key. Callers hold the platform's lock, so each call is atomic.
#[derive(Debug, Default)]
pub(super) struct Store {
    entries: BTreeMap<String, Entry>,
    n_writes: u64,
}

#[derive(Debug)]
struct Entry {
    tag: String,
    value: Bytes,
}

/// A row in a listing.
#[derive(Debug, Serialize)]
pub(super) struct Row {
    key: String,
    tag: String,
    value: String,
}

impl Store {
    /// Handles a call to the row `{table}/{key}`, or a listing of `{table}`.
    pub(super) fn table_call(&mut self, path: &str, req: &Request) -> http::Response<Body> {
        match req.method {
            Method::GET if path.contains('/') => self.read(path, req),
            Method::GET => {
                let prefix = req.query_param("prefix").unwrap_or_default();
                body::json(200, &self.rows(&format!("{path}/{prefix}")))
            }
            Method::PUT if path.contains('/') => self.write(path, req),
            _ => app::error(405, "not a call to a row or a table"),
        }
    }

    /// Handles a call to the object `key`, or a listing if `key` is empty.
    pub(super) fn object_call(&mut self, key: &str, req: &Request) -> http::Response<Body> {
        match req.method {
            Method::GET if key.is_empty() => {
                let prefix = req.query_param("prefix").unwrap_or_default();
                let keys = self.entries.keys().filter(|key| key.starts_with(prefix));
                body::json(200, &keys.collect::<Vec<_>>())
            }
            Method::GET => self.read(key, req),
            Method::PUT => self.write(key, req),
            _ => app::error(405, "not a call to an object"),
        }
    }

    /// The rows whose path `{table}/{key}` has this prefix, each with its key in the table.
    pub(super) fn rows(&self, prefix: &str) -> Vec<Row> {
        let all = self.entries.range(prefix.to_owned()..);
        let matching = all.take_while(|(path, _)| path.starts_with(prefix));
        matching
            .map(|(path, entry)| Row {
                key: path.split_once('/').map_or(path.as_str(), |(_, key)| key).to_owned(),
                tag: entry.tag.clone(),
                value: text(&entry.value),
            })
            .collect()
    }

    /// All values as text, by key.
    pub(super) fn values_as_text(&self) -> BTreeMap<&str, String> {
        self.entries.iter().map(|(key, entry)| (key.as_str(), text(&entry.value))).collect()
    }

    fn read(&self, path: &str, req: &Request) -> http::Response<Body> {
        let Some(entry) = self.entries.get(path) else { return app::error(404, "no such key") };
        if req.header("if-none-match") == Some(entry.tag.as_str()) {
            return tagged_response(304, &entry.tag, Bytes::new());
        }
        tagged_response(200, &entry.tag, entry.value.clone())
    }

    fn write(&mut self, path: &str, req: &Request) -> http::Response<Body> {
        let current_tag = self.entries.get(path).map(|entry| entry.tag.as_str());
        let is_condition_met = match (req.header("if-none-match"), req.header("if-match")) {
            (Some("*"), None) => current_tag.is_none(),
            (None, Some(tag)) => current_tag == Some(tag),
            _ => return app::error(428, "a write needs one condition"),
        };
        if !is_condition_met {
            return app::error(412, "the condition doesn't hold");
        }
        let status = if current_tag.is_none() { 201 } else { 200 };
        self.n_writes += 1;
        let tag = format!("\"{}\"", self.n_writes);
        let entry = Entry { tag: tag.clone(), value: req.body.clone() };
        self.entries.insert(path.to_owned(), entry);
        tagged_response(status, &tag, Bytes::new())
    }
}

fn tagged_response(status: u16, tag: &str, value: Bytes) -> http::Response<Body> {
    http::Response::builder()
        .status(status)
        .header(header::ETAG, tag)
        .body(body::full(value))
        .expect("a tag is a valid header")
}

fn text(value: &Bytes) -> String {
    String::from_utf8_lossy(value).into_owned()
}
