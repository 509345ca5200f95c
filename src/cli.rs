//! Definition of the command line.
#![allow(
    missing_docs,
    reason = "the help texts in the macro document the fields"
)]

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Scheduler for multi-accelerator jobs under client account guarantees.
    ///
    /// Exit codes: 0 success, 1 internal error, 2 usage, 3 bad input, 4 refused,
    /// 5 unavailable, 6 outcome unknown.
    cmd hibiscusbarrow {
        /// Prints the version.
        cmd version {}

        /// Runs a role of a fleet, with the settings file that the environment names.
        cmd fleet {
            /// Runs a gateway of the fleet.
            cmd serve {}
            /// Runs the sidecar of a worker.
            cmd agent {}
        }

        /// Runs a gateway.
        cmd gateway {
            /// The settings file, JSON with comments.
            required settings: PathBuf
        }

        /// Runs the sidecar of an upstream.
        cmd sidecar {
            /// The settings file, JSON with comments.
            required settings: PathBuf
        }

        /// Runs a stand-in for an outside system.
        cmd standin {
            /// Simulates the platform's key-value service.
            cmd store {
                /// Where to listen.
                required --listen listen: SocketAddr
            }
            /// Simulates a worker.
            cmd worker {
                /// Where to listen.
                required --listen listen: SocketAddr
                /// The unique name.
                required --name name: String
                /// The rack.
                required --rack rack: String
                /// The failure domain.
                required --domain domain: String
                /// The number of accelerators; 8 by default.
                optional --accelerators accelerators: u16
                /// The number of workers on consecutive ports; 1 by default.
                optional --copies copies: u16
            }
            /// Simulates an upstream.
            cmd upstream {
                /// Where to listen.
                required --listen listen: SocketAddr
                /// The service that the upstream offers.
                required --service service: String
                /// The HTTP address of the sidecar to announce to.
                optional --sidecar sidecar: SocketAddr
                /// Requests that run at once; 8 by default.
                optional --slots slots: u16
                /// Connections that are accepted; 64 by default.
                optional --connections connections: u16
                /// A file to which each run is appended as a line before it is answered.
                optional --journal journal: PathBuf
            }
        }

        /// Checks files: settings with --settings, a configuration otherwise.
        cmd check {
            /// Reads the files as settings of a process.
            optional --settings
            /// Prints JSON.
            optional --json
            /// The files.
            repeated files: PathBuf
        }

        /// Shows what a file would change.
        cmd diff {
            /// The HTTP address of a gateway.
            required -g, --gateway gateway: SocketAddr
            /// Prints JSON.
            optional --json
            /// The configuration file.
            required file: PathBuf
        }

        /// Applies a configuration file atomically.
        cmd apply {
            /// The HTTP address of a gateway.
            required -g, --gateway gateway: SocketAddr
            /// The generation that the file was made from; the newest by default.
            optional --base base: u64
            /// Who applies it; the user's name by default.
            optional --operator operator: String
            /// Prints JSON.
            optional --json
            /// The configuration file.
            required file: PathBuf
        }

        /// Raises a guarantee of an account.
        cmd renew {
            /// The HTTP address of a gateway.
            required -g, --gateway gateway: SocketAddr
            /// Prints JSON.
            optional --json
            /// The client account.
            required account: String
            /// The shape: accelerator, pair, quad or worker.
            required shape: String
            /// The new count, at least the present one.
            required count: u32
        }

        /// Shows the configuration, or one account, service or job.
        cmd get {
            /// The HTTP address of a gateway.
            required -g, --gateway gateway: SocketAddr
            /// Prints JSON.
            optional --json
            /// config, accounts, services, jobs, account, service or job.
            required kind: String
            /// The name of an account, service or job.
            optional name: String
        }

        /// Shows the members, their configuration generations and the placement.
        cmd status {
            /// The HTTP address of a gateway.
            required -g, --gateway gateway: SocketAddr
            /// Prints JSON.
            optional --json
        }

        /// Submits a job.
        cmd submit {
            /// The HTTP address of a gateway.
            required -g, --gateway gateway: SocketAddr
            /// The client account.
            required --account account: String
            /// The shape of each member: accelerator, pair, quad or worker.
            required --shape shape: String
            /// The number of members; 1 by default.
            optional --count count: u32
            /// The declared run time in milliseconds.
            optional --runtime-ms runtime_ms: u64
            /// Starts before other jobs of the account.
            optional --urgent
            /// May run again if the outcome of a run is unknown.
            optional --idempotent
            /// Prints JSON.
            optional --json
            /// The unique name of the job.
            required name: String
        }

        /// Cancels a job.
        cmd cancel {
            /// The HTTP address of a gateway.
            required -g, --gateway gateway: SocketAddr
            /// Prints JSON.
            optional --json
            /// The name of the job.
            required name: String
        }

        /// Sends no more work to a failure domain, until the evacuation is cancelled.
        cmd evacuate {
            /// The HTTP address of a gateway.
            required -g, --gateway gateway: SocketAddr
            /// Cancels the evacuation.
            optional --end
            /// Prints JSON.
            optional --json
            /// The name of the failure domain.
            required domain: String
        }

        /// Explains the outcome of a job from logs.
        cmd explain {
            /// A log file of JSON lines; without one, standard input is read.
            repeated --log log: PathBuf
            /// Prints JSON.
            optional --json
            /// The identifier of the job.
            required name: String
        }

        /// Merges the events of all processes into one timeline.
        cmd timeline {
            /// The HTTP address of a gateway, which knows all other processes.
            optional -g, --gateway gateway: SocketAddr
            /// A log file of JSON lines to read as well.
            repeated --log log: PathBuf
            /// Only events about this subject: a job, request, worker or member.
            optional --subject subject: String
            /// Only events of this client account.
            optional --account account: String
            /// Writes an SVG chart of the events to this file.
            optional --svg svg: PathBuf
            /// Prints JSON.
            optional --json
        }

        /// Runs a demonstration on embedded stand-ins in one process.
        cmd demo {
            /// Where to write the SVG chart of the timeline.
            optional --svg svg: PathBuf
        }

        /// Measures how costs grow with size, and writes tables and plots.
        cmd bench {
            /// The directory for tables and plots.
            required --out out: PathBuf
            /// Only this measurement: ledger, placement, workload, gossip, daemons, placer or path.
            optional --only only: String
        }
    }
}
