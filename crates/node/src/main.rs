//! `bilberry-node`: the process that runs beside a backend server instance.

use bilberry_node::start;
use bilberry_node::LogQueue;
use bilberry_node::Node;
use bilberry_node::Settings;
use engine::Switches;
use gumdrop::Options;
use log4rs::config::Appender;
use log4rs::config::Logger;
use log4rs::config::Root;
use log4rs::encode::pattern::PatternEncoder;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;

/// Exit code for invalid arguments or settings.
const EXIT_USAGE: u8 = 2;

/// Exit code of a node that stopped because its peers evicted it. The process supervisor should
/// restart it.
const EXIT_EVICTED: u8 = 3;

const LOG_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {t} {m}{n}";

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(
        help = "disable this mechanism, for experiments only; may be repeated",
        meta = "MECHANISM"
    )]
    without: Vec<String>,
    #[options(free, help = "the settings file")]
    settings: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    if args.version {
        println!("bilberry-node {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = args.settings else {
        eprintln!("usage: bilberry-node SETTINGS\n\n{}", Args::usage());
        return ExitCode::from(EXIT_USAGE);
    };
    let settings = match Settings::read(&path) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{}: {e}", path.display());
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let settings = match disable_mechanisms(settings, &args.without) {
        Ok(settings) => settings,
        Err(name) => {
            let names = Switches::NAMES.join(", ");
            eprintln!("--without {name}: unknown mechanism, expected one of {names}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    start_logging(settings.log_level);
    actix_rt::System::new().block_on(run(path, settings))
}

/// Disables the named mechanisms; fails with the first name that is not a mechanism.
fn disable_mechanisms(mut settings: Settings, names: &[String]) -> Result<Settings, String> {
    for name in names {
        let switches = settings.switches.without(name);
        settings.switches = switches.ok_or_else(|| name.clone())?;
    }
    Ok(settings)
}

async fn run(path: PathBuf, settings: Settings) -> ExitCode {
    let node = match start(settings.clone()).await {
        Ok(node) => node,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::FAILURE;
        }
    };
    println!("{}", listening_line(&node));
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        eprintln!("cannot install the SIGTERM handler");
        return ExitCode::FAILURE;
    };
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        eprintln!("cannot install the SIGHUP handler");
        return ExitCode::FAILURE;
    };
    let mut settings = settings;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => settings = reload(&path, settings),
            () = node.stopped() => return ExitCode::from(EXIT_EVICTED),
        }
    }
    log::info!("event=stopping");
    node.stop();
    node.stopped().await;
    ExitCode::SUCCESS
}

/// The start-up line with the bound addresses, which differ from the settings where the OS chose
/// the port.
fn listening_line(node: &Node) -> String {
    let line = format!("listening http={} peer={}", node.http_addr, node.peer_addr);
    match node.platform_addrs {
        Some(addrs) => {
            let (ready, control) = (addrs.ready_addr, addrs.control_addr);
            format!("{line} ready={ready} control={control}")
        }
        None => line,
    }
}

/// Reloads the settings on SIGHUP. Without a handler the signal would kill the process and every
/// request in flight. Only the log level takes effect at once; everything else, such as the listen
/// addresses, is applied at the next start.
fn reload(path: &Path, settings: Settings) -> Settings {
    match Settings::read(path) {
        Ok(new_settings) => {
            log::set_max_level(new_settings.log_level);
            let new_settings = Settings {
                switches: settings.switches,
                ..new_settings
            };
            let changed = new_settings != settings;
            log::info!("event=reloaded changed={changed}");
            new_settings
        }
        Err(e) => {
            log::warn!("event=reload_refused error=\"{e}\"");
            settings
        }
    }
}

fn start_logging(level: log::LevelFilter) {
    let encoder = Box::new(PatternEncoder::new(LOG_PATTERN));
    let stdout = LogQueue::new(encoder, std::io::stdout());
    let cfg = log4rs::Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(stdout)))
        // `actix_http` logs an error for each connection that is not valid HTTP, so callers could
        // flood the log. The node counts these itself and logs them at debug.
        .logger(Logger::builder().build("actix_http", log::LevelFilter::Off))
        .build(Root::builder().appender("stdout").build(level));
    match cfg.map(log4rs::init_config) {
        Ok(Ok(_)) => {}
        _ => eprintln!("cannot set up logging; nothing will be logged"),
    }
}
