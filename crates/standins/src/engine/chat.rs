use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::body::Body;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use bytes::Bytes;
use carobwick_core::AttemptId;
use carobwick_core::ModelId;
use carobwick_core::Priority;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use tokio::runtime::Handle;
use tokio::sync::watch;

use super::batch::Job;
use super::batch::Phase;
use super::batch::Progress;
use super::cache::BLOCK_SIZE;
use super::reply::Refusal;
use super::reply::add_headers;
use super::reply::chat_response;
use super::reply::stream_event;
use super::state::Core;
use super::state::pause_if_abandoned;
use crate::ChatRequest;
use crate::completion::block_hashes;
use crate::completion::count_tokens;

/// Time for writing the events before a cut to the connection.
const CUT_FLUSH_TIME: Duration = Duration::from_millis(20);

/// Handles `POST /v1/chat/completions`.
pub(super) async fn chat(State(core): State<Arc<Core>>, headers: HeaderMap, body: Bytes) -> Response {
    let attempt = header(&headers, "carobwick-attempt").and_then(|text| text.parse().ok());
    let response = match respond(&core, &headers, attempt, &body).await {
        Ok(response) => response,
        Err(refusal) => {
            core.lock().stats.refused += 1;
            refusal.into_response()
        }
    };
    add_headers(&core, attempt, response)
}

async fn respond(
    core: &Arc<Core>,
    headers: &HeaderMap,
    attempt: Option<AttemptId>,
    body: &[u8],
) -> Result<Response, Refusal> {
    let request: ChatRequest = serde_json::from_slice(body)
        .map_err(|err| Refusal::not_run(StatusCode::BAD_REQUEST, "bad_request", err.to_string()))?;
    let id = format!("chatcmpl-{}", attempt.unwrap_or_default());
    if let Some(text) = header(headers, "carobwick-resume") {
        let (job, received) = resume(core, attempt, text)?;
        return Ok(stream_response(Reader::new(core, job, attempt), id, received));
    }
    let priority =
        header(headers, "carobwick-priority").and_then(|text| text.parse().ok()).unwrap_or_default();
    let job = submit(core, &request, attempt, priority)?;
    let mut reader = Reader::new(core, job, attempt.filter(|_| request.stream));
    if request.stream {
        return Ok(stream_response(reader, id, 0));
    }
    reader.wait_for(reader.job.max_tokens).await;
    reader.complete = true;
    Ok(chat_response(&reader.job, &id))
}

fn submit(
    core: &Arc<Core>,
    request: &ChatRequest,
    attempt: Option<AttemptId>,
    priority: Priority,
) -> Result<Arc<Job>, Refusal> {
    let unknown = |_| Refusal::not_run(StatusCode::NOT_FOUND, "model_not_found", "bad model name");
    let model: ModelId = request.model.parse().map_err(unknown)?;
    let prompt = request.prompt();
    let crashes =
        core.faults.read(|faults| faults.crash_marker.as_ref().is_some_and(|mark| prompt.contains(mark)));
    let mut state = core.lock();
    let Some(version) = state.memory.serving_version(&model) else {
        let message = format!("model {model} is not resident");
        return Err(Refusal::not_run(StatusCode::NOT_FOUND, "model_not_found", message));
    };
    let batch = &state.batch;
    if batch.queued() >= core.options.queue_limit && batch.running() >= core.options.slots {
        return Err(Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "queue_full", "the queue is full"));
    }
    let job = Arc::new(Job {
        hash: request.hash(),
        blocks: block_hashes(&request.model, &prompt, BLOCK_SIZE),
        prompt_tokens: count_tokens(&prompt),
        max_tokens: request.max_tokens.max(1),
        model,
        version,
        priority,
        crashes,
        readers: AtomicU32::new(1),
        progress: watch::Sender::new(Progress { tokens: 0, phase: Phase::Active }),
    });
    state.stats.requests += 1;
    state.batch.push(Arc::clone(&job));
    if let Some(attempt) = attempt.filter(|_| request.stream) {
        state.streams.add(attempt, Arc::clone(&job));
    }
    drop(state);
    core.wake.notify_one();
    Ok(job)
}

