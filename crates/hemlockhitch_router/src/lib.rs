//! The request path: admit, decide, claim, dispatch, relay and bill.
