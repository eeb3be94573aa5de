//! Request path decisions as pure state machines: routing, admission, retries, at-most-once and membership.
