//! End-to-end tests with nodes and stand-ins as separate processes on loopback.

mod failures;
mod path;
mod support;
