use std::sync::Arc;

use indexmap::IndexMap;

use crate::InstanceId;
use crate::ZoneId;
use crate::ZoneView;

/// Addresses of the peers with which a planner exchanges state.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PeerAddresses {
    /// Peer addresses in the own zone.
    pub local: Vec<String>,
    /// Peer addresses in other zones.
    pub remote: Vec<String>,
}

impl PeerAddresses {
    /// Returns the addresses of all peers in the views, without the planner itself.
    ///
    /// Instances that are not live are included, since they take part in the exchange until they stop.
    pub fn from_views(views: &IndexMap<ZoneId, Arc<ZoneView>>, zone: &ZoneId, own: &InstanceId) -> Self {
        let mut addresses = Self::default();
        for view in views.values() {
            let peers = view.instances.iter().filter(|(id, peer)| *id != own && !peer.peer.is_empty());
            let peers = peers.map(|(_, peer)| peer.peer.clone());
            if view.zone == *zone { addresses.local.extend(peers) } else { addresses.remote.extend(peers) }
        }
        addresses
    }
}

/// Returns whether a planner watches the key-value service, given the view of its own zone.
///
/// Two planners of a zone do: its leader and, of the other live ones, that with the lowest id. Without a
/// view, as at the first start, every planner does.
pub fn watches_config(view: Option<&ZoneView>, own: &InstanceId) -> bool {
    let Some(view) = view else {
        return true;
    };
    let others = view.instances.iter().filter(|(id, instance)| instance.live && **id != view.leader);
    view.leader == *own || others.map(|(id, _)| id).min() == Some(own)
}
