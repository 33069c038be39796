//! An in-memory platform with fault injection for writes.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Mutex, MutexGuard},
};

use bytes::Bytes;
use curranthook_platform::{BoxFuture, Error, Objects, Row, Table, Tag, Write};
use curranthook_settings::{Document, document::ROW};

/// Returns the document that another operator publishes, given the current one.
pub type Edit = fn(&Document) -> Document;

/// A fault injected into one write.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// The service rejects the write as unavailable.
    Unavailable,
    /// The write is lost before it takes effect, and no response arrives.
    RequestLost,
    /// The write takes effect, but its response is lost.
    ResponseLost,
    /// The response is lost, and the write takes effect only when the next write arrives.
    Delayed,
    /// Another operator publishes just before the write.
    ConcurrentPublication(Edit),
    /// The write takes effect, its response is lost, and the platform is unavailable from then on.
    OutageAfterWrite,
    /// The write takes effect, its response is lost, and another operator publishes afterwards.
    ResponseLostThenPublication(Edit),
}

/// A table and an object store in memory.
#[derive(Debug, Default)]
pub struct Platform(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<(String, String), (u64, Bytes)>,
    objects: BTreeMap<String, Bytes>,
    faults: VecDeque<Fault>,
    delayed: Option<(Option<Tag>, Bytes)>,
    is_unavailable: bool,
}

impl Platform {
    /// Queues faults: each is injected into one of the next writes, in order.
    pub fn inject(&self, faults: &[Fault]) {
        self.state().faults.extend(faults);
    }

    /// Ends an outage started by [`Fault::OutageAfterWrite`].
    pub fn end_outage(&self) {
        self.state().is_unavailable = false;
    }

    /// Returns the published document, or an empty one.
    pub fn document(&self) -> Document {
        self.state().document()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no test panics in here")
    }
}

impl State {
    fn document(&self) -> Document {
        let row = self.rows.get(&(ROW.0.to_owned(), ROW.1.to_owned()));
        let document = |value: &Bytes| serde_json::from_slice(value).expect("a document");
        row.map(|(_, value)| document(value)).unwrap_or_default()
    }

    fn replace_if_matches(&mut self, tag: Option<&Tag>, value: Bytes) -> Write {
        let key = (ROW.0.to_owned(), ROW.1.to_owned());
        let current = self.rows.get(&key).map(|(revision, _)| *revision);
        if current.map(|revision| Tag(revision.to_string())).as_ref() != tag {
            return Write::Conflict;
        }
        let revision = current.unwrap_or(0) + 1;
        self.rows.insert(key, (revision, value));
        Write::Done(Tag(revision.to_string()))
    }

    fn publish(&mut self, edit: Edit) {
        let next = serde_json::to_vec(&edit(&self.document())).expect("JSON");
        let row = self.rows.entry((ROW.0.to_owned(), ROW.1.to_owned())).or_default();
        *row = (row.0 + 1, next.into());
    }

    fn write(&mut self, tag: Option<&Tag>, value: Bytes) -> Result<Write, Error> {
        if self.is_unavailable {
            return Err(Error::Down("503".to_owned()));
        }
        if let Some((tag, value)) = self.delayed.take() {
            self.replace_if_matches(tag.as_ref(), value);
        }
        let lost_error = Err(Error::Lost("cut".to_owned()));
        match self.faults.pop_front() {
            None => Ok(self.replace_if_matches(tag, value)),
            Some(Fault::Unavailable) => Err(Error::Down("503".to_owned())),
            Some(Fault::RequestLost) => lost_error,
            Some(Fault::ResponseLost) => {
                self.replace_if_matches(tag, value);
                lost_error
            }
            Some(Fault::OutageAfterWrite) => {
                self.replace_if_matches(tag, value);
                self.is_unavailable = true;
                lost_error
            }
            Some(Fault::Delayed) => {
                self.delayed = Some((tag.cloned(), value));
                lost_error
            }
            Some(Fault::ConcurrentPublication(edit)) => {
                self.publish(edit);
                Ok(self.replace_if_matches(tag, value))
            }
            Some(Fault::ResponseLostThenPublication(edit)) => {
                self.replace_if_matches(tag, value);
                self.publish(edit);
                lost_error
            }
        }
    }
}

impl Table for Platform {
    fn get<'a>(&'a self, table: &'a str, key: &'a str) -> BoxFuture<'a, Option<Row>> {
        let state = self.state();
        let row = if state.is_unavailable {
            Err(Error::Down("503".to_owned()))
        } else {
            let row = state.rows.get(&(table.to_owned(), key.to_owned())).cloned();
            Ok(row.map(|(revision, value)| Row {
                key: key.to_owned(),
                tag: Tag(revision.to_string()),
                value,
            }))
        };
        Box::pin(std::future::ready(row))
    }

    fn get_newer<'a>(
        &'a self,
        table: &'a str,
        key: &'a str,
        _known: Option<&'a Tag>,
    ) -> BoxFuture<'a, Option<Row>> {
        Table::get(self, table, key)
    }

    fn list<'a>(&'a self, _table: &'a str, _prefix: &'a str) -> BoxFuture<'a, Vec<Row>> {
        Box::pin(std::future::ready(Ok(Vec::new())))
    }

    fn insert<'a>(&'a self, _table: &'a str, _key: &'a str, value: Bytes) -> BoxFuture<'a, Write> {
        Box::pin(std::future::ready(self.state().write(None, value)))
    }

    fn replace<'a>(
        &'a self,
        _table: &'a str,
        _key: &'a str,
        tag: &'a Tag,
        value: Bytes,
    ) -> BoxFuture<'a, Write> {
        Box::pin(std::future::ready(self.state().write(Some(tag), value)))
    }
}

impl Objects for Platform {
    fn put_if_absent<'a>(&'a self, key: &'a str, value: Bytes) -> BoxFuture<'a, Write> {
        self.state().objects.entry(key.to_owned()).or_insert(value);
        Box::pin(std::future::ready(Ok(Write::Done(Tag(String::new())))))
    }

    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Option<Bytes>> {
        Box::pin(std::future::ready(Ok(self.state().objects.get(key).cloned())))
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Vec<String>> {
        let state = self.state();
        let keys = state.objects.keys().filter(|it| it.starts_with(prefix)).cloned().collect();
        Box::pin(std::future::ready(Ok(keys)))
    }
}
