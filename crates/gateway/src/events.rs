use bytes::Bytes;
use bytes::BytesMut;
use carobwick_core::block_length;

use crate::Category;
use crate::Error;
use crate::Result;

/// Longest event that is buffered; more bytes without the end of an event are an error.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Names of the fields of an event, which may stand on a line without a colon.
const FIELD_NAMES: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// Splits a byte stream into complete events, so that neither a truncated event nor bytes that are no event reach the
/// caller.
#[derive(Debug, Default)]
pub struct EventFramer {
    partial: BytesMut,
}

/// Complete events of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FramedEvents {
    /// The events, byte for byte as they arrived.
    pub bytes: Bytes,
    /// Id of the last of these events that has one.
    pub last_id: Option<String>,
}

impl EventFramer {
    /// Adds the next bytes of the stream and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Codec`] if the incomplete event is longer than 1 MiB, and if the bytes begin with a block
    /// that is no event. Events before such a block are returned first.
    pub fn push(&mut self, chunk: &[u8]) -> Result<FramedEvents> {
        self.partial.extend_from_slice(chunk);
        let mut end = 0;
        while let Some(length) = block_length(&self.partial[end..]) {
            if is_event(&self.partial[end..end + length]) {
                end += length;
            } else if end == 0 {
                return Err(Error::new(Category::Codec, "bytes that are no event"));
            } else {
                break;
            }
        }
        if self.partial.len() - end > MAX_EVENT_BYTES {
            return Err(Error::new(
                Category::Codec,
                format!("more than {MAX_EVENT_BYTES} bytes without the end of an event"),
            ));
        }
        let bytes = self.partial.split_to(end).freeze();
        let last_id = bytes.split(|byte| *byte == b'\n').rev().find_map(event_id);
        Ok(FramedEvents { bytes, last_id })
    }

    /// Returns whether the stream is at an event boundary, with no incomplete event buffered.
    pub fn is_empty(&self) -> bool {
        self.partial.is_empty()
    }

    /// Returns the size of the buffer, in bytes.
    pub fn buffer_size(&self) -> usize {
        self.partial.capacity()
    }

    /// Discards the incomplete event.
    pub fn discard_partial(&mut self) {
        self.partial = BytesMut::new();
    }
}

/// Returns whether each line of a block is a field, a comment or empty, as the format of event streams has it. The first
/// line of an HTTP response is not.
fn is_event(block: &[u8]) -> bool {
    let mut lines = block.split(|byte| *byte == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    lines.all(|line| {
        line.is_empty() || line.contains(&b':') && !line.starts_with(b"HTTP/") || FIELD_NAMES.contains(&line)
    })
}

fn event_id(line: &[u8]) -> Option<String> {
    let id = line.strip_prefix(b"id:")?.trim_ascii();
    std::str::from_utf8(id).ok().map(str::to_owned)
}
