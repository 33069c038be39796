//! Rows by key and by the revision of their last change.

use std::{
    borrow::Borrow,
    cmp::Ordering,
    collections::{BTreeMap, btree_map::Entry},
};

use crate::store::Rev;

/// Rows that are found by their key, and by the revision at which they changed.
///
/// ```
/// # use curranthook_gateway::{replication::index::Index, store::Rev};
/// let mut index = Index::default();
/// index.insert("a", Rev(1), 10);
/// index.insert("b", Rev(2), 20);
/// index.insert("a", Rev(3), 11);
/// let changed: Vec<_> = index.changed_since(Rev(1)).collect();
/// assert_eq!(changed, [(&"b", Rev(2), &20), (&"a", Rev(3), &11)]);
/// ```
#[derive(Debug)]
pub struct Index<K, V> {
    rows: BTreeMap<K, Row<V>>,
    /// The keys by revision and order of insertion. A revision may have changed several rows.
    by_rev: BTreeMap<Position, K>,
    next_seq: u64,
}

type Position = (Rev, u64);

#[derive(Debug)]
struct Row<V> {
    position: Position,
    value: V,
}

impl<K, V> Default for Index<K, V> {
    fn default() -> Self {
        Self { rows: BTreeMap::new(), by_rev: BTreeMap::new(), next_seq: 0 }
    }
}

impl<K: Ord + Clone, V> Index<K, V> {
    /// Inserts a row, in place of the one with the same key.
    pub fn insert(&mut self, key: K, rev: Rev, value: V) {
        let position = (rev, self.next_seq);
        self.next_seq += 1;
        let row = Row { position, value };
        match self.rows.entry(key.clone()) {
            Entry::Occupied(mut it) => {
                let replaced = it.insert(row);
                self.by_rev.remove(&replaced.position);
            }
            Entry::Vacant(it) => {
                it.insert(row);
            }
        }
        self.by_rev.insert(position, key);
    }

    /// Removes a row.
    pub fn remove<Q: Ord + ?Sized>(&mut self, key: &Q)
    where
        K: Borrow<Q>,
    {
        if let Some(it) = self.rows.remove(key) {
            self.by_rev.remove(&it.position);
        }
    }

    /// The revision and the value of the row with this key.
    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<(Rev, &V)>
    where
        K: Borrow<Q>,
    {
        self.rows.get(key).map(|it| (it.position.0, &it.value))
    }

    /// All rows by their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&K, Rev, &V)> {
        self.rows.iter().map(|(key, it)| (key, it.position.0, &it.value))
    }

    /// The rows that changed after `since`, the oldest change first.
    pub fn changed_since(&self, since: Rev) -> impl Iterator<Item = (&K, Rev, &V)> {
        let first = (Rev(since.0.saturating_add(1)), 0);
        let changed = self.by_rev.range(first..);
        changed.filter_map(|((rev, _), key)| Some((key, *rev, &self.rows.get(key)?.value)))
    }

    /// The rows that changed after `since` and before `end`, the newest change first.
    pub fn changed_between(&self, since: Rev, end: Rev) -> impl Iterator<Item = (&K, Rev, &V)> {
        let first = (Rev(since.0.saturating_add(1)), 0);
        let end = (end, 0).max(first);
        let changed = self.by_rev.range(first..end).rev();
        changed.filter_map(|((rev, _), key)| Some((key, *rev, &self.rows.get(key)?.value)))
    }

    /// The revision of the last change; none if there are no rows.
    pub fn last_rev(&self) -> Option<Rev> {
        self.by_rev.last_key_value().map(|((rev, _), _)| *rev)
    }

    /// The keys that are not among `present`, which must be in ascending order.
    pub fn keys_not_in<'a>(&'a self, present: impl IntoIterator<Item = &'a K>) -> Vec<&'a K> {
        let mut present = present.into_iter().peekable();
        let is_absent = |key: &&K| {
            while let Some(it) = present.peek() {
                match (*it).cmp(key) {
                    Ordering::Less => present.next(),
                    Ordering::Equal => return false,
                    Ordering::Greater => return true,
                };
            }
            true
        };
        self.rows.keys().filter(is_absent).collect()
    }

    /// The number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there are no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
