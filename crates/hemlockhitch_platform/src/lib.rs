//! Traits and clients for the platform's services.
//!
//! Each service stands behind one narrow trait, so that another protocol is a
//! new client and nothing more.

pub mod key_value;
pub mod rating;
pub mod vm_list;
pub mod weights;
