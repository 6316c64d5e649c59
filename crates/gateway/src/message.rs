use carobwick_core::EndpointId;
use carobwick_core::Fingerprint;
use carobwick_core::Incarnation;
use carobwick_core::InstanceId;
use carobwick_core::Millis;
use carobwick_core::Rate;
use carobwick_core::Revision;
use carobwick_core::ServiceId;
use carobwick_core::Version;
use carobwick_core::ZoneId;
use carobwick_core::gateway::DemandSample;
use carobwick_core::gateway::EndpointChange;
use carobwick_core::gateway::Loss;
use carobwick_core::gateway::Pace;
use carobwick_core::gateway::QuotaUpdate;
use carobwick_core::gateway::ResidentModels;
use carobwick_core::gateway::RouteTable;
use carobwick_core::gateway::SharedLoad;
use carobwick_core::gateway::SoftwareVersion;
use carobwick_core::gateway::StreamKey;
use carobwick_core::gateway::StreamOrigin;
use carobwick_core::gateway::Suspect;
use carobwick_core::gateway::Ticket;
use carobwick_core::gateway::TokenReply;
use carobwick_core::gateway::TokenRequest;
use carobwick_core::gateway::UsageReport;
use carobwick_core::gateway::Weights;
use carobwick_derive::data;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;

use crate::Category;
use crate::Error;
use crate::Result;

/// Zero bytes that are decoded after each frame. Fields that were added at the end of a message are missing in those of an
/// instance of the version before, and read as empty.
const PADDING_BYTES: usize = 8;
/// Largest frame between instances, without its length prefix.
const MAX_FRAME_BYTES: usize = 4 << 20;

/// Message from an instance to the leader. A new variant goes last, since instances of the version before
/// identify variants by their position.
#[data]
pub(crate) enum FollowerMessage {
    /// The first message of a connection.
    Hello { instance: InstanceId },
    /// Demand and endpoint loads since the last report; also serves as a heartbeat. The streams that the instance has
    /// begun do not wait for the next report. The paces are those of the endpoints, in the order of their loads. The
    /// usage of tenants is there if a tenant has a quota. With `confirm` the leader responds that it has received the
    /// streams, and with what it knows of the `wanted` ones. Instances of the version before neither send nor read what
    /// follows the loads.
    Report {
        demand: Vec<DemandSample>,
        loads: Vec<SharedLoad>,
        streams: Vec<StreamOrigin>,
        paces: Vec<Pace>,
        usage: Option<UsageReport>,
        confirm: bool,
        wanted: Vec<StreamKey>,
    },
    /// A request needs a model or adapter that is resident on no endpoint, or on none in the instance's zone.
    RequestWeights { service: ServiceId, weights: Weights, zone: ZoneId },
    /// The connection to an endpoint was lost while it processed a request.
    EndpointLost { fingerprint: Fingerprint, endpoint: EndpointId, incarnation: Incarnation },
    /// An endpoint announced in a response that it is leaving.
    EndpointLeaving { endpoint: EndpointId, incarnation: Incarnation },
    /// An endpoint announced a rate limit in a response, or none, `age` ago.
    EndpointLimit { endpoint: EndpointId, incarnation: Incarnation, limit: Option<Rate>, age: Millis },
    /// A request needs a token of an endpoint with a rate limit, which the instance last heard of `age` ago.
    RequestToken {
        endpoint: EndpointId,
        incarnation: Incarnation,
        limit: Rate,
        age: Millis,
        request: TokenRequest,
    },
    /// A request no longer needs a token.
    CancelToken { endpoint: EndpointId, ticket: Ticket },
    /// An endpoint ended while it processed requests that had no event yet.
    SuspectsLost(Loss),
    /// A request with these suspected parts of a prompt got its first event, or this request its whole response.
    SuspectsCleared { suspects: Vec<Suspect> },
    /// A request with suspected parts asks whether it may be sent, and is given up after `remaining`.
    RequestTrial { ticket: Ticket, suspects: Vec<Suspect>, remaining: Millis },
    /// The request of a trial has begun, has failed or was not sent.
    EndTrial { ticket: Ticket },
    /// The store has an older configuration than the leader announces.
    RequestConfig,
}

