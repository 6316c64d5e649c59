use carobwick_derive::data;

use crate::InstanceId;

/// One entry of the timeline.
#[data]
pub struct Event {
    /// Wall-clock time in microseconds since the Unix epoch.
    pub at: u64,
    /// Number of the event within the process.
    pub sequence: u64,
    /// Instance of the process.
    pub instance: InstanceId,
    /// Name of the program, such as `carobwick-entry`.
    pub process: String,
    /// Kind of the event.
    pub kind: EventKind,
    /// Subject and details in a short sentence.
    pub detail: String,
}

/// Kind of an [`Event`].
#[carobwick_derive::key]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// A process started or stopped.
    Process,
    /// A manifest was published or adopted.
    Config,
    /// A drain was set, cleared or received from a peer.
    Drain,
    /// Leadership of a zone changed.
    Lease,
    /// A plan was written.
    Plan,
    /// An order was sent or settled.
    Order,
    /// A request was accepted, attempted, refused or finished.
    Request,
    /// An endpoint appeared, crashed or left.
    Endpoint,
    /// A supervised task failed or was restarted.
    Task,
}
