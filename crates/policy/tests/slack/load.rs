//! Patient and urgent work at random times, offered to one server.

use crate::server::Server;
use bilberry_policy::PriorityBands;
use bilberry_policy::Switches;
use proto::Class;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;

pub const SLOTS: u16 = 8;

/// An operation of the first deployment, with times in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct Operation {
    pub class: Class,
    pub priority: u8,
    pub objective: u64,
    pub deadline: u64,
    pub run: u64,
}

pub const PATIENT: usize = 0;
pub const URGENT: usize = 1;

pub const OPERATIONS: [Operation; 2] = [
    Operation {
        class: Class::Payment,
        priority: 2,
        objective: 4000,
        deadline: 1500,
        run: 100,
    },
    Operation {
        class: Class::Order,
        priority: 0,
        objective: 500,
        deadline: 500,
        run: 40,
    },
];

pub struct Load {
    pub server: Server,
    by_slack: bool,
    bands: PriorityBands,
    rng: StdRng,
}

impl Load {
    pub fn new(by_slack: bool, seed: u64) -> Self {
        let runs = OPERATIONS.map(|operation| (operation.run, 0));
        let operations = OPERATIONS.iter();
        let bands = PriorityBands::new(operations.map(|op| (op.class, op.priority)));
        let mut server = Server::new(Switches::ALL, SLOTS, runs);
        server.admission.set_priority_bands(bands.clone());
        Self {
            server,
            by_slack,
            bands,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Runs for some time with each operation offered at a share of the capacity.
    pub fn run(&mut self, ms: u64, shares: [f64; 2]) {
        for _ in 0..ms {
            self.server.advance();
            for (operation, share) in shares.into_iter().enumerate() {
                let per_ms = share * f64::from(SLOTS) / OPERATIONS[operation].run as f64;
                if self.rng.random_bool(per_ms) {
                    self.arrive(operation);
                }
            }
        }
    }

    fn arrive(&mut self, operation: usize) {
        let Operation {
            class,
            priority,
            objective,
            deadline,
            ..
        } = OPERATIONS[operation];
        let mut item = self.server.item(class, operation, objective, deadline);
        item.priority = priority;
        item.random_value = self.bands.scale_to_band(class, priority, self.rng.random());
        if !self.by_slack {
            item.latest_start = None;
        }
        self.server.offer(item);
    }
}