/// Message from the leader to an instance. A new variant goes last, as in [`FollowerMessage`].
#[data]
pub(crate) enum LeaderMessage {
    /// Number of instances that share the retry budget, once all had time to connect; also serves as a
    /// heartbeat.
    InstanceCount(Option<u32>),
    /// Loads that endpoints reported to other instances, and streams that others have begun. The paces are those of the
    /// endpoints, in the order of their loads. The state of the quotas is there if a tenant has one. Instances of the
    /// version before neither send nor read streams, paces and quotas.
    Loads {
        loads: Vec<SharedLoad>,
        streams: Vec<StreamOrigin>,
        paces: Vec<Pace>,
        quotas: Option<QuotaUpdate>,
    },
    /// Models and adapters that are resident on an engine.
    EngineModels { endpoint: EndpointId, incarnation: Incarnation, resident: ResidentModels },
    /// Another instance lost the connection to an endpoint while it processed a request.
    EndpointLost { fingerprint: Fingerprint, endpoint: EndpointId, incarnation: Incarnation },
    /// An endpoint announced to some instance that it is leaving.
    EndpointLeaving { endpoint: EndpointId, incarnation: Incarnation },
    /// Changes of the list of endpoints.
    EndpointList(ListUpdate),
    /// Version of the leader's configuration, and the time since it was known to be the newest.
    ConfigVersion { version: Version, age: Millis },
    /// Rate limit of an endpoint that is in force, or none.
    EndpointLimit { endpoint: EndpointId, incarnation: Incarnation, limit: Option<Rate> },
    /// Reply to a request for a token with this number.
    Token { number: u64, reply: TokenReply },
    /// An endpoint ended while it processed requests of some instance that had no event yet.
    SuspectsLost(Loss),
    /// A request with these suspected parts of a prompt got its first event at some instance.
    SuspectsCleared { suspects: Vec<Suspect> },
    /// Reply to a request for a trial with this number.
    Trial { number: u64, granted: bool },
    /// The leader's configuration, for an instance that can't read it from the store.
    Config(Box<RouteTable>),
    /// The leader has received these streams of the instance. Sent only if the instance has asked for it.
    StreamsReceived { keys: Vec<StreamKey> },
}

impl FollowerMessage {
    /// Returns the message that tells the leader of streams and asks it to confirm them.
    pub fn streams(streams: Vec<StreamOrigin>) -> Self {
        let (demand, loads, paces) = (Vec::new(), Vec::new(), Vec::new());
        Self::Report { demand, loads, streams, paces, usage: None, confirm: true, wanted: Vec::new() }
    }

    /// Returns the message that asks the leader for what it knows of a stream.
    pub fn want_stream(key: StreamKey) -> Self {
        let (demand, loads, streams, paces) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        Self::Report { demand, loads, streams, paces, usage: None, confirm: false, wanted: vec![key] }
    }

    /// Returns the message that tells the leader of the usage of tenants.
    pub fn usage(usage: UsageReport) -> Self {
        let (demand, loads, streams, paces) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        Self::Report { demand, loads, streams, paces, usage: Some(usage), confirm: false, wanted: Vec::new() }
    }
}

impl LeaderMessage {
    /// Returns the message that tells an instance of streams.
    pub fn streams(streams: Vec<StreamOrigin>) -> Self {
        Self::Loads { loads: Vec::new(), streams, paces: Vec::new(), quotas: None }
    }

    /// Returns the message that tells an instance of the state of the quotas, if a tenant has one.
    pub fn quotas(quotas: Option<QuotaUpdate>) -> Self {
        Self::Loads { loads: Vec::new(), streams: Vec::new(), paces: Vec::new(), quotas }
    }
}

