//! Tests of the stand-ins, each of which runs in process on a free port.

mod engine_chat;
mod engine_orders;
mod kv;
mod load;
mod platform;
mod service;
mod support;
