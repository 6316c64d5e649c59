use std::time::Duration;

const INITIAL_DELAY: Duration = Duration::from_millis(100);
const MAX_DELAY: Duration = Duration::from_millis(800);

/// Exponential backoff with jitter between attempts of a failing call.
#[derive(Debug)]
pub(crate) struct Backoff {
    delay: Duration,
}

impl Backoff {
    pub fn new() -> Self {
        Self { delay: INITIAL_DELAY }
    }

    pub async fn wait(&mut self) {
        tokio::time::sleep(self.delay.mul_f64(0.5 + rand::random::<f64>())).await;
        self.delay = (self.delay * 2).min(MAX_DELAY);
    }

    pub fn reset(&mut self) {
        self.delay = INITIAL_DELAY;
    }
}
