//! A platform in memory whose writes can go wrong.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Mutex, MutexGuard},
};

use bytes::Bytes;
use curranthook_platform::{BoxFuture, Error, Objects, Row, Table, Tag, Write};
use curranthook_settings::{Document, document::ROW};

/// What another operator does.
pub type Edit = fn(&Document) -> Document;

/// What goes wrong with one write.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// The service refuses.
    Down,
    /// The write never arrives, nor does an answer.
    LostBefore,
    /// The write takes effect; its answer is lost.
    LostAfter,
    /// The answer is lost, and the write takes effect only when the next one arrives.
    Late,
    /// Another operator publishes just before.
    Quicker(Edit),
    /// The write takes effect, its answer is lost, and the platform is out from then on.
    Outage,
    /// The write takes effect, its answer is lost, and another operator publishes on top.
    LostAfterThen(Edit),
}

/// The platform.
#[derive(Debug, Default)]
pub struct Platform(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<(String, String), (u64, Bytes)>,
    objects: BTreeMap<String, Bytes>,
    faults: VecDeque<Fault>,
    late: Option<(Option<Tag>, Bytes)>,
    is_out: bool,
}

impl Platform {
    /// Lets the next writes go wrong.
    pub fn fail(&self, faults: &[Fault]) {
        self.state().faults.extend(faults);
    }

    /// Ends an outage.
    pub fn restore(&self) {
        self.state().is_out = false;
    }

    /// The published document.
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

    fn apply(&mut self, tag: Option<&Tag>, value: Bytes) -> Write {
        let key = (ROW.0.to_owned(), ROW.1.to_owned());
        let current = self.rows.get(&key).map(|(n, _)| *n);
        if current.map(|n| Tag(n.to_string())).as_ref() != tag {
            return Write::Conflict;
        }
        let n = current.unwrap_or(0) + 1;
        self.rows.insert(key, (n, value));
        Write::Done(Tag(n.to_string()))
    }

    fn publish(&mut self, edit: Edit) {
        let next = serde_json::to_vec(&edit(&self.document())).expect("JSON");
        let row = self.rows.entry((ROW.0.to_owned(), ROW.1.to_owned())).or_default();
        *row = (row.0 + 1, next.into());
    }

    fn write(&mut self, tag: Option<&Tag>, value: Bytes) -> Result<Write, Error> {
        if self.is_out {
            return Err(Error::Down("503".to_owned()));
        }
        if let Some((tag, value)) = self.late.take() {
            self.apply(tag.as_ref(), value);
        }
        let lost = Err(Error::Lost("cut".to_owned()));
        match self.faults.pop_front() {
            None => Ok(self.apply(tag, value)),
            Some(Fault::Down) => Err(Error::Down("503".to_owned())),
            Some(Fault::LostBefore) => lost,
            Some(Fault::LostAfter) => {
                self.apply(tag, value);
                lost
            }
            Some(Fault::Outage) => {
                self.apply(tag, value);
                self.is_out = true;
                lost
            }
            Some(Fault::Late) => {
                self.late = Some((tag.cloned(), value));
                lost
            }
            Some(Fault::Quicker(edit)) => {
                self.publish(edit);
                Ok(self.apply(tag, value))
            }
            Some(Fault::LostAfterThen(edit)) => {
                self.apply(tag, value);
                self.publish(edit);
                lost
            }
        }
    }
}

impl Table for Platform {
    fn get<'a>(&'a self, table: &'a str, key: &'a str) -> BoxFuture<'a, Option<Row>> {
        let state = self.state();
        let row = if state.is_out {
            Err(Error::Down("503".to_owned()))
        } else {
            let row = state.rows.get(&(table.to_owned(), key.to_owned())).cloned();
            Ok(row.map(|(n, value)| Row { key: key.to_owned(), tag: Tag(n.to_string()), value }))
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
