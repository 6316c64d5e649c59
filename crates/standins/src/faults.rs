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

/// Fault switches of a stand-in, read with `GET /faults` and replaced with `POST /faults`.
///
/// Fields that are left out of the body are off.
pub struct Faults<T> {
    current: Arc<Mutex<T>>,
    hook: Arc<OnceLock<ChangeHook<T>>>,
}

type ChangeHook<T> = Box<dyn Fn(&T) + Send + Sync>;

impl<T> Faults<T> {
    /// Opens the switches with the given setting.
    pub fn open(initial: T) -> Self {
        Self { current: Arc::new(Mutex::new(initial)), hook: Arc::default() }
    }

    /// Reads the setting.
    pub fn read<R>(&self, f: impl FnOnce(&T) -> R) -> R {
        f(&self.lock())
    }

    /// Sets what is called after each replacement, for faults that break connections.
    pub(crate) fn on_change(&self, hook: impl Fn(&T) + Send + Sync + 'static) {
        self.hook.get_or_init(|| Box::new(hook));
    }

    /// Takes one from a count of faults to come and returns whether there was one left.
    pub(crate) fn try_take(&self, count: impl FnOnce(&mut T) -> &mut u32) -> bool {
        let mut faults = self.lock();
        let count = count(&mut faults);
        let was_left = *count > 0;
        *count = count.saturating_sub(1);
        was_left
    }

    fn lock(&self) -> MutexGuard<'_, T> {
        // Switches are replaced value by value, so they are whole even after a panic elsewhere.
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<T: Clone> Faults<T> {
    /// Replaces the setting.
    pub fn set(&self, faults: T) {
        *self.lock() = faults.clone();
        if let Some(hook) = self.hook.get() {
            hook(&faults);
        }
    }
}

impl<T: Clone + Serialize + DeserializeOwned + Send + 'static> Faults<T> {
    /// Returns the routes.
    pub(crate) fn router(&self) -> Router {
        let (reader, faults) = (self.clone(), self.clone());
        let show = move || std::future::ready(Json(reader.read(T::clone)));
        let replace = move |Extension(connection): Extension<Connection>, Json(new): Json<T>| {
            connection.exempt();
            faults.set(new.clone());
            // An exempt connection must not be used for anything else, since faults don't reach it.
            std::future::ready(([(CONNECTION, "close")], Json(new)))
        };
        Router::new().route("/faults", get(show).post(replace))
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
