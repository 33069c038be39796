//! Questions for permits, and their answers (see [`lending`](crate::permit::lending)).

use std::{collections::HashMap, sync::atomic::Ordering, time::Duration};

use async_channel::Sender;
use curranthook_http::timeout;
use parking_lot::Mutex;

use super::{Message, Socket};
use crate::permit::{lenders::Question, lending::Loan};

/// The timeout for an answer: a few network delays between failure domains, and the processing time
/// on a small node.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

/// The questions that await an answer, by id.
#[derive(Debug, Default)]
pub(super) struct Open(Mutex<HashMap<u64, Sender<Loan>>>);

impl Open {
    /// Passes an answer to whoever asked. It is dropped if that has timed out.
    pub(super) fn answer(&self, id: u64, loan: Loan) {
        let asker = self.0.lock().remove(&id);
        let _ignored = asker.map(|it| it.try_send(loan));
    }
}

/// Removes a question when its asker is dropped, as it is when a caller disconnects.
struct Guard<'a> {
    open: &'a Open,
    id: u64,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.open.0.lock().remove(&self.id);
    }
}

/// Asks a holder for a permit. None if it does not answer in time.
pub async fn ask(socket: &Socket, question: Question) -> Option<Loan> {
    let Question { holder, endpoints } = question;
    let id = socket.next_query_id.fetch_add(1, Ordering::Relaxed);
    let (tx, answer) = async_channel::bounded(1);
    socket.loans.0.lock().insert(id, tx);
    let _guard = Guard { open: &socket.loans, id };
    socket.send(Message::Borrow { id, endpoints }, holder).await;
    timeout::run(ANSWER_TIMEOUT, answer.recv()).await.ok()?.ok()
}
