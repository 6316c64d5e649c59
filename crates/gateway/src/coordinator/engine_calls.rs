use std::rc::Rc;
use std::time::Duration;

use carobwick_core::EndpointId;
use carobwick_core::Incarnation;
use carobwick_core::gateway::Choice;
use carobwick_core::gateway::EngineOrder;
use carobwick_core::gateway::OrderReply;
use carobwick_runtime::now;

use crate::Connection;
use crate::Error;
use crate::coordinator::Coordinator;
use crate::message::LeaderMessage;
use crate::meters::SendKind;
use crate::pool::Purpose;

/// Timeout of an engine's response to an order or a state query. Engines respond within a few milliseconds,
/// and a request may be waiting for the order.
const ENGINE_RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Orders to engines, and queries of their state.
impl Coordinator {
    /// Sends an order in its own task and records the reply. An order to an engine that has reached its rate
    /// limit is left to a later planning pass.
    pub(super) fn issue_order(self: Rc<Self>, order: EngineOrder) {
        let target = self.find(&order.endpoint, order.incarnation);
        if target.is_some_and(|choice| !self.admits_order(&choice)) {
            tracing::debug!("leader: order {:?} to {} waits for a token", order.action, order.endpoint);
            return;
        }
        self.registry.borrow_mut().record_order(&order);
        self.broadcast_models(&order.endpoint);
        tokio::task::spawn_local(async move {
            let reply = self.send_order(&order).await;
            self.state.meters.record_order(reply);
            tracing::info!(
                "leader: order {:?} to {} after {} orders: {reply:?}",
                order.action,
                order.endpoint,
                order.expected_count,
            );
            self.registry.borrow_mut().apply_reply(&order, reply, now());
            self.broadcast_models(&order.endpoint);
            self.wake.notify_one();
        });
    }

    async fn send_order(&self, order: &EngineOrder) -> OrderReply {
        let Some(choice) = self.find(&order.endpoint, order.incarnation) else { return OrderReply::Refused };
        // A reply has no id of its order, so only a connection without earlier responses ties it to the order.
        let mut connection = match Connection::connect(choice.addr, CONNECT_TIMEOUT).await {
            Ok(connection) => connection,
            Err(err) => {
                tracing::info!("leader: no connection to {}: {err}", order.endpoint);
                return OrderReply::Refused;
            }
        };
        // The lease may have expired while the connection was opened.
        let Some(fence) = self.order_fence() else { return OrderReply::Refused };
        if !self.state.accepts_requests(&choice) {
            return OrderReply::Refused;
        }
        self.state.count_send(&choice, SendKind::Order);
        let request = self.state.wire.order_request(order, &self.state.settings.instance, fence);
        let sent = now();
        match connection.exchange(request, ENGINE_RESPONSE_TIMEOUT).await {
            Ok(response) => {
                self.state.apply_notice(
                    &choice,
                    self.state.wire.parse_notice(response.status(), response.headers()),
                    sent,
                );
                let reply = self.state.wire.parse_order_reply(response.status(), response.headers());
                if matches!(reply, OrderReply::Accepted | OrderReply::Done | OrderReply::Conflict) {
                    self.state.pool.put(&choice, Purpose::Calls, connection, None);
                }
                reply
            }
            Err(err) => {
                tracing::info!("leader: no response to an order to {}: {err}", order.endpoint);
                OrderReply::Lost
            }
        }
    }

    pub(super) fn query_engines(self: Rc<Self>) {
        let due = self.registry.borrow_mut().take_due_queries(now());
        for (id, incarnation) in due {
            let coordinator = Rc::clone(&self);
            tokio::task::spawn_local(async move { coordinator.query_engine(id, incarnation).await });
        }
    }

    async fn query_engine(self: Rc<Self>, id: EndpointId, incarnation: Incarnation) {
        let Some(choice) = self.find(&id, incarnation) else { return };
        if !self.admits_report(&choice) {
            return;
        }
        let request = self.state.wire.report_request(&id);
        let exchange = async {
            let mut connection = self.state.pool.take(&choice, Purpose::Calls, CONNECT_TIMEOUT).await?;
            self.state.count_send(&choice, SendKind::Report);
            let sent = now();
            let response = connection.exchange(request, ENGINE_RESPONSE_TIMEOUT).await?;
            let notice = self.state.wire.parse_notice(response.status(), response.headers());
            self.state.apply_notice(&choice, notice, sent);
            // Any other response, such as a refusal, can't be tied to the query, so its connection is closed.
            let report = self.state.wire.parse_report(response.body())?;
            self.state.pool.put(&choice, Purpose::Calls, connection, None);
            Ok::<_, Error>(report)
        };
        match exchange.await {
            Ok(report) if report.incarnation.is_none_or(|reported| reported == incarnation) => {
                let mut registry = self.registry.borrow_mut();
                registry.apply_state(&id, incarnation, report.state, now());
                drop(registry);
                self.broadcast_models(&id);
                self.wake.notify_one();
            }
            Ok(report) => tracing::info!("leader: {id} has another incarnation: {:?}", report.incarnation),
            Err(err) => tracing::info!("leader: state query to {id} failed: {err}"),
        }
    }

    /// Broadcasts the models that an engine offers, if they have changed.
    pub(super) fn broadcast_models(&self, id: &EndpointId) {
        let Some((incarnation, resident)) = self.registry.borrow_mut().take_update(id) else { return };
        self.state.endpoints.borrow_mut().set_resident(id, incarnation, &resident, now());
        self.state.endpoints_changed.notify_waiters();
        self.broadcast(&LeaderMessage::EngineModels { endpoint: id.clone(), incarnation, resident });
    }

    /// Returns a live engine as a target for requests, or none if the incarnation is gone or has asked for a
    /// pause.
    pub(super) fn find(&self, id: &EndpointId, incarnation: Incarnation) -> Option<Choice> {
        let endpoints = self.state.endpoints.borrow();
        let entry = endpoints.get(id).filter(|entry| entry.incarnation == incarnation)?;
        if self.state.balancer.borrow().is_paused(id, incarnation, now()) {
            return None;
        }
        Some(Choice::new(entry, 0.0))
    }
}
