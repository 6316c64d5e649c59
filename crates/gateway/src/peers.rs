use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use carobwick_core::InstanceId;
use carobwick_core::gateway::SharedLoads;
use carobwick_runtime::now;
use tokio::io::AsyncWrite;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::Category;
use crate::Error;
use crate::Result;
use crate::connection::configure_socket;
use crate::coordinator::Coordinator;
use crate::coordinator::followers::Frame;
use crate::election::Election;
use crate::listener;
use crate::message::FollowerMessage;
use crate::message::LeaderMessage;
use crate::message::encode_frame;
use crate::message::read_frame;
use crate::message::write_encoded;
use crate::message::write_frame;
use crate::state::State;

/// Interval at which a follower reports its demand and the leader sends its heartbeat.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a message after which a connection between instances is closed.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before the next attempt to connect to the leader.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Accepts connections of other instances.
pub(crate) async fn accept(coordinator: Rc<Coordinator>, election: Rc<Election>, listener: TcpListener) {
    loop {
        let (stream, peer) = listener::accept(&listener, "peers").await;
        let (coordinator, election) = (Rc::clone(&coordinator), Rc::clone(&election));
        tokio::task::spawn_local(async move {
            if let Err(err) = serve_follower(coordinator, election, stream).await {
                tracing::debug!("peers: {peer}: {err}");
            }
        });
    }
}

/// Serves one follower until the connection ends.
async fn serve_follower(
    coordinator: Rc<Coordinator>,
    election: Rc<Election>,
    stream: TcpStream,
) -> Result<()> {
    configure_socket(&stream).map_err(|err| Error::new(Category::Lost, err.to_string()))?;
    let (mut from, mut to) = stream.into_split();
    let FollowerMessage::Hello { instance } = read_message(&mut from).await? else {
        return Err(Error::new(Category::Codec, "the first message is not a hello"));
    };
    if election.leading_since().is_none() {
        return Ok(());
    }
    let (sender, mut receiver) = mpsc::unbounded_channel::<Frame>();
    coordinator.add_follower(&instance, sender);
    let writer = async {
        while let Some(frame) = receiver.recv().await {
            write_encoded(&mut to, &frame).await?;
        }
        Ok(())
    };
    let reader = async {
        loop {
            let message = read_message(&mut from).await?;
            coordinator.handle_message(&instance, message);
        }
    };
    tokio::select! {
        ended = writer => ended,
        ended = reader => ended,
    }
}

/// Keeps a connection to the leader; on the leader itself, delivers this instance's messages without one.
pub(crate) async fn follow(state: Rc<State>, coordinator: Rc<Coordinator>, election: Rc<Election>) {
    loop {
        if election.leading_since().is_some() {
            receive_as_leader(&state, &coordinator, &election).await;
        } else if let Some(entry) = election.leader()
            && entry.record.instance != state.settings.instance
        {
            let leader = &entry.record.instance;
            // A frozen leader's kernel still accepts connections; waiting for it must not delay following the
            // next leader.
            tokio::select! {
                result = follow_leader(&state, &election, entry.peers, leader) => {
                    if let Err(err) = result {
                        tracing::info!("peers: connection to leader {leader} failed: {err}");
                    }
                }
                () = election.wait_leader_changed(&entry) => tracing::info!("peers: {leader} is no longer the leader"),
            }
        } else if !state.has_joined.get() {
            // No delay here: until it is connected, nobody learns of the streams that this instance begins.
            election.wait_changed().await;
            continue;
        }
        if state.has_leader() {
            state.set_leader_sender(None);
            election.set_connected(false);
        }
        // Jitter, since all instances lose a leader at the same moment.
        tokio::time::sleep(RETRY_DELAY.mul_f64(0.5 + rand::random::<f64>())).await;
    }
}

/// Handles the messages of this instance itself while it is the leader.
async fn receive_as_leader(state: &State, coordinator: &Coordinator, election: &Election) {
    let (sender, mut receiver) = mpsc::unbounded_channel();
    state.set_leader_sender(Some(sender));
    state.streams.borrow_mut().reset_sent();
    state.share_streams();
    let mut next_report = now() + REPORT_INTERVAL;
    while election.leading_since().is_some() {
        match timeout(next_report - now(), receiver.recv()).await {
            Ok(Some(message)) => coordinator.handle_message(&state.settings.instance, message),
            Ok(None) => return,
            Err(_) => {
                next_report = now() + REPORT_INTERVAL;
                coordinator.handle_message(&state.settings.instance, state.take_report(Vec::new()));
                coordinator.send_heartbeat();
            }
        }
    }
}

