use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;

use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Lines that wait for the reader of the logs before further ones are left out.
const WAITING_LINES: usize = 4_096;

/// Where log lines go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard output, by way of a bounded queue that never blocks the process.
    Stdout,
    /// Standard error, for programs that print their results on standard output.
    Stderr,
}

/// Hands lines to a thread that writes them, and counts those that found no room.
#[derive(Debug, Clone)]
struct LineQueue {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

/// One line on its way to the queue.
#[derive(Debug)]
struct Line {
    queue: LineQueue,
    bytes: Vec<u8>,
}

/// Starts structured logs, as JSON lines.
///
/// `filter` has the form of `RUST_LOG`, such as `info` or `carobwick_entry=debug`.
///
/// # Errors
///
/// Fails if the filter can't be parsed, logs were started before, or the thread that writes can't be started.
pub fn start_logs(filter: &str, output: LogOutput) -> anyhow::Result<()> {
    let filter = EnvFilter::try_new(filter)?;
    let logs = tracing_subscriber::fmt().with_env_filter(filter).json();
    let started = match output {
        LogOutput::Stdout => logs.with_writer(LineQueue::open()?).try_init(),
        LogOutput::Stderr => logs.with_writer(io::stderr).try_init(),
    };
    started.map_err(|err| anyhow::anyhow!("logs: {err}"))
}

impl LineQueue {
    fn open() -> io::Result<Self> {
        let (lines, waiting) = sync_channel(WAITING_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        std::thread::Builder::new().name("logs".to_owned()).spawn(move || write_lines(&waiting, &counted))?;
        Ok(Self { lines, dropped })
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
        if !bytes.is_empty() && self.queue.lines.try_send(bytes).is_err() {
            self.queue.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Writes lines until the process ends; a reader that went away ends the logs, not the process.
fn write_lines(waiting: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut out = io::stdout();
    for line in waiting {
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let note = format!(
                "{{\"level\":\"WARN\",\"fields\":{{\"message\":\"logs: {lost} lines were left out\"}}}}\n"
            );
            if out.write_all(note.as_bytes()).is_err() {
                return;
            }
        }
        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
