//! Command-line flags, parsed by `xflags`; the doc comments are the text of `--help`.
#![allow(missing_docs)]

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Fleet capacity and maintenance manager.
    ///
    /// Every setting of `serve` is also an environment variable, for example
    /// NUTMEGCART_BODY_LIMIT for --body-limit; a flag takes precedence over the environment.
    ///
    /// Examples:
    ///   nutmegcart demo --seed 7 --json
    ///   nutmegcart serve --platform memory --runners 127.0.0.1:9001,127.0.0.1:9002
    ///   nutmegcart apply pools.json --entry 127.0.0.1:8080
    ///   nutmegcart wave start monthly
    cmd nutmegcart {
        /// Runs an entry instance until SIGTERM.
        cmd serve {
            /// IP address and port to serve (default 127.0.0.1:8080).
            optional --listen address: String
            /// Identifier of this entry instance (default entry-1).
            optional --id name: String
            /// Data centre (default local).
            optional --centre name: String
            /// IP address and port of the platform, or memory (default memory).
            optional --platform address: String
            /// Comma-separated addresses of the other entry instances.
            optional --peers addresses: String
            /// Comma-separated addresses of runners, with --platform memory.
            optional --runners addresses: String
            /// Maximum number of open connections, 1 to 100000 (default 1024).
            optional --connections number: String
            /// Maximum size in bytes of a request or answer body, 1024 to 67108864 (default 1048576).
            optional --body-limit bytes: String
            /// Deadline in ms of requests without one, 10 to 3600000 (default 10000).
            optional --deadline-ms time: String
            /// Time in ms from failing readiness to refusing requests, 0 to 600000 (default 3000).
            optional --grace-ms time: String
            /// Threads for calls of operators, 1 to 256 (default 8).
            optional --threads number: String
            /// Time in ms between control rounds, 10 to 60000 (default 500).
            optional --round-ms time: String
            /// Time in ms of the duty lease, 1000 to 60000 (default 10000).
            optional --lease-ms time: String
            /// Log level: error, warn, info, debug or trace (default info).
            optional --log level: String
            /// Log lines as JSON.
            optional --log-json
        }
        /// Runs an entry instance on the platform that a settings file describes.
        ///
        /// Example: nutmegcart manage --metrics 7061
        cmd manage {
            /// Settings file (default: the path in NUTMEGCART_SETTINGS).
            optional --settings path: PathBuf
            /// Port to serve metrics on (default: metrics are not served).
            optional --metrics port: u16
            /// Log level: error, warn, info, debug or trace (default info).
            optional --log level: String
        }
        /// Checks settings and record files without network access.
        ///
        /// Example: nutmegcart check pools.json budgets.json
        cmd check {
            /// Files with one record or an array of records.
            repeated files: PathBuf
            /// Settings file of the platform on which `manage` runs.
            optional --platform path: PathBuf
        }
        /// Shows the history of one job, taken from the logs of several instances.
        ///
        /// Example: nutmegcart explain 5c0e7a21d94b36f8 entry-1.log entry-2.log
        cmd explain {
            /// Identifier of the job.
            required id: String
            /// Log files (default: standard input).
            repeated files: PathBuf
        }
        /// Submits, shows or cancels a job, or counts the waiting jobs of a queue.
        ///
        /// --entry is the peer address of an instance that runs `manage`.
        ///
        /// Example: nutmegcart job submit 5c0e7a21d94b36f8 --file tally.json
        cmd job {
            /// What to do: submit, show, cancel or waiting.
            required action: String
            /// Job identifier (16 hexadecimal digits); for waiting, host and path prefix of the queue.
            required subject: String
            /// File with the job to submit.
            optional --file path: PathBuf
            /// Key of the organisation (default NUTMEGCART_KEY, which other users of the machine do not see).
            optional --key key: String
            /// Entry instance (default NUTMEGCART_ENTRY or 127.0.0.1:8080).
            optional --entry address: SocketAddr
            /// Print JSON.
            optional --json
        }
        /// Runs a whole deployment under load in one process and reports whether its invariants held.
        cmd demo {
            /// Seed of the load (default 1).
            optional --seed seed: u64
            /// Print the report as one JSON object on the last line.
            optional --json
        }
        /// Applies record files as one change: all records are accepted, or none.
        ///
        /// Example: nutmegcart apply pools.json --based-on 12
        cmd apply {
            /// Files with one record or an array of records.
            repeated files: PathBuf
            /// Record to delete, as kind/name.
            repeated --delete key: String
            /// Refuse the change unless this is the current generation.
            optional --based-on generation: u64
            /// Identifier of the change; repeat it after an unknown outcome.
            optional --operation identifier: String
            /// Generation that was in force before the first attempt.
            optional --since generation: u64
            /// Entry instance (default NUTMEGCART_ENTRY or 127.0.0.1:8080).
            optional --entry address: SocketAddr
            /// Print JSON.
            optional --json
        }
        /// Prints one record.
        ///
        /// Example: nutmegcart get pool gates
        cmd get {
            /// Record kind: pool, job, budget, wave or team.
            required kind: String
            /// Record name.
            required name: String
            /// Entry instance (default NUTMEGCART_ENTRY or 127.0.0.1:8080).
            optional --entry address: SocketAddr
            /// Print JSON.
            optional --json
        }
        /// Lists records, all or of one kind.
        ///
        /// Example: nutmegcart list pool
        cmd list {
            /// Record kind.
            optional kind: String
            /// Entry instance (default NUTMEGCART_ENTRY or 127.0.0.1:8080).
            optional --entry address: SocketAddr
            /// Print JSON.
            optional --json
        }
        /// Shows the state of an entry instance and its peers, or of the cells and their stalled jobs.
        ///
        /// For the cells, --entry is the peer address of an instance that runs `manage`.
        ///
        /// Example: nutmegcart status --entry 10.1.0.9:7060
        cmd status {
            /// Entry instance (default NUTMEGCART_ENTRY or 127.0.0.1:8080).
            optional --entry address: SocketAddr
            /// Print JSON.
            optional --json
        }
        /// Starts or pauses a maintenance wave, or shows its progress.
        ///
        /// Example: nutmegcart wave status monthly
        cmd wave {
            /// What to do: start, pause or status.
            required action: String
            /// Name of the wave record.
            required name: String
            /// Entry instance (default NUTMEGCART_ENTRY or 127.0.0.1:8080).
            optional --entry address: SocketAddr
            /// Print JSON.
            optional --json
        }
        /// Drains an instance as the availability budget allows; it returns after its next reboot.
        ///
        /// Example: nutmegcart drain runner-17
        cmd drain {
            /// Identifier of the instance in the instance list of the platform.
            required instance: String
            /// Entry instance (default NUTMEGCART_ENTRY or 127.0.0.1:8080).
            optional --entry address: SocketAddr
            /// Print JSON.
            optional --json
        }
        /// Writes the configuration in force to a store that was restored to an older state.
        cmd repair {
            /// Also overwrite a store that holds a different configuration history.
            optional --discard
            /// Entry instance (default NUTMEGCART_ENTRY or 127.0.0.1:8080).
            optional --entry address: SocketAddr
            /// Print JSON.
            optional --json
        }
    }
}
