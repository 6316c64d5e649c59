use std::cell::Cell;
use std::cell::RefCell;

use indexmap::IndexMap;
use tokio::sync::oneshot;

/// Requests of one kind that the leader has not answered, by number.
#[derive(Debug)]
pub(crate) struct PendingReplies<T> {
    last: Cell<u64>,
    waiting: RefCell<IndexMap<u64, oneshot::Sender<T>>>,
}

impl<T> PendingReplies<T> {
    /// Returns the number of a new request, and the receiver of its reply.
    pub fn open(&self) -> (u64, oneshot::Receiver<T>) {
        let number = self.last.get() + 1;
        self.last.set(number);
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, sender);
        (number, receiver)
    }

    /// Passes on the leader's reply; a request that has been given up gets none.
    pub fn complete(&self, number: u64, reply: T) {
        if let Some(sender) = self.waiting.borrow_mut().swap_remove(&number) {
            let _given_up = sender.send(reply);
        }
    }

    /// Gives up a request; returns whether it had no reply yet.
    pub fn cancel(&self, number: u64) -> bool {
        self.waiting.borrow_mut().swap_remove(&number).is_some()
    }

    /// Ends all requests without a reply, since the connection to the leader has ended.
    pub fn clear(&self) {
        self.waiting.borrow_mut().clear();
    }
}

impl<T> Default for PendingReplies<T> {
    fn default() -> Self {
        Self { last: Cell::default(), waiting: RefCell::default() }
    }
}
