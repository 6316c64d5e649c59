use bytes::Bytes;
use bytes::BytesMut;
use carobwick_core::block_length;

/// Maximum length of an event; a longer one ends the stream, so that memory stays bounded.
const MAX_EVENT_BYTES: usize = 1 << 20;
const DONE_EVENT: &[u8] = b"data: [DONE]";
/// Prefixes of the events with which an engine or another entry ends a stream that it can't complete.
const ERROR_PREFIXES: [&[u8]; 2] = [b"event: error", b"data: {\"error\""];

/// Splits a stream of server-sent events into complete events without parsing their content.
#[derive(Debug, Default)]
pub(crate) struct EventFramer {
    /// Beginning of an event that is not complete yet.
    partial: BytesMut,
}

/// Complete events of one chunk of a stream.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct FramedEvents {
    pub bytes: Bytes,
    pub count: u64,
    pub end: StreamEnd,
}

/// How a stream continues after a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    /// More events may follow.
    Open,
    /// The last event was `[DONE]`.
    Done,
    /// An error event came next; it is not among the returned events.
    Error,
    /// An event is longer than [`MAX_EVENT_BYTES`].
    TooLong,
}

impl EventFramer {
    /// Appends a chunk of the stream and returns the events that it completes.
    pub fn push(&mut self, chunk: Bytes) -> FramedEvents {
        let chunk = if self.partial.is_empty() {
            chunk
        } else {
            self.partial.extend_from_slice(&chunk);
            self.partial.split().freeze()
        };
        let (mut start, mut count, mut end) = (0, 0, StreamEnd::Open);
        while let Some(length) = block_length(&chunk[start..]) {
            let event = &chunk[start..start + length];
            if ERROR_PREFIXES.iter().any(|error| event.starts_with(error)) {
                end = StreamEnd::Error;
                break;
            }
            start += length;
            // Comments and empty events are keep-alives; they are forwarded, but not counted.
            count += u64::from(event[0] != b':' && !event.starts_with(b"\n"));
            if event.starts_with(DONE_EVENT) {
                end = StreamEnd::Done;
                break;
            }
        }
        if end == StreamEnd::Open {
            self.partial.extend_from_slice(&chunk[start..]);
            if self.partial.len() > MAX_EVENT_BYTES {
                end = StreamEnd::TooLong;
            }
        }
        FramedEvents { bytes: chunk.slice(..start), count, end }
    }
}
