//! A key that counts how often it is compared.

use std::{cell::Cell, cmp::Ordering};

thread_local! {
    static COMPARISONS: Cell<usize> = const { Cell::new(0) };
}

/// A key whose comparisons are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Counted(pub u64);

impl Ord for Counted {
    fn cmp(&self, other: &Self) -> Ordering {
        COMPARISONS.set(COMPARISONS.get() + 1);
        self.0.cmp(&other.0)
    }
}

impl PartialOrd for Counted {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// The number of comparisons that `work` makes on this thread.
pub fn comparisons(work: impl FnOnce()) -> usize {
    COMPARISONS.set(0);
    work();
    COMPARISONS.get()
}
