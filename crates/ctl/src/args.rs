//! Command-line arguments.

use gumdrop::Options;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Arguments of `bilberryctl`.
#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the version")]
    pub(crate) version: bool,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

/// The command to run.
#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "check a rules file")]
    Check(Check),
    #[options(help = "publish a rules file")]
    Publish(Publish),
    #[options(help = "show the version, lag and refusals of nodes")]
    Status(Status),
    #[options(help = "show which rules apply to a call, and who requested them")]
    Explain(Explain),
    #[options(help = "list the publications retained in the store")]
    Log(Log),
    #[options(
        help = "generate an organisation's key; prints it and its digest for the rules file"
    )]
    Key(Key),
}

/// Arguments of `check`.
#[derive(Debug, Options)]
pub(crate) struct Check {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "the rules file")]
    pub(crate) file: PathBuf,
}

/// Arguments of `publish`.
#[derive(Debug, Options)]
pub(crate) struct Publish {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "the rules file")]
    pub(crate) file: PathBuf,
    #[options(no_short, required, meta = "IP:PORT", help = "address of the store")]
    pub(crate) store: Option<SocketAddr>,
    #[options(
        no_short,
        default = "bilberrycove",
        meta = "NAME",
        help = "name of the stream in the store"
    )]
    pub(crate) stream: String,
    #[options(
        no_short,
        meta = "NAME",
        help = "name of the operator; $USER or `unknown` if not given"
    )]
    pub(crate) operator: Option<String>,
    #[options(
        no_short,
        meta = "VERSION",
        help = "publish only if this version is in force; the newest one if not given"
    )]
    pub(crate) expect: Option<u64>,
}

/// Arguments of `status`.
#[derive(Debug, Options)]
pub(crate) struct Status {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "address of the store; lists all nodes and the version they should have"
    )]
    pub(crate) store: Option<SocketAddr>,
    #[options(
        no_short,
        default = "bilberrycove",
        meta = "NAME",
        help = "name of the stream in the store"
    )]
    pub(crate) stream: String,
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "http_addr of a node; may be given several times"
    )]
    pub(crate) node: Vec<SocketAddr>,
}

/// Arguments of `explain`.
#[derive(Debug, Options)]
pub(crate) struct Explain {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        free,
        help = "[FILE] METHOD /SERVICE/PATH; without a file, the rules in force"
    )]
    pub(crate) call: Vec<String>,
    #[options(no_short, meta = "IP:PORT", help = "address of the store")]
    pub(crate) store: Option<SocketAddr>,
    #[options(
        no_short,
        default = "bilberrycove",
        meta = "NAME",
        help = "name of the stream in the store"
    )]
    pub(crate) stream: String,
}

/// Arguments of `log`.
#[derive(Debug, Options)]
pub(crate) struct Log {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, required, meta = "IP:PORT", help = "address of the store")]
    pub(crate) store: Option<SocketAddr>,
    #[options(
        no_short,
        default = "bilberrycove",
        meta = "NAME",
        help = "name of the stream in the store"
    )]
    pub(crate) stream: String,
}

/// Arguments of `key`.
#[derive(Debug, Options)]
pub(crate) struct Key {
    #[options(help = "print this help")]
    help: bool,
}
