use std::time::Duration;

use carobwick_derive::data;
use indexmap::IndexMap;

use crate::Era;
use crate::Millis;
use crate::ServiceId;
use crate::Time;
use crate::gateway::SoftwareVersion;

/// Time for which the software version of an endpoint that has ended counts as one that may have begun a stream.
pub const VERSION_MEMORY: Duration = Duration::from_mins(1);

/// Software version that serves a service or has served it lately, as the store keeps it for instances that start later.
#[data]
pub struct ServedVersion {
    /// The service.
    pub service: ServiceId,
    /// The version, or none if endpoints did not name it.
    pub version: Option<SoftwareVersion>,
    /// Time since its last endpoint ended, or none while one serves.
    pub ended: Option<Millis>,
}

/// Software versions of all services, as the store keeps them.
#[data]
#[derive(Default)]
pub struct VersionRecord {
    /// The versions.
    pub versions: Vec<ServedVersion>,
    /// Era of the store in which they were written, or none if they never were. In a later era they may lack versions that
    /// have served since.
    pub era: Option<Era>,
}

/// How many software versions may have begun a stream of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionCount<'a> {
    /// No endpoint serves, or has served in the last minute.
    None,
    /// One, which may not be known by name. A version that is not known counts as another one.
    One(Option<&'a SoftwareVersion>),
    /// Several serve, or have served in the last minute.
    Several,
}

/// Software versions of endpoints that have ended in the last minute.
#[derive(Debug, Default)]
pub(super) struct VersionHistory {
    /// Time of the end of the last endpoint of each version.
    ended: IndexMap<(ServiceId, Option<SoftwareVersion>), Time>,
}

impl VersionRecord {
    /// Returns whether the store cannot have lost versions that were written after these, by its present era.
    pub fn is_complete(&self, era: Era) -> bool {
        self.era.is_none_or(|written| written == era)
    }
}

impl ServedVersion {
    /// Returns whether two lists name the same versions, those that serve and those that have served.
    pub fn is_same_set(one: &[Self], other: &[Self]) -> bool {
        let is_listed = |served: &Self| other.iter().any(|known| known.is_same(served));
        one.len() == other.len() && one.iter().all(is_listed)
    }

    fn is_same(&self, other: &Self) -> bool {
        let is_same_state = self.ended.is_some() == other.ended.is_some();
        is_same_state && self.service == other.service && self.version == other.version
    }
}

impl<'a> VersionCount<'a> {
    /// Counts the versions of one service, each of which may be listed more than once.
    pub(super) fn of(mut versions: impl Iterator<Item = &'a Option<SoftwareVersion>>) -> Self {
        match versions.next() {
            None => Self::None,
            Some(first) if versions.any(|version| version != first) => Self::Several,
            Some(first) => Self::One(first.as_ref()),
        }
    }
}

impl VersionHistory {
    /// Records that an endpoint of a version has ended at `at`.
    pub fn record_end(&mut self, service: ServiceId, version: Option<SoftwareVersion>, at: Time, now: Time) {
        self.ended.retain(|_, ended| now < *ended + VERSION_MEMORY);
        let ended = self.ended.entry((service, version)).or_insert(at);
        *ended = (*ended).max(at);
    }

    /// Returns the versions, each with the time of the end of its last endpoint.
    pub fn iter(&self, now: Time) -> impl Iterator<Item = (&ServiceId, &Option<SoftwareVersion>, Time)> {
        let recent = self.ended.iter().filter(move |(_, ended)| now < **ended + VERSION_MEMORY);
        recent.map(|((service, version), ended)| (service, version, *ended))
    }
}
