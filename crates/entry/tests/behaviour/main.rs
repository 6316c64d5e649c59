//! Behaviour of an entry against stand-ins for the platform and the endpoints.

mod bad_input;
mod callers;
mod failures;
mod golden;
mod idempotency;
mod session;
mod support;
