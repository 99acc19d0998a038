//! Routing decisions as functions of their arguments, without I/O.
//!
//! The present time is an argument of every function that decides.

pub mod admission;
pub mod bearing;
pub mod cascade;
pub mod endpoint;
pub mod guard;
pub mod retry;
pub mod version;
