use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;
use carobwick_core::ModelId;
use carobwick_core::Version;

const HELP_HEADER: &str = "Start with `carobwick --operators http://IP:PORT status`; `carobwick COMMAND --help` explains a \
    command.";
const HELP_FOOTER: &str = "Exit codes: 0 done; 1 wrong usage; 2 wrong file or value; 3 refused; 4 conflict with another \
    operator; 5 no planner or key-value service reachable, nothing changed; 6 outcome unknown, read `status` before \
    trying again; 7 published, but not in force everywhere yet.";

/// Publishes manifests, drains endpoints and shows the state of a carobwick deployment.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, generate(options), header(HELP_HEADER), footer(HELP_FOOTER))]
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
        /// Publish only if this version is in force; 0 stands for none
        #[bpaf(argument("VERSION"))]
        expect: Option<Version>,
        /// Wait until the version is in force on all live instances
        wait: bool,
        /// Print JSON
        json: bool,
        /// The manifest, a JSON file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Publish the content of an older version under a new version
    ///
    /// Models that were added since stay, marked `retiring`. The last 16 versions are kept.
    #[bpaf(command)]
    Rollback {
        /// Wait until the version is in force on all live instances
        wait: bool,
        /// Print JSON
        json: bool,
        /// The older version
        #[bpaf(positional("VERSION"))]
        version: Version,
    },
    /// Take an endpoint or instance out of use: it gets no new work after 5 s
    #[bpaf(command)]
    Drain {
        /// Print JSON
        json: bool,
        /// `endpoint` or `instance`
        #[bpaf(positional("endpoint|instance"))]
        kind: TargetKind,
        /// Name of the endpoint or instance
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Put a drained endpoint or instance back into use
    #[bpaf(command)]
    Undrain {
        /// Print JSON
        json: bool,
        /// `endpoint` or `instance`
        #[bpaf(positional("endpoint|instance"))]
        kind: TargetKind,
        /// Name of the endpoint or instance
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Show versions, leaders, instances, endpoints and drains
    #[bpaf(command)]
    Status {
        /// Print JSON
        json: bool,
    },
    /// Show where a model or adapter is resident, why, and what holds a change back
    #[bpaf(command)]
    Explain {
        /// Print JSON
        json: bool,
        /// Name of the model or adapter
        #[bpaf(positional("MODEL"))]
        model: ModelId,
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

/// Kind of the target of a drain.
#[derive(Debug, Clone, Copy)]
pub(crate) enum TargetKind {
    Endpoint,
    Instance,
}

impl FromStr for TargetKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "endpoint" => Ok(Self::Endpoint),
            "instance" => Ok(Self::Instance),
            _ => Err("expected `endpoint` or `instance`".to_owned()),
        }
    }
}

impl Options {
    /// Reads the options from the command line and the environment; exits the process if they can't be
    /// parsed.
    pub fn read() -> Self {
        options().run()
    }
}
