//! The newest published configuration, and its transfer to peers.
//!
//! The document in force is only ever replaced by one with a higher epoch. Between nearby epochs a
//! delta is sent in place of the document. The receiver checks that the delta starts from the
//! document it has and results in the intended one; otherwise it requests the full document.

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

/// Maximum number of past changes that are retained to build deltas from.
const MAX_CHANGES: usize = 16;
/// A change with more operations than this is sent as a full document. Its delta would be about as
/// long as the document, and a few such deltas would take more memory than the rest of the node.
const MAX_DELTA_OPERATIONS: usize = 1_024;

/// What a peer sends to another that has an older epoch.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Transfer {
    /// There is no newer document.
    #[serde(rename = "nothing")]
    UpToDate,
    /// The change since `base`.
    Delta {
        /// The epoch to which the delta applies.
        base: Epoch,
        /// The changes as a JSON Patch.
        patch: json_patch::Patch,
        /// SHA-256 of the resulting document, written as JSON.
        #[serde_as(as = "Hex")]
        hash: [u8; 32],
        /// The tag of the table row that holds the resulting document.
        tag: Option<Tag>,
    },
    /// The full document.
    Full {
        /// The document.
        document: Box<Document>,
        /// The tag of the table row that holds the document.
        tag: Option<Tag>,
    },
}

/// A delta can't be applied: it starts from another epoch, or doesn't result in the intended
/// document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the delta does not match the current document")]
pub struct Mismatch;

#[derive(Debug, Default)]
struct History {
    /// The tag of the table row that holds the newest document, if known. It is sent with the
    /// document: a node that got an epoch from a peer would otherwise read the full row at its next
    /// poll, only to find the document it already has.
    tag: Option<Tag>,
    /// The newest document as JSON, from which deltas are made and to which they are applied.
    /// Earlier ones are not retained: as JSON, a document of 10,000 endpoints takes tens of
    /// megabytes.
    json: Value,
    /// The changes up to the newest document, oldest first; each begins where the previous one
    /// ends.
    changes: VecDeque<Change>,
    deltas: HashMap<Epoch, Transfer>,
    waiters: Vec<Sender<()>>,
}

/// The change from one epoch to the next one that this node had.
#[derive(Debug)]
struct Change {
    base: Epoch,
    patch: json_patch::Patch,
}

impl History {
    fn add(&mut self, base: Epoch, patch: json_patch::Patch) {
        if MAX_DELTA_OPERATIONS < patch.len() {
            self.changes.clear();
            return;
        }
        self.changes.push_back(Change { base, patch });
        if MAX_CHANGES < self.changes.len() {
            self.changes.pop_front();
        }
    }

    /// All changes since `peer_epoch`, concatenated.
    fn changes_since(&self, peer_epoch: Epoch) -> Option<json_patch::Patch> {
        let start = self.changes.iter().position(|it| it.base == peer_epoch)?;
        let changes = self.changes.iter().skip(start);
        Some(json_patch::Patch(changes.flat_map(|it| it.patch.0.clone()).collect()))
    }
}

/// The newest document that a node knows, with the changes that led to it.
#[derive(Debug, Default)]
pub struct Documents {
    newest: ArcSwapOption<Document>,
    history: Mutex<History>,
}

impl Documents {
    /// The newest document, if any is known.
    pub fn document(&self) -> Option<Arc<Document>> {
        self.newest.load_full()
    }

    /// The newest epoch; zero if none is known.
    pub fn epoch(&self) -> Epoch {
        self.newest_epoch().unwrap_or_default()
    }

    /// Waits for a document with a higher epoch than `after`.
    pub async fn wait_for_newer(&self, after: Epoch) -> Arc<Document> {
        loop {
            let (tx, rx) = async_channel::bounded::<()>(1);
            self.history.lock().waiters.push(tx);
            if let Some(document) = self.document().filter(|it| after < it.epoch) {
                return document;
            }
            let _woken = rx.recv().await;
        }
    }

    /// The tag of the table row that holds the newest document.
    pub fn tag(&self) -> Option<Tag> {
        self.history.lock().tag.clone()
    }

