use crate::Error;
use crate::Result;

const MAX_ID_LENGTH: usize = 128;

text_id! {
    /// Names an instance, a machine that runs carobwick's processes.
    InstanceId
}
text_id! {
    /// Names an availability zone.
    ZoneId
}
text_id! {
    /// Names a caller, a customer that sends requests.
    CallerId
}
text_id! {
    /// Names an endpoint, a model engine or one replica of a plain service.
    EndpointId
}
text_id! {
    /// Names a service, a set of endpoints of one kind.
    ServiceId
}
text_id! {
    /// Names a model or an adapter, as callers write it in `model`.
    ModelId
}
text_id! {
    /// Names a version of a model's or adapter's weights.
    ModelVersion
}
hex_id! {
    /// Identifies one request of a caller.
    RequestId
}
hex_id! {
    /// Identifies one attempt of a request; an answer must bear it.
    AttemptId
}
hex_id! {
    /// Identifies one order to an engine.
    OrderId
}
hex_id! {
    /// Identifies one write to the key-value service, so that a lost reply can be settled by reading back.
    WriteId
}
hex_id! {
    /// Identifies the content of a request: a hash of its model and body.
    Fingerprint
}
hex_id! {
    /// Identifies one run of an endpoint's process; it changes when the endpoint restarts.
    Incarnation
}
number! {
    key,
    /// Orders versions of the manifest and of views.
    Version(u64)
}
number! {
    key,
    /// Fencing number: an engine that checks refuses an order with a lower one than it has seen.
    Fence(u64)
}

impl Version {
    /// Returns the version that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Fence {
    /// Bits of the number that count the orders of one leader.
    const ORDER_BITS: u32 = 24;

    /// Returns the first number of the leader whose lease was created at `revision` of the key-value service.
    pub fn first(revision: u64) -> Self {
        Self(revision << Self::ORDER_BITS)
    }

    /// Returns the number of the next order of the same leader.
    ///
    /// # Panics
    ///
    /// Panics after 2^24 orders of one leader; the leader gives up its lease before that.
    #[must_use]
    pub fn next(self) -> Self {
        let next = Self(self.0 + 1);
        assert_eq!(next.revision(), self.revision(), "order counter overflows into the leader's number");
        next
    }

    /// Returns the revision at which the leader's lease was created.
    pub fn revision(self) -> u64 {
        self.0 >> Self::ORDER_BITS
    }
}

/// Checks the text of an id: 1 to 128 characters, letters, digits and `-_.:/@`.
pub(crate) fn check_id_text(kind: &str, text: &str) -> Result<()> {
    if text.is_empty() || text.len() > MAX_ID_LENGTH {
        return Err(Error::data(format!("{kind}: length {} is not in 1..={MAX_ID_LENGTH}", text.len())));
    }
    match text.chars().find(|c| !c.is_ascii_alphanumeric() && !"-_.:/@".contains(*c)) {
        None => Ok(()),
        Some(c) => Err(Error::data(format!("{kind}: character {c:?} is not allowed"))),
    }
}
