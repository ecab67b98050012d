//! How far this node has come along the store's streams, and whether it reads them for its
//! failure domain.

use std::{
    sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering},
    time::Duration,
};

use tokio::sync::{Notify, watch};

use crate::coordination::interface::Stream;

/// The state of this node's reads, which several tasks wait for.
#[derive(Debug)]
pub struct Streams {
    /// The offset up to which each stream is known, by [`Stream`].
    offsets: [watch::Sender<Option<u64>>; 2],
    /// The offset after the latest record of itself that this process wrote.
    own_record_end: AtomicU64,
    is_membership_settled: watch::Sender<bool>,
    is_reading: watch::Sender<bool>,
    /// The number of consecutive failed readers directly before this node in the ranking: nodes
    /// that can't read the store, so that this node reads it in their place.
    failed_readers: AtomicU8,
    /// Whether this node can't read the store either.
    is_store_unreadable: AtomicBool,
    is_store_up: watch::Sender<bool>,
    read_failed: Notify,
}

impl Default for Streams {
    /// Returns the state of a node that has read nothing yet.
    fn default() -> Self {
        Self {
            offsets: [watch::Sender::new(None), watch::Sender::new(None)],
            own_record_end: AtomicU64::new(0),
            is_membership_settled: watch::Sender::new(false),
            is_reading: watch::Sender::new(false),
            failed_readers: AtomicU8::new(0),
            is_store_unreadable: AtomicBool::new(false),
            is_store_up: watch::Sender::new(true),
            read_failed: Notify::new(),
        }
    }
}

impl Streams {
    /// Records that a stream is known up to an offset.
    pub fn advance_offset(&self, stream: Stream, offset: u64) {
        self.offsets[stream as usize].send_if_modified(|known| {
            let is_later = known.is_none_or(|known| known < offset);
            if is_later {
                *known = Some(offset);
            }
            is_later
        });
    }

    /// Returns the offset up to which a stream is known, if it was ever read.
    pub fn offset(&self, stream: Stream) -> Option<u64> {
        *self.offsets[stream as usize].borrow()
    }

    /// Records the offset after a record of this node that this process has just written.
    pub fn note_own_record(&self, end: u64) {
        self.own_record_end.fetch_max(end, Ordering::Relaxed);
    }

    /// Returns the offset after the latest record of itself that this process wrote; 0 if it has
    /// written none.
    pub fn own_record_end(&self) -> u64 {
        self.own_record_end.load(Ordering::Relaxed)
    }

    /// Waits until the stream of the members has been read once.
    pub async fn until_members_known(&self) {
        let mut offset = self.offsets[Stream::Members as usize].subscribe();
        // Can't fail: the sender lives as long as `self`.
        let _ = offset.wait_for(Option::is_some).await;
    }

    /// Marks the membership as settled: the nodes of a fleet that starts as a whole have
    /// had the time to write their records to the store.
    pub fn note_membership_settled(&self) {
        self.is_membership_settled.send_replace(true);
    }

    /// Returns whether the membership is settled.
    pub fn is_membership_settled(&self) -> bool {
        *self.is_membership_settled.borrow()
    }

    /// Waits until the membership is settled.
    pub async fn until_membership_settled(&self) {
        // Can't fail: the sender lives as long as `self`.
        let _ = self
            .is_membership_settled
            .subscribe()
            .wait_for(|settled| *settled)
            .await;
    }

    /// Sets whether this node reads the store for its failure domain. `failed_readers` is
    /// the number of nodes directly before it in the ranking that can't read the store.
    ///
    /// Returns whether this node begins or ceases to read.
    pub fn set_reading(&self, reads: bool, failed_readers: u8) -> bool {
        self.failed_readers.store(failed_readers, Ordering::Relaxed);
        let has_changed = self
            .is_reading
            .send_if_modified(|current| std::mem::replace(current, reads) != reads);
        if has_changed {
            self.set_store_unreadable(false);
        }
        has_changed
    }

    /// Returns a watch on whether this node reads the store for its failure domain.
    pub fn reading(&self) -> watch::Receiver<bool> {
        self.is_reading.subscribe()
    }

    /// Returns whether this node reads the store for its failure domain.
    pub fn is_reading(&self) -> bool {
        *self.is_reading.borrow()
    }

    /// Sets whether this node's reads of the store fail.
    pub fn set_store_unreadable(&self, is_unreadable: bool) {
        self.is_store_unreadable
            .store(is_unreadable, Ordering::Relaxed);
    }

    /// Signals that a read of the store failed. Other reads that wait at the store may
    /// never be answered.
    pub fn signal_read_failure(&self) {
        self.read_failed.notify_waiters();
    }

    /// Waits until a read of the store fails.
    pub async fn until_read_fails(&self) {
        self.read_failed.notified().await;
    }

    /// Returns the number of consecutive failed readers: nodes of the ranking, up to and
    /// including this one, that can't read the store; 0 if this node can, or is not a reader.
    pub fn consecutive_failed_readers(&self) -> u8 {
        let has_failed = self.is_reading() && self.is_store_unreadable.load(Ordering::Relaxed);
        let failed_before = self.failed_readers.load(Ordering::Relaxed);
        if has_failed {
            failed_before.saturating_add(1)
        } else {
            0
        }
    }

    /// Records whether the store answered a call.
    pub fn set_store_up(&self, is_up: bool) {
        self.is_store_up
            .send_if_modified(|current| std::mem::replace(current, is_up) != is_up);
    }

    /// Waits until a call to the store succeeds, at most for `max_wait`.
    pub async fn until_store_answers(&self, max_wait: Duration) {
        let mut is_up = self.is_store_up.subscribe();
        // On a timeout, too, the caller retries.
        let _ = tokio::time::timeout(max_wait, is_up.wait_for(|is_up| *is_up)).await;
    }

    /// Returns whether a task that follows the store retries its reads while they fail.
    pub fn is_polling_store(&self) -> bool {
        self.is_reading() || self.offset(Stream::Members).is_none()
    }
}
