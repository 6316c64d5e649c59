use std::time::Duration;

/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// Pause between failed calls.
#[derive(Debug)]
pub(crate) struct Backoff {
    pause: Duration,
}

impl Backoff {
    pub fn new() -> Self {
        Self { pause: FIRST_PAUSE }
    }

    pub async fn wait(&mut self) {
        tokio::time::sleep(self.pause.mul_f64(0.5 + rand::random::<f64>())).await;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }

    pub fn reset(&mut self) {
        self.pause = FIRST_PAUSE;
    }
}