/// Finds the request of a broken stream, and returns it with the number of events that the caller has
/// received.
///
/// A paused request is put back into the batch.
fn resume(core: &Arc<Core>, attempt: Option<AttemptId>, text: &str) -> Result<(Arc<Job>, u32), Refusal> {
    let parsed = text
        .split_once(',')
        .and_then(|(id, count)| Some((id.trim().parse().ok()?, count.trim().parse().ok()?)));
    let Some((broken, received)) = parsed else {
        return Err(Refusal::not_run(StatusCode::BAD_REQUEST, "bad_resume", "not `attempt,events`"));
    };
    let mut state = core.lock();
    let Some(job) = state.streams.get(broken) else {
        // The request may have run under its first attempt, so the response must not say that it did not run.
        return Err(Refusal::may_have_run(StatusCode::GONE, "resume_unknown", "no such stream"));
    };
    state.stats.resumed += 1;
    if let Some(attempt) = attempt {
        state.streams.add(attempt, Arc::clone(&job));
    }
    if job.progress.borrow().phase == Phase::Paused {
        job.progress.send_modify(|progress| progress.phase = Phase::Active);
        state.batch.push(Arc::clone(&job));
        core.wake.notify_one();
    }
    // The increment happens under the lock, so the end of the grace period can't pause the request again.
    job.readers.fetch_add(1, Ordering::SeqCst);
    Ok((job, received))
}

fn stream_response(reader: Reader, id: String, first: u32) -> Response {
    let cut = reader.core.faults.try_take(|faults| &mut faults.cut_streams);
    let cut = cut.then(|| reader.core.faults.read(|faults| faults.cut_after));
    let events = futures_util::stream::try_unfold((reader, first), move |(mut reader, index)| {
        let id = id.clone();
        async move {
            if cut == Some(index - first) {
                // An HTTP/2 reset discards what is still in the send buffer, so wait until it has been
                // written.
                tokio::time::sleep(CUT_FLUSH_TIME).await;
                return Err(io::Error::other("stream cut"));
            }
            if index >= reader.job.event_count() {
                return Ok(None);
            }
            let end = reader.wait_for(index).await;
            let end = cut.map_or(end, |cut| end.min(first + cut));
            let events: String = (index..end).map(|index| stream_event(&reader.job, &id, index)).collect();
            reader.complete = end == reader.job.event_count();
            Ok(Some((Bytes::from(events), (reader, end))))
        }
    });
    let mut response = Response::new(Body::from_stream(events));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    response
}

/// Progress of a request whose response is being sent.
///
/// If it is dropped before the response is complete, the request is paused: at once without a stream, or
/// after the grace period for resumes with one.
struct Reader {
    core: Arc<Core>,
    job: Arc<Job>,
    /// Attempt id under which the stream can be resumed; `None` for a response that is not a stream.
    attempt: Option<AttemptId>,
    progress: watch::Receiver<Progress>,
    complete: bool,
}

impl Reader {
    fn new(core: &Arc<Core>, job: Arc<Job>, attempt: Option<AttemptId>) -> Self {
        let progress = job.progress.subscribe();
        Self { core: Arc::clone(core), job, attempt, progress, complete: false }
    }

    /// Waits until the event at `index` can be sent, and returns the index after the last event that can be
    /// sent.
    ///
    /// The call never returns if the engine crashes, because the crash closes the connection.
    async fn wait_for(&mut self, index: u32) -> u32 {
        let ready = |progress: &Progress| progress.tokens > index || progress.phase == Phase::Done;
        match self.progress.wait_for(ready).await.map(|progress| *progress) {
            Ok(Progress { phase: Phase::Done, .. }) => self.job.event_count(),
            Ok(progress) => progress.tokens,
            Err(_) => std::future::pending().await,
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.job.readers.fetch_sub(1, Ordering::SeqCst);
        if let Some(attempt) = self.attempt {
            self.core.lock().streams.mark_ended(attempt);
        }
        if self.complete || self.job.progress.borrow().phase != Phase::Active {
            return;
        }
        match (self.attempt, Handle::try_current()) {
            (Some(_), Ok(runtime)) => {
                let (core, job) = (Arc::clone(&self.core), Arc::clone(&self.job));
                runtime.spawn(async move {
                    tokio::time::sleep(core.options.resume_grace).await;
                    pause_if_abandoned(&core, &job);
                });
            }
            _ => pause_if_abandoned(&self.core, &self.job),
        }
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
