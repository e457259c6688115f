//! Parsing of command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional, short};

use crate::operations::ExplainRequest;
use crate::settings::Override;
use crate::settings::keys::{KEYS, SettingKey};

/// Description of the subcommand `router`.
const ROUTER_DESCRIPTION: &str = "Run one routing machine; SIGTERM starts a planned stop";

/// A subcommand with its arguments.
#[derive(Clone, Debug)]
pub enum Command {
    /// Run one routing machine.
    Router(RouterArguments),
    /// Run one gateway on the users' platform.
    Gateway {
        /// The settings file.
        settings: PathBuf,
    },
    /// Trace a request through the logs of gateways.
    Trace {
        /// The request's id.
        request: String,
        /// The gateways' log files.
        files: Vec<PathBuf>,
    },
    /// Check settings and object files.
    Check {
        /// The files.
        files: Vec<PathBuf>,
    },
    /// Ask a router how it would route a request.
    Explain {
        /// Operators' address of the router.
        operator: SocketAddr,
        /// The request.
        request: ExplainRequest,
        /// Output format.
        output: OutputFormat,
    },
    /// Ask a router for its state.
    Status {
        /// Operators' address of the router.
        operator: SocketAddr,
        /// Output format.
        output: OutputFormat,
    },
    /// Start the planned stop of a router.
    Drain {
        /// Operators' address of the router.
        operator: SocketAddr,
    },
}

/// Arguments of the subcommand `router`.
#[derive(Clone, Debug, Default)]
pub struct RouterArguments {
    /// The settings file.
    pub settings_file: Option<PathBuf>,
    /// Settings given as flags.
    pub overrides: Vec<Override>,
}

/// Output format of a report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// JSON.
    Json,
}

/// Returns the parser of the whole command line.
pub fn options() -> OptionParser<Command> {
    let router = router_arguments()
        .map(Command::Router)
        .to_options()
        .descr(ROUTER_DESCRIPTION)
        .command("router")
        .help("Run one routing machine");
    let gateway = gateway_options()
        .command("gateway")
        .help("Run one gateway on a platform whose store keeps all state");
    let trace = trace_options()
        .command("trace")
        .help("Trace a request through the logs of gateways");
    let check = check_options()
        .command("check")
        .help("Check settings files (TOML) and object files (JSON, YAML) offline");
    let explain = explain_options()
        .command("explain")
        .help("Ask a running router how it would route a request");
    let status = status_options()
        .command("status")
        .help("Ask a running router for members, groups, sessions, slices and revision");
    let drain = drain_options()
        .command("drain")
        .help("Start the planned stop of a running router");
    construct!([router, gateway, trace, check, explain, status, drain])
        .to_options()
        .descr("Router for servers that own keys exclusively")
        .version(env!("CARGO_PKG_VERSION"))
}

/// Returns the parser of the subcommand `router`.
pub(super) fn router_options() -> OptionParser<RouterArguments> {
    router_arguments().to_options().descr(ROUTER_DESCRIPTION)
}

fn router_arguments() -> impl Parser<RouterArguments> {
    let settings_file = short('s')
        .long("settings")
        .help("Settings file; flags override it")
        .argument::<PathBuf>("FILE")
        .optional();
    let overrides = override_flags();
    construct!(RouterArguments {
        settings_file,
        overrides,
    })
}

/// Parses one optional flag for each key of the settings file.
fn override_flags() -> Box<dyn Parser<Vec<Override>>> {
    let none: Box<dyn Parser<Vec<Override>>> = Box::new(bpaf::pure(Vec::new()));
    KEYS.iter().fold(none, |earlier, key| {
        let next = override_flag(key);
        Box::new(construct!(earlier, next).map(|(mut all, next)| {
            all.extend(next);
            all
        }))
    })
}

fn override_flag(key: &'static SettingKey) -> impl Parser<Option<Override>> {
    long(key.flag)
        .help(key.help)
        .argument::<String>(key.kind.placeholder())
        .map(|value| Override {
            flag: key.flag,
            value,
        })
        .optional()
}

fn gateway_options() -> OptionParser<Command> {
    let settings = short('s')
        .long("settings")
        .help("Settings file of the gateway")
        .argument::<PathBuf>("FILE");
    construct!(Command::Gateway { settings })
        .to_options()
        .descr("Run one gateway; SIGTERM starts a planned stop")
}

fn trace_options() -> OptionParser<Command> {
    let request = long("request")
        .help("Id of the request")
        .argument::<String>("ID");
    let files = positional::<PathBuf>("FILE")
        .help("Log of a gateway")
        .some("name the logs of all gateways");
    construct!(Command::Trace { request, files })
        .to_options()
        .descr(
            "Print a request's log lines and the state changes that affected it, in order of time",
        )
}

fn check_options() -> OptionParser<Command> {
    let files = positional::<PathBuf>("FILE")
        .help("Settings or object file")
        .some("name at least one file");
    construct!(Command::Check { files })
        .to_options()
        .descr("Check settings and object files; every problem is listed with location and remedy")
}

fn explain_options() -> OptionParser<Command> {
    let operator = operator();
    let request = explain_request();
    let output = output();
    construct!(Command::Explain {
        operator,
        request,
        output,
    })
    .to_options()
    .descr("Ask which service, route, selector, slice, owner, epoch and revision a request gets")
}

fn explain_request() -> impl Parser<ExplainRequest> {
    let host = long("host")
        .help("Host name, without port")
        .argument::<String>("NAME");
    let method = long("method")
        .help("Method")
        .argument::<String>("METHOD")
        .fallback("GET".to_owned());
    let path = long("path")
        .help("Path with query")
        .argument::<String>("PATH");
    let headers = long("header")
        .help("Header of the request; may be given several times")
        .argument::<String>("NAME=VALUE")
        .parse(parse_header)
        .many();
    construct!(ExplainRequest {
        host,
        method,
        path,
        headers,
    })
}

fn parse_header(text: String) -> Result<(String, String), String> {
    match text.split_once('=') {
        Some((name, value)) if !name.is_empty() => {
            Ok((name.to_ascii_lowercase(), value.to_owned()))
        }
        _ => Err("write NAME=VALUE".to_owned()),
    }
}

fn status_options() -> OptionParser<Command> {
    let operator = operator();
    let output = output();
    construct!(Command::Status { operator, output })
        .to_options()
        .descr("Ask a running router for its state")
}

fn drain_options() -> OptionParser<Command> {
    let operator = operator();
    construct!(Command::Drain { operator })
        .to_options()
        .descr("Start a planned stop: no new work, finish requests in flight, hand over, exit")
}

fn operator() -> impl Parser<SocketAddr> {
    long("operator")
        .help("The router's operator-address")
        .argument::<SocketAddr>("IP:PORT")
}

fn output() -> impl Parser<OutputFormat> {
    long("output")
        .help("Output format: text or json")
        .argument::<String>("FORM")
        .parse(|text| match text.as_str() {
            "text" => Ok(OutputFormat::Text),
            "json" => Ok(OutputFormat::Json),
            _ => Err("write text or json"),
        })
        .fallback(OutputFormat::Text)
}
