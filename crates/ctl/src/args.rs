//! The command line.

use gumdrop::Options;
use std::path::PathBuf;

/// Arguments of `bilberryctl`.
#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

/// What to do.
#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "check a rules file")]
    Check(Check),
    #[options(help = "publish a rules file")]
    Publish(Publish),
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
    #[options(required, meta = "IP:PORT", help = "the log service")]
    pub(crate) log: String,
    #[options(default = "bilberrycove", meta = "NAME", help = "the stream")]
    pub(crate) stream: String,
    #[options(meta = "NAME", help = "who publishes; $USER if not given")]
    pub(crate) operator: Option<String>,
}
