//! Clients of model engines and plain services.

pub mod engine;
pub mod service;
