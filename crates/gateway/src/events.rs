use bytes::Bytes;
use bytes::BytesMut;
use carobwick_core::block_length;

use crate::Category;
use crate::Error;
use crate::Result;

/// Longest event that is held until it is whole; what is longer is no event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Cuts a stream into whole events, so that one that was broken off in its middle never reaches the caller.
#[derive(Debug, Default)]
pub struct EventFramer {
    partial: BytesMut,
}

/// Whole events of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FramedEvents {
    /// The events as they arrived.
    pub bytes: Bytes,
    /// Id of the last event that has one.
    pub last_id: Option<String>,
}

impl EventFramer {
    /// Takes a piece of the stream and returns the events that it completes.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Codec`] if the bytes after the last whole event are too many for one.
    pub fn push(&mut self, piece: &[u8]) -> Result<FramedEvents> {
        self.partial.extend_from_slice(piece);
        let mut end = 0;
        while let Some(length) = block_length(&self.partial[end..]) {
            end += length;
        }
        if self.partial.len() - end > MAX_EVENT_BYTES {
            return Err(Error::new(
                Category::Codec,
                format!("{MAX_EVENT_BYTES} bytes without the end of an event"),
            ));
        }
        let bytes = self.partial.split_to(end).freeze();
        let last_id = bytes.split(|byte| *byte == b'\n').rev().find_map(event_id);
        Ok(FramedEvents { bytes, last_id })
    }

    /// Returns whether a part of an event is held.
    pub fn is_empty(&self) -> bool {
        self.partial.is_empty()
    }

    /// Drops the part of an event that was broken off.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }
}

fn event_id(line: &[u8]) -> Option<String> {
    let id = line.strip_prefix(b"id:")?.trim_ascii();
    std::str::from_utf8(id).ok().map(str::to_owned)
}
