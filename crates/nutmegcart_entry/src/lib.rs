//! The entry instance: HTTP for callers, operators and peers, worker pool, shared tables and shutdown.
