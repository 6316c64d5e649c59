use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;

use axum::Extension;
use axum::Json;
use axum::Router;
use axum::routing::get;
use http::header::CONNECTION;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::server::Connection;

/// Faults that a stand-in injects, shared between its tasks.
///
/// `GET /faults` returns them and `POST /faults` replaces them. Faults that the body leaves out are turned
/// off.
pub struct Faults<T> {
    current: Arc<Mutex<T>>,
    hook: Arc<OnceLock<ChangeHook<T>>>,
}

type ChangeHook<T> = Box<dyn Fn(&T) + Send + Sync>;

impl<T> Faults<T> {
    /// Creates the fault switches with their initial values.
    pub fn open(initial: T) -> Self {
        Self { current: Arc::new(Mutex::new(initial)), hook: Arc::default() }
    }

    /// Calls `f` with the current faults and returns its result.
    pub fn read<R>(&self, f: impl FnOnce(&T) -> R) -> R {
        f(&self.lock())
    }

    /// Sets the function that is called after each replacement, for faults that break connections.
    pub(crate) fn on_change(&self, hook: impl Fn(&T) + Send + Sync + 'static) {
        self.hook.get_or_init(|| Box::new(hook));
    }

    /// Decrements the number of faults still to be injected and returns whether it was above zero.
    pub(crate) fn try_take(&self, count: impl FnOnce(&mut T) -> &mut u32) -> bool {
        let mut faults = self.lock();
        let count = count(&mut faults);
        let was_left = *count > 0;
        *count = count.saturating_sub(1);
        was_left
    }

    fn lock(&self) -> MutexGuard<'_, T> {
        // No update leaves the value inconsistent, so it can still be used after a panic in another task.
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<T: Clone> Faults<T> {
    /// Replaces the faults.
    pub fn set(&self, faults: T) {
        *self.lock() = faults.clone();
        if let Some(hook) = self.hook.get() {
            hook(&faults);
        }
    }
}

impl<T: Clone + Serialize + DeserializeOwned + Send + 'static> Faults<T> {
    /// Returns a router that serves `/faults`.
    pub(crate) fn router(&self) -> Router {
        let (reader, faults) = (self.clone(), self.clone());
        let current = move || std::future::ready(Json(reader.read(T::clone)));
        let replace = move |Extension(connection): Extension<Connection>, Json(new): Json<T>| {
            connection.exempt();
            faults.set(new.clone());
            // Faults don't affect an exempt connection, so it must not be reused for other requests.
            std::future::ready(([(CONNECTION, "close")], Json(new)))
        };
        Router::new().route("/faults", get(current).post(replace))
    }
}

impl<T: fmt::Debug> fmt::Debug for Faults<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Faults").field("current", &self.current).finish_non_exhaustive()
    }
}

impl<T> Clone for Faults<T> {
    fn clone(&self) -> Self {
        Self { current: Arc::clone(&self.current), hook: Arc::clone(&self.hook) }
    }
}