/// Changes of the list of endpoints between two revisions of the store.
#[data]
pub(crate) struct ListUpdate {
    pub from: Revision,
    pub to: Revision,
    /// Upper bound of the time since the store returned the changes.
    pub age: Millis,
    /// Changes, without entries in which only the heartbeat differs.
    pub changes: Vec<EndpointChange>,
    /// Software version of each entry in the changes, in order. Empty from an instance of the version before, which
    /// also ignores it.
    pub versions: Vec<Option<SoftwareVersion>>,
}

impl ListUpdate {
    pub fn new(from: Revision, to: Revision, age: Millis, changes: Vec<EndpointChange>) -> Self {
        let versions = changes.iter().filter_map(|change| match change {
            EndpointChange::Updated(entry) => Some(entry.version.clone()),
            EndpointChange::Removed(_) => None,
        });
        let versions = versions.collect();
        Self { from, to, age, changes, versions }
    }

    /// Returns the changes, with the version of each entry.
    pub fn into_changes(self) -> Vec<EndpointChange> {
        let mut versions = self.versions.into_iter();
        let mut changes = self.changes;
        for change in &mut changes {
            if let EndpointChange::Updated(entry) = change {
                entry.version = versions.next().flatten();
            }
        }
        changes
    }
}

/// Encodes a message as a frame: four bytes of length, big-endian, then the message.
///
/// # Errors
///
/// Fails with [`Category::Codec`] if the message can't be encoded or is too long for a frame.
pub fn encode_frame<M: serde::Serialize>(message: &M) -> Result<Vec<u8>> {
    let mut frame = vec![0; 4];
    let body = bincode::serde::encode_to_vec(message, bincode::config::standard());
    frame.extend(body.map_err(|err| Error::new(Category::Codec, err.to_string()))?);
    let length = frame.len() - 4;
    if length > MAX_FRAME_BYTES {
        return Err(frame_too_long(length));
    }
    frame[..4].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(frame)
}

/// Encodes a message and writes the frame.
///
/// # Errors
///
/// Fails with [`Category::Lost`] if the connection ends.
pub async fn write_frame<M: serde::Serialize>(to: &mut (impl AsyncWrite + Unpin), message: &M) -> Result<()> {
    write_encoded(to, &encode_frame(message)?).await
}

/// Writes an encoded frame.
///
/// # Errors
///
/// Fails with [`Category::Lost`] if the connection ends.
pub async fn write_encoded(to: &mut (impl AsyncWrite + Unpin), frame: &[u8]) -> Result<()> {
    to.write_all(frame).await.map_err(|err| Error::new(Category::Lost, err.to_string()))
}

/// Reads the next frame and decodes its message.
///
/// # Errors
///
/// Fails with [`Category::Lost`] if the connection ends, and with [`Category::Codec`] if the frame is too
/// long or its message can't be decoded.
pub async fn read_frame<M: serde::de::DeserializeOwned>(from: &mut (impl AsyncRead + Unpin)) -> Result<M> {
    let lost = |err: std::io::Error| Error::new(Category::Lost, err.to_string());
    let length = from.read_u32().await.map_err(lost)? as usize;
    if length > MAX_FRAME_BYTES {
        return Err(frame_too_long(length));
    }
    let mut frame = vec![0; length + PADDING_BYTES];
    from.read_exact(&mut frame[..length]).await.map_err(lost)?;
    // The limit keeps a length inside a corrupt frame from allocating more memory than a frame can hold.
    let limited = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();
    let decoded = bincode::serde::decode_from_slice(&frame, limited);
    decoded.map(|(message, _)| message).map_err(|err| Error::new(Category::Codec, err.to_string()))
}

fn frame_too_long(length: usize) -> Error {
    Error::new(
        Category::Codec,
        format!("frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes"),
    )
}
