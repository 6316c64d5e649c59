use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::time::Duration;

use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Largest number of lines that are queued while the reader of standard output is slow; further ones are
/// dropped.
const MAX_QUEUED_LINES: usize = 4_096;
/// Longest wait for the last lines when a process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Destination of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard output, through a bounded queue so that a slow reader never blocks the process.
    Stdout,
    /// Standard error, for programs that print their results on standard output.
    Stderr,
}

/// Guard whose drop waits up to 500 ms for queued log lines to be written.
#[derive(Debug)]
#[must_use = "lines that are not written when the process ends are lost"]
pub struct LogGuard {
    queue: Option<SyncSender<Message>>,
}

/// Message to the writer thread.
#[derive(Debug)]
enum Message {
    Line(Vec<u8>),
    /// Asks for a reply once all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Queues lines for the writer thread and counts those that are dropped because the queue is full.
#[derive(Debug, Clone)]
struct LineQueue {
    messages: SyncSender<Message>,
    drop_count: Arc<AtomicU64>,
}

/// One log line; it is queued when it is dropped.
#[derive(Debug)]
struct Line {
    queue: LineQueue,
    bytes: Vec<u8>,
}

/// Starts structured logs, as JSON lines, and returns the guard to drop at the end of the process.
///
/// `filter` has the form of `RUST_LOG`, such as `info` or `carobwick_entry=debug`.
///
/// # Errors
///
/// Fails if the filter can't be parsed, logs were started before, or the writer thread can't be started.
pub fn start_logs(filter: &str, output: LogOutput) -> anyhow::Result<LogGuard> {
    let filter = EnvFilter::try_new(filter)?;
    let logs = tracing_subscriber::fmt().with_env_filter(filter).json();
    let setup_error = |err| anyhow::anyhow!("logs: {err}");
    match output {
        LogOutput::Stdout => {
            let queue = LineQueue::open()?;
            let guard = LogGuard { queue: Some(queue.messages.clone()) };
            logs.with_writer(queue).try_init().map_err(setup_error)?;
            Ok(guard)
        }
        LogOutput::Stderr => {
            logs.with_writer(io::stderr).try_init().map_err(setup_error)?;
            Ok(LogGuard { queue: None })
        }
    }
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        let Some(queue) = &self.queue else { return };
        let (done, wait) = sync_channel(1);
        if queue.try_send(Message::Flush(done)).is_ok() {
            // A reader that has stopped reading must not keep the process from ending.
            let _timed_out = wait.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

impl LineQueue {
    fn open() -> io::Result<Self> {
        let (messages, receiver) = sync_channel(MAX_QUEUED_LINES);
        let drop_count = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&drop_count);
        std::thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write_lines(&receiver, &counter))?;
        Ok(Self { messages, drop_count })
    }
}

impl<'a> MakeWriter<'a> for LineQueue {
    type Writer = Line;

    fn make_writer(&'a self) -> Line {
        Line { queue: self.clone(), bytes: Vec::new() }
    }
}

impl Write for Line {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.bytes.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        if !bytes.is_empty() && self.queue.messages.try_send(Message::Line(bytes)).is_err() {
            self.queue.drop_count.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Writes lines until the process ends; if standard output is closed, the logs end but the process does not.
fn write_lines(messages: &Receiver<Message>, drop_count: &AtomicU64) {
    let mut out = io::stdout();
    for message in messages {
        let line = match message {
            Message::Line(line) => line,
            Message::Flush(done) => {
                // The process may have stopped waiting.
                let _closed = done.try_send(());
                continue;
            }
        };
        let dropped = drop_count.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let warning = format!(
                "{{\"level\":\"WARN\",\"fields\":{{\"message\":\"logs: {dropped} lines were dropped\"}}}}\n"
            );
            if out.write_all(warning.as_bytes()).is_err() {
                return;
            }
        }
        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
