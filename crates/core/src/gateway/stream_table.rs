use std::time::Duration;

use carobwick_derive::data;
use carobwick_derive::key;
use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::Millis;
use crate::ServiceId;
use crate::Time;
use crate::gateway::SoftwareVersion;

/// Largest number of streams in a table: those of 15 s at 2,000 requests per second, under 6 MB.
const MAX_STREAMS: usize = 1 << 15;
/// Longest time for which a stream is kept, also if its caller states a longer deadline.
const MAX_LIFETIME: Duration = Duration::from_mins(1);

/// Hash of the caller's attempt that brought the first event of a stream, by which the caller takes it up again.
#[key]
#[derive(Copy)]
pub struct StreamKey(pub u64);

/// Software version that began a stream, as instances tell each other.
#[data]
pub struct StreamOrigin {
    /// The stream.
    pub key: StreamKey,
    /// Its service.
    pub service: ServiceId,
    /// Version of the endpoint that wrote its first event.
    pub version: SoftwareVersion,
    /// Time for which the caller may take it up.
    pub remaining: Millis,
}

/// Streams that callers may take up again, with the software version that began each.
///
/// An instance knows those that it has begun, and those that others have begun while endpoints of several versions served. The
/// leader knows the others, too, from the instances' reports.
#[derive(Debug, Default)]
pub struct StreamTable {
    streams: IndexMap<StreamKey, Stream>,
}

#[derive(Debug)]
struct Stream {
    service: ServiceId,
    version: SoftwareVersion,
    expires: Time,
    /// Whether this instance has begun the stream.
    own: bool,
    sharing: Sharing,
}

/// Whether the instances that this one tells of streams know of one: the leader if it is a follower, all others if it leads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sharing {
    /// They have not been told.
    Unshared,
    /// They have been told, but may not have received it.
    Sent,
    /// They know it, so that it outlasts this instance.
    Confirmed,
}

impl StreamKey {
    /// Returns the key of the stream that an attempt has begun.
    pub fn new(attempt_id: &str) -> Self {
        Self(xxh3_64(attempt_id.as_bytes()))
    }
}

impl StreamTable {
    /// Records a stream that this instance has begun. One that is known keeps its version.
    pub fn record_begun(&mut self, origin: StreamOrigin, now: Time) {
        self.insert(origin, true, Sharing::Unshared, now);
    }

    /// Records a stream that another instance has begun and that all have been told of; returns whether it was not known.
    pub fn record_shared(&mut self, origin: StreamOrigin, now: Time) -> bool {
        self.insert(origin, false, Sharing::Confirmed, now)
    }

    /// Records a stream that another instance has begun and has told only this one, the leader, of.
    pub fn record_reported(&mut self, origin: StreamOrigin, now: Time) {
        self.insert(origin, false, Sharing::Unshared, now);
    }

    /// Returns the version that began a stream, if it is known.
    pub fn version(&self, key: StreamKey, now: Time) -> Option<&SoftwareVersion> {
        self.streams.get(&key).filter(|stream| now < stream.expires).map(|stream| &stream.version)
    }

    /// Returns what is known of a stream, as another instance is told it.
    pub fn origin(&self, key: StreamKey, now: Time) -> Option<StreamOrigin> {
        let stream = self.streams.get(&key).filter(|stream| now < stream.expires)?;
        Some(stream.origin(key, now))
    }

    /// Returns the streams of a service that have not been shared yet, and marks them as shared.
    pub fn take_unshared(&mut self, service: &ServiceId, now: Time) -> Vec<StreamOrigin> {
        self.take_where(now, |stream| stream.service == *service)
    }

    /// Returns the streams of all services that have not been shared yet, and marks them as shared.
    pub fn take_all_unshared(&mut self, now: Time) -> Vec<StreamOrigin> {
        self.take_where(now, |_| true)
    }

    fn take_where(&mut self, now: Time, is_selected: impl Fn(&Stream) -> bool) -> Vec<StreamOrigin> {
        let unshared = self.streams.iter_mut().filter(|(_, stream)| {
            stream.sharing == Sharing::Unshared && now < stream.expires && is_selected(stream)
        });
        let taken = unshared.map(|(key, stream)| {
            stream.sharing = Sharing::Sent;
            stream.origin(*key, now)
        });
        taken.collect()
    }

    /// Counts the streams as unshared that only a former leader may have been told of, since this instance leads now.
    pub fn reset_sent(&mut self) {
        for stream in self.streams.values_mut().filter(|stream| stream.sharing == Sharing::Sent) {
            stream.sharing = Sharing::Unshared;
        }
    }

    /// Records that other instances know these streams.
    pub fn record_confirmed(&mut self, keys: &[StreamKey]) {
        for key in keys {
            if let Some(stream) = self.streams.get_mut(key) {
                stream.sharing = Sharing::Confirmed;
            }
        }
    }

    /// Returns whether another instance knows a stream.
    pub fn is_confirmed(&self, key: StreamKey) -> bool {
        self.streams.get(&key).is_some_and(|stream| stream.sharing == Sharing::Confirmed)
    }

    /// Returns the streams of this instance that a new leader may not know.
    pub fn own_shared(&self, now: Time) -> Vec<StreamOrigin> {
        self.select(now, |stream| stream.own && stream.sharing != Sharing::Unshared)
    }

    /// Returns the streams that a new follower may not know.
    pub fn all_shared(&self, now: Time) -> Vec<StreamOrigin> {
        self.select(now, |stream| stream.sharing != Sharing::Unshared)
    }

    fn select(&self, now: Time, is_selected: impl Fn(&Stream) -> bool) -> Vec<StreamOrigin> {
        let selected = self.streams.iter().filter(|(_, stream)| is_selected(stream) && now < stream.expires);
        selected.map(|(key, stream)| stream.origin(*key, now)).collect()
    }

    fn insert(&mut self, origin: StreamOrigin, own: bool, sharing: Sharing, now: Time) -> bool {
        if self.version(origin.key, now).is_some() {
            return false;
        }
        if self.streams.len() >= MAX_STREAMS {
            self.make_room(now);
        }
        let expires = now + origin.remaining.duration().min(MAX_LIFETIME);
        let stream = Stream { service: origin.service, version: origin.version, expires, own, sharing };
        self.streams.insert(origin.key, stream);
        true
    }

    /// Removes the streams whose callers have given up.
    pub fn remove_expired(&mut self, now: Time) {
        self.streams.retain(|_, stream| now < stream.expires);
    }

    /// Returns the number of streams, with those that have expired since the last removal.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether the table holds no stream.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Removes the expired streams, and the oldest quarter if that is not enough.
    fn make_room(&mut self, now: Time) {
        self.remove_expired(now);
        if self.streams.len() > MAX_STREAMS / 4 * 3 {
            self.streams.drain(..MAX_STREAMS / 4);
        }
    }
}

impl Stream {
    fn origin(&self, key: StreamKey, now: Time) -> StreamOrigin {
        let remaining = Millis((self.expires - now).as_millis() as u64);
        StreamOrigin { key, service: self.service.clone(), version: self.version.clone(), remaining }
    }
}
