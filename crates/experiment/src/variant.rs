//! The variants that an experiment compares: the policy, baselines, and the policy without one
//! mechanism.

use engine::Switches;

/// A named set of enabled mechanisms.
#[derive(Debug, Clone)]
pub struct Variant {
    /// The name shown in tables and plots.
    pub name: &'static str,
    /// The mechanisms that are enabled.
    pub switches: Switches,
}

/// The policy as in production, with all mechanisms enabled.
pub fn policy() -> Variant {
    Variant {
        name: "policy",
        switches: Switches::ALL,
    }
}

/// All variants: the baselines, the policy, and the policy without each mechanism. A variant of the
/// last kind has the name of the mechanism.
pub fn all() -> Vec<Variant> {
    let mut variants = vec![
        Variant {
            name: "no control",
            switches: Switches {
                hop_retries: 3,
                ..Switches::NONE
            },
        },
        Variant {
            name: "per-hop limits",
            switches: Switches {
                adaptive_limit: true,
                slow_start: true,
                deadline_queue: true,
                hop_retries: 3,
                ..Switches::NONE
            },
        },
        policy(),
    ];
    for name in Switches::NAMES {
        let switches = Switches::ALL.without(name);
        let switches = switches.expect("NAMES contains only names of mechanisms");
        variants.push(Variant { name, switches });
    }
    variants
}
