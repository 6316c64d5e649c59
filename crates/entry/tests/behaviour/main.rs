//! Behaviour of an entry against stand-ins for the platform and the endpoints.

mod bad_input;
mod failures;
mod once;
mod session;
mod support;
