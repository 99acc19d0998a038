//! Tests of the request path with fake dependencies.

mod call;
mod chat;
mod policy;
mod support;
