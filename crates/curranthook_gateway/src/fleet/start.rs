//! What a process learns of earlier ones as it first reads the fleet's rows.

use crate::store::Row;

use super::Key;

/// Which processes may have run before this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// None: the whole fleet starts for the first time.
    First,
    /// An earlier process of this node.
    Restart,
    /// Those of other nodes. An earlier one of this node may have run as well, and its row be gone.
    Join,
}

impl Start {
    /// What the first read of the fleet's rows tells the node named `node`. `is_first_start` is whether
    /// the settings say that the whole fleet starts for the first time.
    ///
    /// ```
    /// # use curranthook_gateway::{fleet::Start, store::{Rev, Row}};
    /// let row = Row { key: "node/a".into(), rev: Rev(1), value: Some("{}".into()) };
    /// assert_eq!(Start::detect("a", false, &[]), Start::First);
    /// assert_eq!(Start::detect("a", false, std::slice::from_ref(&row)), Start::Restart);
    /// assert_eq!(Start::detect("b", false, &[row]), Start::Join);
    /// ```
    pub fn detect(node: &str, is_first_start: bool, rows: &[Row]) -> Self {
        let mut present = rows.iter().filter(|it| it.value.is_some());
        let is_own = |it: &Row| Key::parse(&it.key) == Some(Key::Node(node));
        if present.clone().any(is_own) {
            return Self::Restart;
        }
        if is_first_start || present.next().is_none() { Self::First } else { Self::Join }
    }

    /// The name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Restart => "restart",
            Self::Join => "join",
        }
    }
}
