use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use carobwick_core::EndpointId;
use carobwick_core::Fingerprint;
use carobwick_core::Incarnation;
use carobwick_core::Millis;
use carobwick_core::gateway::Choice;
use carobwick_core::gateway::Loss;
use carobwick_core::gateway::Suspect;
use carobwick_core::gateway::Ticket;
use carobwick_core::gateway::Verdict;
use carobwick_runtime::now;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::message::FollowerMessage;
use crate::meters::LossSource;
use crate::proxied_request::ProxiedRequest;
use crate::proxied_request::RETRY_AFTER;
use crate::state::State;

/// `Retry-After` of a convicted request.
pub(crate) const CONVICTED_RETRY_AFTER: Duration = Duration::from_mins(1);
/// Longest time that a request waits for the outcome of another one's trial.
const MAX_TRIAL_WAIT: Duration = Duration::from_secs(1);
/// Timeout of the leader's reply to a request for a trial.
const TRIAL_REPLY_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a connection that shows whether an endpoint has ended.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Delays before the checks whether an endpoint has ended, since its listener may outlive its connections by a
/// moment.
const CHECK_DELAYS: [Duration; 2] = [Duration::ZERO, Duration::from_millis(100)];

/// Right to send one request with suspected parts. Dropping it lets the next one run.
#[derive(Debug)]
pub(crate) struct Trial {
    state: Rc<State>,
    ticket: Ticket,
}

/// Request that an endpoint lost before its first event.
#[derive(Debug)]
pub(crate) struct UnstartedRequest {
    pub choice: Choice,
    pub suspects: Vec<Suspect>,
    /// Held until the loss is reported, so that no other trial starts in between.
    pub trial: Option<Trial>,
}

/// Whether a request may be sent although endpoints were lost during requests with its parts.
pub(crate) enum SuspicionStep {
    /// It may be sent.
    Send,
    /// It must be refused.
    Refuse { reason: &'static str, retry_after: Duration },
}

/// Requests and parts of prompts that may be the reason why endpoints end.
impl State {
    /// Returns the verdict on a request with the given suspects.
    pub fn verdict(&self, suspects: &[Suspect]) -> Verdict {
        self.suspects.borrow().verdict(suspects, now())
    }

    /// Returns the losses that a new leader or follower may not know.
    pub fn losses_to_share(&self) -> Vec<Loss> {
        self.suspects.borrow().losses_to_share(now())
    }

    /// Records that the connection to an endpoint was lost while it processed a request, and reports it to
    /// the leader.
    pub fn report_lost_endpoint(&self, fingerprint: Fingerprint, id: &EndpointId, incarnation: Incarnation) {
        self.meters.record_loss(LossSource::Own);
        let loss = request_loss(fingerprint, id, incarnation);
        if self.suspects.borrow_mut().record_loss(&loss, now()) {
            self.log_suspects(&loss);
            self.keep_convicted(&loss);
            self.send_to_leader(FollowerMessage::EndpointLost {
                fingerprint,
                endpoint: id.clone(),
                incarnation,
            });
        }
    }

    /// Records that another instance lost the connection to an endpoint while it processed a request; returns the
    /// loss.
    pub fn receive_loss(&self, fingerprint: Fingerprint, id: &EndpointId, incarnation: Incarnation) -> Loss {
        self.meters.record_loss(LossSource::Reported);
        let loss = request_loss(fingerprint, id, incarnation);
        if self.suspects.borrow_mut().record_loss(&loss, now()) {
            self.log_suspects(&loss);
        }
        loss
    }

