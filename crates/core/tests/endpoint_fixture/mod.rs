//! Fixture for tests of the decisions of the gateway: an entry of the list of endpoints.

use carobwick_core::EndpointId;
use carobwick_core::EndpointState;
use carobwick_core::Incarnation;
use carobwick_core::gateway::EndpointEntry;
use carobwick_core::gateway::ResidentModels;

/// Returns the first entry of the first incarnation of a live endpoint with eight slots.
pub fn endpoint(id: EndpointId, service: &str, zone: &str, resident: ResidentModels) -> EndpointEntry {
    EndpointEntry {
        id,
        incarnation: Incarnation(1),
        heartbeat: 1,
        service: service.parse().unwrap(),
        addr: "127.0.0.1:1".parse().unwrap(),
        zone: zone.parse().unwrap(),
        slots: 8,
        state: EndpointState::Live,
        remaining: None,
        resident,
        version: None,
    }
}
