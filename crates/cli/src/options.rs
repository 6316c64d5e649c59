use std::path::PathBuf;

use bpaf::Bpaf;
use carobwick_core::Version;

/// Publishes manifests, drains endpoints and shows the state of a carobwick deployment.
///
/// Exit codes: 0 done, 2 wrong usage or file, 3 refused, 4 conflict with another operator, 5 no planner or
/// key-value service reachable, 6 outcome unknown (read `status` before trying again).
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, generate(options))]
pub(crate) struct Options {
    /// Operator addresses of planners (and entries, for `timeline`), separated by commas; tried in order
    #[bpaf(env("CAROBWICK_OPERATORS"), argument("URL[,URL...]"), fallback(String::new()))]
    pub operators: String,
    #[bpaf(external)]
    pub command: Command,
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum Command {
    /// Publish a manifest; it is in force everywhere within 6 s
    #[bpaf(command)]
    Publish {
        /// Publish only if this version is in force
        #[bpaf(argument("VERSION"))]
        expect: Option<Version>,
        /// The manifest, a JSON file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show versions, leaders, instances, endpoints and drains
    #[bpaf(command)]
    Status {
        /// Print JSON
        json: bool,
    },
    /// Show the events of all given addresses in one order
    #[bpaf(command)]
    Timeline {
        /// Print JSON lines
        json: bool,
    },
    /// Check a manifest without any address
    #[bpaf(command)]
    Check {
        /// The manifest, a JSON file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

impl Options {
    /// Reads the options from the command line and the environment; ends the process if they can't be parsed.
    pub fn read() -> Self {
        options().run()
    }
}
