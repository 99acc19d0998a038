//! The request rate that an endpoint in need asks for.

/// A request rate that an endpoint asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestedRate {
    /// A number of requests per second, from all nodes together.
    PerS(f64),
    /// A value that states no rate, such as a negative number.
    Unreadable,
}
