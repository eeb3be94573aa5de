//! Messages between entry instances over HTTP with MessagePack bodies.
