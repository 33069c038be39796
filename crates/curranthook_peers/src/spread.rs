//! The newest published configuration, and how it gets to peers.
//!
//! Only ever a higher epoch replaces the one in force. Between near epochs a delta travels in
//! place of the document. The receiver checks that the delta starts from the document it has and
//! gives the one that was meant; else it asks for the whole.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use arc_swap::ArcSwapOption;
use async_channel::Sender;
use curranthook_platform::Tag;
use curranthook_settings::Document;
use curranthook_types::Epoch;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_with::{hex::Hex, serde_as};
use sha2::{Digest, Sha256};

/// For how many epochs back deltas are made.
const HISTORY: usize = 16;

/// What one peer sends another that has an older epoch.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Transfer {
    /// Nothing newer.
    Nothing,
    /// The change since `base`.
    Delta {
        /// The epoch that it applies to.
        base: Epoch,
        /// The changes.
        patch: json_patch::Patch,
        /// SHA-256 of the document that results, written as JSON.
        #[serde_as(as = "Hex")]
        hash: [u8; 32],
        /// The state of the table's row.
        tag: Option<Tag>,
    },
    /// The whole document.
    Full {
        /// The document.
        document: Box<Document>,
        /// The state of the table's row.
        tag: Option<Tag>,
    },
}

/// A delta can't be used: it starts from another epoch, or doesn't give what it should.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the delta doesn't fit")]
pub struct Misfit;

#[derive(Debug, Default)]
struct History {
    /// The state of the table's row that holds the newest document, if known. It travels with
    /// the document: a node that has an epoch from a peer would otherwise read the whole row at
    /// its next poll, only to find what it has.
    tag: Option<Tag>,
    values: VecDeque<(Epoch, Value)>,
    deltas: HashMap<Epoch, Transfer>,
    waiting: Vec<Sender<()>>,
}

/// The newest document that a node knows.
#[derive(Debug, Default)]
pub struct Spread {
    newest: ArcSwapOption<Document>,
    history: Mutex<History>,
}

impl Spread {
    /// The newest document, if any is known.
    pub fn document(&self) -> Option<Arc<Document>> {
        self.newest.load_full()
    }

    /// The newest epoch; zero when none is known.
    pub fn epoch(&self) -> Epoch {
        self.epoch_of_newest().unwrap_or_default()
    }

    /// Waits for a document of a higher epoch than `after`.
    pub async fn next(&self, after: Epoch) -> Arc<Document> {
        loop {
            let (tx, rx) = async_channel::bounded::<()>(1);
            self.history.lock().waiting.push(tx);
            if let Some(document) = self.document().filter(|it| after < it.epoch) {
                return document;
            }
            let _woken = rx.recv().await;
        }
    }

    /// The state of the table's row that holds the newest document.
    pub fn tag(&self) -> Option<Tag> {
        self.history.lock().tag.clone()
    }

    /// Takes over `document` if its epoch is higher, and says whether it did.
    pub fn offer(&self, document: Document, tag: Option<Tag>) -> bool {
        // The lock orders writers: of two offers at once the lower must not land last.
        let mut history = self.history.lock();
        let known = self.epoch_of_newest();
        if known.is_some_and(|it| document.epoch <= it) {
            if known == Some(document.epoch) && tag.is_some() {
                history.tag = tag;
            }
            return false;
        }
        history.tag = tag;
        let value = serde_json::to_value(&document).expect("a document can be written as JSON");
        history.values.push_back((document.epoch, value));
        if HISTORY < history.values.len() {
            history.values.pop_front();
        }
        history.deltas.clear();
        self.newest.store(Some(Arc::new(document)));
        // Dropping the senders wakes all that wait.
        history.waiting.clear();
        true
    }

    /// What someone who has epoch `have` needs; `have` is zero to ask for the whole.
    pub fn transfer(&self, have: Epoch) -> Transfer {
        let Some(newest) = self.document() else { return Transfer::Nothing };
        if newest.epoch <= have {
            return Transfer::Nothing;
        }
        self.delta(have, &newest).unwrap_or_else(|| {
            let document = Box::new((*newest).clone());
            Transfer::Full { document, tag: self.tag_of(newest.epoch) }
        })
    }

    /// Takes over what a peer sent; `Ok(false)` if it's nothing newer.
    pub fn apply(&self, transfer: Transfer) -> Result<bool, Misfit> {
        match transfer {
            Transfer::Nothing => Ok(false),
            Transfer::Full { document, tag } => Ok(self.offer(*document, tag)),
            Transfer::Delta { base, patch, hash, tag } => {
                let document = self.patched(base, &patch).ok_or(Misfit)?;
                // A node that holds another document under the base's epoch, or lost a digit of
                // a number on the way, would go on with a configuration nobody published.
                if digest(&document) != hash {
                    return Err(Misfit);
                }
                Ok(self.offer(document, tag))
            }
        }
    }

    fn epoch_of_newest(&self) -> Option<Epoch> {
        self.newest.load().as_ref().map(|it| it.epoch)
    }

    /// The tag, unless a newer document has come meanwhile.
    fn tag_of(&self, epoch: Epoch) -> Option<Tag> {
        let history = self.history.lock();
        history.tag.clone().filter(|_| self.epoch_of_newest() == Some(epoch))
    }

    fn delta(&self, have: Epoch, newest: &Document) -> Option<Transfer> {
        let mut history = self.history.lock();
        if let Some(delta) = history.deltas.get(&have) {
            return Some(delta.clone());
        }
        let (_, base) = history.values.iter().find(|(epoch, _)| *epoch == have)?;
        let (_, value) = history.values.iter().find(|(epoch, _)| *epoch == newest.epoch)?;
        let patch = json_patch::diff(base, value);
        // Under the lock no newer document can come, so the tag is that of the newest one.
        let tag = history.tag.clone().filter(|_| self.epoch_of_newest() == Some(newest.epoch));
        let delta = Transfer::Delta { base: have, patch, hash: digest(newest), tag };
        if self.epoch_of_newest() == Some(newest.epoch) {
            history.deltas.insert(have, delta.clone());
        }
        Some(delta)
    }

    fn patched(&self, base: Epoch, patch: &json_patch::Patch) -> Option<Document> {
        let history = self.history.lock();
        let (epoch, value) = history.values.back()?;
        if *epoch != base {
            return None;
        }
        let mut value = value.clone();
        json_patch::patch(&mut value, patch).ok()?;
        serde_json::from_value(value).ok()
    }
}

fn digest(document: &Document) -> [u8; 32] {
    let json = serde_json::to_vec(document).expect("a document can be written as JSON");
    Sha256::digest(json).into()
}