/// Follows a leader until the connection ends or this instance becomes the leader.
async fn follow_leader(
    state: &State,
    election: &Election,
    addr: SocketAddr,
    leader: &InstanceId,
) -> Result<()> {
    let connect_error = |err: std::io::Error| Error::new(Category::Connect, err.to_string());
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    let stream = connected
        .map_err(|_elapsed| Error::new(Category::Unreachable, "connecting timed out"))?
        .map_err(connect_error)?;
    configure_socket(&stream).map_err(connect_error)?;
    let (mut from, mut to) = stream.into_split();
    write_frame(&mut to, &FollowerMessage::Hello { instance: state.settings.instance.clone() }).await?;
    // An instance that is not the leader closes the connection without a message.
    handle_message(state, election, read_message(&mut from).await?);
    // A new leader may not know the leaving endpoints, the rate limits, the losses and the streams; it ignores those
    // that it does.
    let leaving: Vec<_> = state.endpoints.borrow().leaving().collect();
    for (endpoint, incarnation) in leaving {
        write_frame(&mut to, &FollowerMessage::EndpointLeaving { endpoint, incarnation }).await?;
    }
    for message in state.limit_messages() {
        write_message(&mut to, &message).await?;
    }
    for loss in state.losses_to_share() {
        write_message(&mut to, &FollowerMessage::SuspectsLost(loss)).await?;
    }
    let streams = state.streams.borrow().own_shared(now());
    if !streams.is_empty() {
        write_message(&mut to, &FollowerMessage::streams(streams)).await?;
    }
    let (sender, mut receiver) = mpsc::unbounded_channel();
    state.set_leader_sender(Some(sender));
    state.share_streams();
    election.set_connected(true);
    tracing::info!("peers: following {leader}");
    let writer = async {
        // Instances that find a leader at one moment do not report at one moment.
        let mut next_report = now() + REPORT_INTERVAL.mul_f64(0.5 + rand::random::<f64>());
        loop {
            match timeout(next_report - now(), receiver.recv()).await {
                Ok(Some(message)) => write_message(&mut to, &message).await?,
                Ok(None) => return Ok(()),
                Err(_) => {
                    next_report = now() + REPORT_INTERVAL;
                    let streams = state.streams.borrow_mut().take_all_unshared(now());
                    write_message(&mut to, &state.take_report(streams)).await?;
                }
            }
        }
    };
    let reader = async {
        while election.leading_since().is_none() {
            handle_message(state, election, read_message(&mut from).await?);
        }
        Ok(())
    };
    tokio::select! {
        ended = writer => ended,
        ended = reader => ended,
    }
}

fn handle_message(state: &State, election: &Election, message: LeaderMessage) {
    match message {
        LeaderMessage::InstanceCount(Some(instances)) => {
            state.set_settled(true);
            state.set_instances(instances);
            election.set_instances(instances);
        }
        LeaderMessage::InstanceCount(None) => state.set_settled(false),
        LeaderMessage::EngineModels { endpoint, incarnation, resident } => {
            state.endpoints.borrow_mut().set_resident(&endpoint, incarnation, &resident, now());
            state.endpoints_changed.notify_waiters();
        }
        LeaderMessage::EndpointLost { fingerprint, endpoint, incarnation } => {
            let _loss = state.receive_loss(fingerprint, &endpoint, incarnation);
        }
        LeaderMessage::EndpointLeaving { endpoint, incarnation } => {
            state.mark_leaving(&endpoint, incarnation);
        }
        LeaderMessage::EndpointLimit { endpoint, incarnation, limit } => {
            state.set_limit(&endpoint, incarnation, limit);
        }
        LeaderMessage::Token { number, reply } => state.token_requests.complete(number, reply),
        LeaderMessage::SuspectsLost(loss) => {
            state.receive_loss_report(&loss);
        }
        LeaderMessage::SuspectsCleared { suspects } => {
            state.receive_cleared(&suspects);
        }
        LeaderMessage::Config(table) => {
            state.apply_config(Arc::new(*table), "from the leader");
        }
        LeaderMessage::Trial { number, granted } => state.trial_requests.complete(number, granted),
        LeaderMessage::Loads { loads, streams, paces, quotas } => {
            if let Some(update) = quotas {
                state.receive_quotas(&update);
            }
            state.receive_loads(&SharedLoads { loads, paces });
            state.receive_streams(streams);
        }
        LeaderMessage::StreamsReceived { keys } => state.confirm_streams(&keys),
        LeaderMessage::EndpointList(update) => state.receive_list_update(update),
        LeaderMessage::ConfigVersion { version, age } => state.set_leader_version(version, age.duration()),
    }
}

/// Writes a message; one that is too long for a frame is left out, since it would end each connection to the
/// leader again.
async fn write_message(to: &mut (impl AsyncWrite + Unpin), message: &FollowerMessage) -> Result<()> {
    match encode_frame(message) {
        Ok(frame) => write_encoded(to, &frame).await,
        Err(err) => {
            tracing::error!("peers: can't encode a message: {err}");
            Ok(())
        }
    }
}

async fn read_message<M: serde::de::DeserializeOwned>(
    from: &mut (impl tokio::io::AsyncRead + Unpin),
) -> Result<M> {
    let timed_out = |_elapsed| Error::new(Category::Lost, format!("no message for {SILENCE_TIMEOUT:?}"));
    timeout(SILENCE_TIMEOUT, read_frame(from)).await.map_err(timed_out)?
}
