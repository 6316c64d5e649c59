use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use carobwick_core::InstanceId;
use carobwick_runtime::now;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::Category;
use crate::Error;
use crate::Result;
use crate::connection::configure_socket;
use crate::coordinator::Coordinator;
use crate::coordinator::Frame;
use crate::elect::Election;
use crate::message::FromLeader;
use crate::message::ToLeader;
use crate::message::read_frame;
use crate::message::write_encoded;
use crate::message::write_frame;
use crate::state::State;

/// How often an instance reports its demand, and the leader the number of instances.
const REPORT: Duration = Duration::from_millis(500);
/// Silence after which a connection between instances is given up.
const SILENCE: Duration = Duration::from_millis(2_500);
const CONNECT: Duration = Duration::from_millis(500);
/// Pause before another try to reach the leader.
const RETRY: Duration = Duration::from_millis(500);

/// Takes the connections of the other instances.
pub(crate) async fn accept(
    state: Rc<State>,
    coordinator: Rc<Coordinator>,
    election: Rc<Election>,
    listener: TcpListener,
) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let (coordinator, election) = (Rc::clone(&coordinator), Rc::clone(&election));
                tokio::task::spawn_local(async move {
                    if let Err(err) = serve(coordinator, election, stream).await {
                        tracing::debug!("peers: {peer}: {err}");
                    }
                });
            }
            Err(err) => {
                tracing::warn!("peers: {} did not accept: {err}", state.settings.peers);
                tokio::time::sleep(RETRY).await;
            }
        }
    }
}

/// Serves one instance that follows this leader.
async fn serve(coordinator: Rc<Coordinator>, election: Rc<Election>, stream: TcpStream) -> Result<()> {
    configure_socket(&stream).map_err(|err| Error::new(Category::Lost, err.to_string()))?;
    let (mut from, mut to) = stream.into_split();
    let ToLeader::Hello { instance } = read(&mut from).await? else {
        return Err(Error::new(Category::Codec, "the first message is no greeting"));
    };
    if election.since().is_none() {
        return Ok(());
    }
    let (sender, mut receiver) = mpsc::unbounded_channel::<Frame>();
    coordinator.join(&instance, sender);
    let writer = async {
        while let Some(frame) = receiver.recv().await {
            write_encoded(&mut to, &frame).await?;
        }
        Ok(())
    };
    let reader = async {
        loop {
            let message = read(&mut from).await?;
            coordinator.take(&instance, message);
        }
    };
    tokio::select! {
        ended = writer => ended,
        ended = reader => ended,
    }
}

/// Keeps the connection to the leader, or stands in for it on the leader itself.
pub(crate) async fn follow(state: Rc<State>, coordinator: Rc<Coordinator>, election: Rc<Election>) {
    loop {
        if election.since().is_some() {
            lead(&state, &coordinator, &election).await;
        } else if let Some(note) = election.leader()
            && note.record.instance != state.settings.instance
        {
            let leader = &note.record.instance;
            // A leader that is frozen takes connections and says nothing; the next one must not wait for it.
            tokio::select! {
                result = connect(&state, &election, note.peers, leader) => {
                    if let Err(err) = result {
                        tracing::info!("peers: leader {leader} is not reached: {err}");
                    }
                }
                () = election.moved_from(&note) => tracing::info!("peers: {leader} does not lead any more"),
            }
        }
        if state.has_leader() {
            state.set_leader(None);
            election.set_connected(false);
        }
        // All instances lose a leader at the same moment.
        tokio::time::sleep(RETRY.mul_f64(0.5 + rand::random::<f64>())).await;
    }
}

/// Takes the messages of this instance for as long as it leads.
async fn lead(state: &State, coordinator: &Coordinator, election: &Election) {
    let (sender, mut receiver) = mpsc::unbounded_channel();
    state.set_leader(Some(sender));
    let mut next = now() + REPORT;
    while election.since().is_some() {
        match timeout(next - now(), receiver.recv()).await {
            Ok(Some(message)) => coordinator.take(&state.settings.instance, message),
            Ok(None) => return,
            Err(_) => {
                next = now() + REPORT;
                coordinator.take(&state.settings.instance, state.take_report());
                coordinator.beat();
            }
        }
    }
}

/// Follows a leader until the connection ends or another one leads.
async fn connect(state: &State, election: &Election, addr: SocketAddr, leader: &InstanceId) -> Result<()> {
    let lost = |err: std::io::Error| Error::new(Category::Connect, err.to_string());
    let connected = timeout(CONNECT, TcpStream::connect(addr)).await;
    let stream =
        connected.map_err(|_elapsed| Error::new(Category::Unreachable, "no connection"))?.map_err(lost)?;
    configure_socket(&stream).map_err(lost)?;
    let (mut from, mut to) = stream.into_split();
    write_frame(&mut to, &ToLeader::Hello { instance: state.settings.instance.clone() }).await?;
    // One that does not lead any more, or not yet, ends the connection without a message.
    take(state, election, read(&mut from).await?);
    // A new leader may not have heard of them; those it knows are no news to it.
    let leaving: Vec<_> = state.roster.borrow().leaving().collect();
    for (endpoint, run) in leaving {
        write_frame(&mut to, &ToLeader::Leaving { endpoint, run }).await?;
    }
    let (sender, mut receiver) = mpsc::unbounded_channel();
    state.set_leader(Some(sender));
    election.set_connected(true);
    tracing::info!("peers: follows {leader}");
    let writer = async {
        let mut next = now() + REPORT;
        loop {
            match timeout(next - now(), receiver.recv()).await {
                Ok(Some(message)) => write_frame(&mut to, &message).await?,
                Ok(None) => return Ok(()),
                Err(_) => {
                    next = now() + REPORT;
                    write_frame(&mut to, &state.take_report()).await?;
                }
            }
        }
    };
    let reader = async {
        while election.since().is_none() {
            take(state, election, read(&mut from).await?);
        }
        Ok(())
    };
    tokio::select! {
        ended = writer => ended,
        ended = reader => ended,
    }
}

fn take(state: &State, election: &Election, message: FromLeader) {
    match message {
        FromLeader::Instances(Some(instances)) => {
            state.set_instances(instances);
            election.set_instances(instances);
        }
        FromLeader::Instances(None) => {}
        FromLeader::Engine { endpoint, run, holding } => {
            state.roster.borrow_mut().told(&endpoint, run, &holding, now());
            state.changed.notify_waiters();
        }
        FromLeader::Loss { print, endpoint, run } => {
            state.suspects.borrow_mut().lost(print, &endpoint, run, now());
        }
        FromLeader::Leaving { endpoint, run } => {
            state.mark_leaving(&endpoint, run);
        }
        FromLeader::Loads(loads) => state.take_loads(&loads),
        FromLeader::List(news) => state.pass_list(news),
        FromLeader::Config { version, age } => state.note_version(version, age.duration()),
    }
}

async fn read<M: serde::de::DeserializeOwned>(from: &mut (impl tokio::io::AsyncRead + Unpin)) -> Result<M> {
    let silent = |_elapsed| Error::new(Category::Lost, format!("silent for {SILENCE:?}"));
    timeout(SILENCE, read_frame(from)).await.map_err(silent)?
}
