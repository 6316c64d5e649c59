use crate::Error;
use crate::Result;

const MAX_ID_BYTES: usize = 128;

text_id! {
    /// Name of an instance, a machine that runs carobwick's processes.
    InstanceId
}
text_id! {
    /// Name of an availability zone.
    ZoneId
}
text_id! {
    /// Name of a caller, the account of a client.
    CallerId
}
text_id! {
    /// Name of a tenant, a client account with its own keys and quota.
    TenantId
}
text_id! {
    /// Name of an endpoint, a model engine or one replica of a plain service.
    EndpointId
}
text_id! {
    /// Name of a service, a set of endpoints of one kind.
    ServiceId
}
text_id! {
    /// Name of a model or an adapter, as in the `model` field of a request.
    ModelId
}
text_id! {
    /// Name of a version of the weights of a model or an adapter.
    ModelVersion
}
hex_id! {
    /// Id of one request of a caller.
    RequestId
}
hex_id! {
    /// Id of one attempt of a request; a response must carry it.
    AttemptId
}
hex_id! {
    /// Id of one order to an engine.
    OrderId
}
hex_id! {
    /// Id of one write to the key-value service; after a lost reply, reading it back shows whether the write
    /// took effect.
    WriteId
}
hex_id! {
    /// Identity of the content of a request: a hash of its model and body.
    Fingerprint
}
hex_id! {
    /// Id of one run of an endpoint's process; it changes when the endpoint restarts.
    Incarnation
}
number! {
    key,
    /// Version number of the manifest, of a view or of the configuration; it increases with each change.
    Version(u64)
}
number! {
    key,
    /// Number of the store's life; it rises by one each time that the store returns from an older copy.
    Era(u64)
}
number! {
    key,
    /// Revision of the store, with the era that gave it out.
    ///
    /// Revisions are ordered by era first; one of an earlier era does not say what the store has.
    Revision(u64)
}
number! {
    key,
    /// Fencing number of an order; an engine that checks it refuses an order whose number is lower than the
    /// highest it has seen.
    Fence(u64)
}

impl Version {
    /// Returns the version that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Revision {
    /// Number of low bits that hold the store's number; the era is above them. A JSON number is exact up to 53
    /// bits, which leaves 13 for the era.
    const NUMBER_BITS: u32 = 40;

    /// Creates the revision with this number in an era.
    pub fn new(era: Era, number: u64) -> Self {
        Self((era.0 << Self::NUMBER_BITS) | number)
    }

    /// Returns the era that gave out the revision.
    pub fn era(self) -> Era {
        Era(self.0 >> Self::NUMBER_BITS)
    }

    /// Returns the store's number.
    pub fn number(self) -> u64 {
        self.0 & ((1 << Self::NUMBER_BITS) - 1)
    }
}

impl Fence {
    /// Number of low bits that count the orders of one leader.
    const ORDER_BITS: u32 = 24;

    /// Returns the first fencing number of the leader whose lease was created at `revision` of the key-value
    /// service.
    pub fn first(revision: u64) -> Self {
        Self(revision << Self::ORDER_BITS)
    }

    /// Returns the fencing number of all orders of a gateway's term that began at `revision` of the store in this
    /// era. It is above those of earlier eras, in which revisions were higher.
    pub fn in_era(era: Era, revision: u64) -> Self {
        Self(Revision::new(era, revision).0)
    }

    /// Returns the fencing number of the next order of the same leader.
    ///
    /// # Panics
    ///
    /// Panics after 2^24 orders of one leader; a leader releases its lease before that.
    #[must_use]
    pub fn next(self) -> Self {
        let next = Self(self.0 + 1);
        assert_eq!(
            next.revision(),
            self.revision(),
            "the order counter overflows into the revision of the leader's lease"
        );
        next
    }

    /// Returns the revision at which the leader's lease was created.
    pub fn revision(self) -> u64 {
        self.0 >> Self::ORDER_BITS
    }
}

/// Returns an error unless the text has 1 to 128 characters, all of them ASCII letters, digits or `-_.:/@`.
pub(crate) fn check_id_text(kind: &str, text: &str) -> Result<()> {
    if text.is_empty() || text.len() > MAX_ID_BYTES {
        return Err(Error::data(format!("{kind}: length {} is not in 1..={MAX_ID_BYTES}", text.len())));
    }
    match text.chars().find(|c| !c.is_ascii_alphanumeric() && !"-_.:/@".contains(*c)) {
        None => Ok(()),
        Some(c) => Err(Error::data(format!("{kind}: character {c:?} is not allowed"))),
    }
}