    /// Records and reports the loss of a request before its first event, if the endpoint has ended. A reset,
    /// a cut path or a response that breaks off says nothing against the prompt.
    pub fn report_unstarted(self: &Rc<Self>, request: UnstartedRequest) {
        let state = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let choice = &request.choice;
            if !state.endpoints.borrow().is_live(&choice.id, choice.incarnation)
                || !has_ended(choice.addr).await
            {
                return;
            }
            let loss = Loss {
                suspects: request.suspects,
                endpoint: choice.id.clone(),
                incarnation: choice.incarnation,
                trial: request.trial.is_some(),
                age: Millis(0),
            };
            if state.receive_loss_report(&loss) {
                state.keep_convicted(&loss);
                state.send_to_leader(FollowerMessage::SuspectsLost(loss));
            }
            drop(request.trial);
        });
    }

    /// Records the loss of an endpoint during requests with these suspects; returns whether it is new.
    pub fn receive_loss_report(&self, loss: &Loss) -> bool {
        let is_new = self.suspects.borrow_mut().record_loss(loss, now());
        if is_new {
            self.log_suspects(loss);
            self.suspects_changed.notify_waiters();
        }
        is_new
    }

    /// Clears the parts of a request that got its first event, or a request that got its whole response, and reports
    /// it to the leader.
    pub fn clear_suspects(&self, suspects: &[Suspect]) {
        let mut table = self.suspects.borrow_mut();
        let cleared: Vec<Suspect> =
            suspects.iter().copied().filter(|suspect| table.clear(*suspect)).collect();
        drop(table);
        if !cleared.is_empty() {
            self.suspects_changed.notify_waiters();
            self.send_to_leader(FollowerMessage::SuspectsCleared { suspects: cleared });
        }
    }

    /// Clears what another instance has cleared; returns whether it was known.
    pub fn receive_cleared(&self, suspects: &[Suspect]) -> bool {
        let mut table = self.suspects.borrow_mut();
        let is_known = suspects.iter().filter(|suspect| table.clear(**suspect)).count() > 0;
        drop(table);
        if is_known {
            self.suspects_changed.notify_waiters();
        }
        is_known
    }

    /// Asks the leader for a trial; returns none if another one is in progress or the leader does not reply.
    async fn request_trial(self: &Rc<Self>, suspects: &[Suspect], remaining: Duration) -> Option<Trial> {
        let (number, reply) = self.trial_requests.open();
        let ticket = Ticket { instance: self.settings.instance.clone(), number };
        let trial = Trial { state: Rc::clone(self), ticket: ticket.clone() };
        let remaining = Millis(remaining.as_millis() as u64);
        let suspects = suspects.to_vec();
        self.send_to_leader(FollowerMessage::RequestTrial { ticket, suspects, remaining });
        let is_granted = timeout(TRIAL_REPLY_TIMEOUT, reply).await.is_ok_and(|reply| reply == Ok(true));
        self.trial_requests.cancel(number);
        is_granted.then_some(trial)
    }

    fn log_suspects(&self, loss: &Loss) {
        let (endpoint, trial) = (&loss.endpoint, loss.trial);
        for suspect in &loss.suspects {
            match self.verdict(&[*suspect]) {
                Verdict::Clear => {}
                Verdict::Suspected => {
                    tracing::warn!("gateway: {suspect} is suspected of crashing {endpoint}, trial: {trial}");
                }
                Verdict::Convicted => {
                    tracing::warn!("gateway: {suspect} crashes endpoints, last {endpoint}");
                }
            }
        }
    }
}

impl ProxiedRequest {
    /// Waits until it is known whether the parts of the prompt crash endpoints, or until the request may be
    /// sent to find out.
    pub async fn clear_suspicion(&mut self) -> SuspicionStep {
        let started = now();
        let state = Rc::clone(&self.state);
        loop {
            let changed = state.suspects_changed.notified();
            match state.verdict(&self.suspects) {
                Verdict::Clear => return SuspicionStep::Send,
                Verdict::Suspected => {}
                Verdict::Convicted => return SuspicionStep::CONVICTED,
            }
            // Without a leader, each instance would make a trial of its own.
            let wait = MAX_TRIAL_WAIT.saturating_sub(now() - started);
            let remaining = self.remaining_time().filter(|_| state.has_leader());
            let Some(remaining) = remaining.filter(|remaining| wait.min(*remaining / 2) > Duration::ZERO)
            else {
                return SuspicionStep::SUSPECTED;
            };
            if let Some(trial) = state.request_trial(&self.suspects, remaining).await {
                self.trial = Some(trial);
                return SuspicionStep::Send;
            }
            if timeout(wait.min(remaining / 2), changed).await.is_err() {
                return SuspicionStep::SUSPECTED;
            }
        }
    }

    /// Returns whether the request may be sent now: its parts may have come under suspicion while the
    /// connection was opened.
    pub fn is_unsuspected(&self, is_trial: bool) -> bool {
        // An endpoint that has begun its response did not end for it.
        self.progress.shown
            || match self.state.verdict(&self.suspects) {
                Verdict::Clear => true,
                Verdict::Suspected => is_trial,
                Verdict::Convicted => false,
            }
    }
}

impl SuspicionStep {
    /// Refusal of a request with a convicted part.
    const CONVICTED: Self =
        Self::Refuse { reason: "a part of the prompt crashes endpoints", retry_after: CONVICTED_RETRY_AFTER };
    /// Refusal of a request that can't be tried in time.
    const SUSPECTED: Self = Self::Refuse {
        reason: "a part of the prompt is suspected of crashing endpoints",
        retry_after: RETRY_AFTER,
    };
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.state.send_to_leader(FollowerMessage::EndTrial { ticket: self.ticket.clone() });
    }
}

/// Returns whether nothing accepts connections at the address of an endpoint whose connections have broken.
async fn has_ended(addr: SocketAddr) -> bool {
    for delay in CHECK_DELAYS {
        sleep(delay).await;
        match timeout(CHECK_TIMEOUT, TcpStream::connect(addr)).await {
            Ok(Err(err)) => return err.kind() == ErrorKind::ConnectionRefused,
            Ok(Ok(_)) => {}
            Err(_) => return false,
        }
    }
    false
}

fn request_loss(fingerprint: Fingerprint, id: &EndpointId, incarnation: Incarnation) -> Loss {
    Loss {
        suspects: vec![Suspect::Request(fingerprint)],
        endpoint: id.clone(),
        incarnation,
        trial: false,
        age: Millis(0),
    }
}
