//! Behaviour of an entry with stand-ins for the key-value service and the endpoints.

mod bad_input;
mod callers;
mod failures;
mod golden;
mod idempotency;
mod session;
mod support;
