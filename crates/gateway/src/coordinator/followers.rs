use std::rc::Rc;

use carobwick_core::InstanceId;
use carobwick_core::Millis;
use carobwick_core::gateway::SharedLoads;
use carobwick_core::gateway::retry_budget_instances;
use carobwick_runtime::now;
use tokio::sync::mpsc;

use crate::coordinator::Coordinator;
use crate::message::LeaderMessage;
use crate::message::ListUpdate;
use crate::message::encode_frame;

/// Encoded message, shared by all followers that it is sent to.
pub(crate) type Frame = Rc<[u8]>;

/// What the leader tells the other instances.
impl Coordinator {
    /// Adds a follower and sends it the current state.
    pub fn add_follower(&self, instance: &InstanceId, sender: mpsc::UnboundedSender<Frame>) {
        self.followers.borrow_mut().insert(instance.clone(), sender);
        let followers = self.followers.borrow();
        let sender = &followers[instance];
        send_frame(sender, encode_message(&LeaderMessage::InstanceCount(self.instance_count())));
        if let Some(message) = self.config_version_message() {
            send_frame(sender, encode_message(&message));
        }
        for (endpoint, incarnation) in self.state.endpoints.borrow().leaving() {
            send_frame(sender, encode_message(&LeaderMessage::EndpointLeaving { endpoint, incarnation }));
        }
        for message in self.limit_messages() {
            send_frame(sender, encode_message(&message));
        }
        for loss in self.state.losses_to_share() {
            send_frame(sender, encode_message(&LeaderMessage::SuspectsLost(loss)));
        }
        let streams = self.state.streams.borrow().all_shared(now());
        if !streams.is_empty() {
            send_frame(sender, encode_message(&LeaderMessage::streams(streams)));
        }
        for (id, record) in self.registry.borrow().iter() {
            // For all other engines, the follower knows the resident models from their entries in the list.
            if let Some(resident) = record.published.clone() {
                send_frame(
                    sender,
                    encode_message(&LeaderMessage::EngineModels {
                        endpoint: id.clone(),
                        incarnation: record.incarnation,
                        resident,
                    }),
                );
            }
        }
    }

    /// Returns the number of instances that share the retry budget, or none before all had time to connect.
    pub(super) fn instance_count(&self) -> Option<u32> {
        let since = self.election.leading_since()?;
        retry_budget_instances(self.followers.borrow().len(), now() - since)
    }

    /// Broadcasts changes of the list of endpoints.
    pub fn broadcast_list(&self, update: ListUpdate) {
        self.broadcast(&LeaderMessage::EndpointList(update));
    }

    /// Broadcasts the version of the configuration in force.
    pub fn broadcast_version(&self) {
        if let Some(message) = self.config_version_message() {
            self.broadcast(&message);
        }
    }

    pub(super) fn config_version_message(&self) -> Option<LeaderMessage> {
        let version = self.state.config_version()?;
        let age = self.state.freshness.borrow().age(now())?;
        Some(LeaderMessage::ConfigVersion { version, age: Millis(age.as_millis() as u64) })
    }

    /// Sends the configuration in force to an instance that has an older one and can't read it from the store.
    pub(super) fn send_config(&self, to: &InstanceId) {
        let table = self.state.route_table.borrow().clone();
        if let Some(table) = table {
            tracing::info!("leader: sends configuration version {} to {to}", table.version);
            self.send_to(to, LeaderMessage::Config(Box::new((*table).clone())));
        }
    }

    /// Broadcasts the number of instances, the version of the configuration, the state of the quotas and the loads reported
    /// since the last heartbeat.
    pub fn send_heartbeat(&self) {
        let mut followers = self.followers.borrow_mut();
        followers.retain(|_, sender| !sender.is_closed());
        drop(followers);
        let instances = self.instance_count();
        self.state.set_settled(instances.is_some());
        if let Some(instances) = instances {
            self.state.set_instances(instances);
        }
        self.broadcast(&LeaderMessage::InstanceCount(instances));
        self.broadcast_version();
        let shared = self.loads.borrow_mut().take();
        let quotas = self.take_quota_update();
        if !shared.loads.is_empty() || quotas.is_some() {
            self.state.receive_loads(&shared);
            let SharedLoads { loads, paces } = shared;
            self.broadcast(&LeaderMessage::Loads { loads, streams: Vec::new(), paces, quotas });
        }
    }

    /// Sends a message to an instance, which may be this one.
    pub(super) fn send_to(&self, instance: &InstanceId, message: LeaderMessage) {
        if *instance == self.state.settings.instance {
            self.state.receive_own_reply(message);
        } else if let Some(sender) = self.followers.borrow().get(instance) {
            send_frame(sender, encode_message(&message));
        }
    }

    /// Broadcasts a message to all followers but the one that reported it.
    pub(super) fn broadcast_except(&self, from: &InstanceId, message: &LeaderMessage) {
        let frame = encode_message(message);
        let followers = self.followers.borrow();
        for (_, sender) in followers.iter().filter(|(instance, _)| *instance != from) {
            send_frame(sender, frame.clone());
        }
    }

    pub(super) fn broadcast(&self, message: &LeaderMessage) {
        let frame = encode_message(message);
        for sender in self.followers.borrow().values() {
            send_frame(sender, frame.clone());
        }
    }
}

/// Returns a message as a frame, or none if it can't be encoded.
fn encode_message(message: &LeaderMessage) -> Option<Frame> {
    let frame = encode_frame(message);
    frame.inspect_err(|err| tracing::error!("leader: can't encode {message:?}: {err}")).ok().map(Rc::from)
}

fn send_frame(sender: &mpsc::UnboundedSender<Frame>, frame: Option<Frame>) {
    // A follower whose connection has ended is removed at the next heartbeat.
    let _closed = frame.map(|frame| sender.send(frame));
}
