//! The request path on fakes of the parts that it is built on.

mod call;
mod chat;
mod policy;
mod support;