    /// Installs `document` if its epoch is higher, and returns whether it did.
    pub fn offer(&self, document: Document, tag: Option<Tag>) -> bool {
        // The lock orders writers: of two concurrent offers the lower epoch must not be installed
        // last.
        let mut history = self.history.lock();
        let current = self.newest_epoch();
        if current.is_some_and(|it| document.epoch <= it) {
            if current == Some(document.epoch) && tag.is_some() {
                history.tag = tag;
            }
            return false;
        }
        let json = to_value(&document);
        if let Some(base) = current {
            let patch = json_patch::diff(&history.json, &json);
            history.add(base, patch);
        }
        history.json = json;
        self.install(&mut history, document, tag);
        true
    }

    /// Builds the transfer for a peer that has epoch `peer_epoch`; zero requests the full document.
    pub fn transfer(&self, peer_epoch: Epoch) -> Transfer {
        let Some(newest) = self.document() else { return Transfer::UpToDate };
        if newest.epoch <= peer_epoch {
            return Transfer::UpToDate;
        }
        self.delta(peer_epoch).unwrap_or_else(|| {
            let document = Box::new((*newest).clone());
            Transfer::Full { document, tag: self.tag_for(newest.epoch) }
        })
    }

    /// Applies a peer's transfer; returns `Ok(false)` if it contains nothing newer.
    pub fn apply(&self, transfer: Transfer) -> Result<bool, Mismatch> {
        match transfer {
            Transfer::UpToDate => Ok(false),
            Transfer::Full { document, tag } => Ok(self.offer(*document, tag)),
            Transfer::Delta { base, patch, hash, tag } => self.apply_delta(base, patch, hash, tag),
        }
    }

    fn apply_delta(
        &self,
        base: Epoch,
        patch: json_patch::Patch,
        hash: [u8; 32],
        tag: Option<Tag>,
    ) -> Result<bool, Mismatch> {
        let mut history = self.history.lock();
        let Some(newest) = self.document().filter(|it| it.epoch == base) else {
            return Err(Mismatch);
        };
        // A patch that fails is rolled back.
        json_patch::patch(&mut history.json, &patch).map_err(|_| Mismatch)?;
        let document = Document::deserialize(&history.json).ok();
        // If a node had a different document under the base epoch, or a number lost a digit in
        // transit, it would continue with a configuration that nobody published.
        let document = document.filter(|it| base < it.epoch && sha256(it) == hash);
        let Some(document) = document else {
            history.json = to_value(&newest);
            return Err(Mismatch);
        };
        history.add(base, patch);
        self.install(&mut history, document, tag);
        Ok(true)
    }

    /// Makes `document` the newest one, updates the tag and wakes the waiters. The caller has
    /// already updated the JSON and the changes in `history`.
    fn install(&self, history: &mut History, document: Document, tag: Option<Tag>) {
        history.tag = tag;
        history.deltas.clear();
        self.newest.store(Some(Arc::new(document)));
        // Dropping the senders wakes all waiters.
        history.waiters.clear();
    }

    fn newest_epoch(&self) -> Option<Epoch> {
        self.newest.load().as_ref().map(|it| it.epoch)
    }

    /// The tag, unless a newer document has been installed in the meantime.
    fn tag_for(&self, epoch: Epoch) -> Option<Tag> {
        let history = self.history.lock();
        history.tag.clone().filter(|_| self.newest_epoch() == Some(epoch))
    }

    fn delta(&self, peer_epoch: Epoch) -> Option<Transfer> {
        // No newer document can be installed while the lock is held, so patch, hash and tag belong
        // to the same epoch.
        let mut history = self.history.lock();
        if let Some(delta) = history.deltas.get(&peer_epoch) {
            return Some(delta.clone());
        }
        let newest = self.document()?;
        let patch = history.changes_since(peer_epoch)?;
        let tag = history.tag.clone();
        let delta = Transfer::Delta { base: peer_epoch, patch, hash: sha256(&newest), tag };
        history.deltas.insert(peer_epoch, delta.clone());
        Some(delta)
    }
}

fn to_value(document: &Document) -> Value {
    serde_json::to_value(document).expect("a document can be written as JSON")
}

fn sha256(document: &Document) -> [u8; 32] {
    let json = serde_json::to_vec(document).expect("a document can be written as JSON");
    Sha256::digest(json).into()
}
