//! Nodes and stand-ins as separate processes on loopback.

mod path;
mod support;
