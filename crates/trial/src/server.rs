//! The backend server's fake: slots, service time, child calls through the own node, the documented
//! refusal, cancellation, deadlines, and crashes on certain requests.

use crate::caller::Waiter;
use crate::ClusterConfig;
use crate::World;
use bytes::Bytes;
use engine::Input;
use engine::RunEnd;
use indexmap::IndexMap;
use proto::Incarnation;
use proto::Outcome;
use proto::Request;
use proto::Response;
use proto::RunId;
use std::collections::VecDeque;
use std::time::Duration;
use stdx::Time;

/// How long a crashed server takes to come back.
const CRASHED_FOR: Duration = Duration::from_secs(1);

/// One backend server.
#[derive(Debug)]
pub struct Server {
    /// It takes connections.
    pub up: bool,
    /// How many times longer everything takes.
    pub slow_factor: u32,
    /// Work in its slots.
    pub running: IndexMap<u64, Work>,
    /// Work that waits for a slot.
    pub backlog: VecDeque<(u64, Work)>,
    slots: usize,
    max_backlog: usize,
    next: u64,
}

/// A piece of work at a backend server.
#[derive(Debug)]
pub struct Work {
    /// The node's name for it.
    pub run: RunId,
    /// What it does: an index into [`ClusterConfig::operations`].
    pub operation: usize,
    /// What came with it.
    pub body: Bytes,
    deadline: Time,
    /// Children that were sent.
    sent: usize,
    /// Children without an answer.
    open: usize,
    /// The children's answers, by their place.
    parts: IndexMap<usize, Bytes>,
    failed: bool,
}

impl Server {
    /// A server that is up.
    pub fn new(cluster: &ClusterConfig) -> Self {
        Self {
            up: true,
            slow_factor: 1,
            running: IndexMap::new(),
            backlog: VecDeque::new(),
            slots: cluster.slots,
            max_backlog: cluster.max_backlog,
            next: 0,
        }
    }

    /// Sets how much work it does at once.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }
}

impl ClusterConfig {
    /// The index of the operation that a request asks for.
    pub fn find(&self, req: &Request) -> Option<usize> {
        self.operations.iter().position(|operation| {
            operation.service == req.service
                && operation.method == req.method
                && operation.path == req.path
        })
    }

    /// The body of a child's request.
    pub fn child_body(body: &[u8], nth: usize) -> Bytes {
        Bytes::from([body, format!(">{nth}").as_bytes()].concat())
    }

    /// The whole body that a call has to be answered with.
    ///
    /// # Examples
    ///
    /// ```
    /// let cluster = trial::ClusterConfig::small();
    /// assert_eq!(cluster.expected(4, b"a1"), "[royalty/rates a1]");
    /// ```
    pub fn expected(&self, operation: usize, body: &[u8]) -> Bytes {
        let children = self.operations[operation].children.iter().enumerate();
        let parts: Vec<Bytes> = children
            .map(|(nth, child)| self.expected(*child, &Self::child_body(body, nth)))
            .collect();
        self.answer(operation, body, &parts)
    }

    fn answer(&self, operation: usize, body: &[u8], parts: &[Bytes]) -> Bytes {
        let operation = &self.operations[operation];
        let head = format!("[{}{} ", operation.service, operation.path);
        let parts = parts.concat();
        Bytes::from([head.as_bytes(), body, &parts, b"]"].concat())
    }
}

impl World {
    /// The shell's part: the last check before the bytes leave, then the server's connection.
    pub(crate) fn on_hand_over(
        &mut self,
        node: usize,
        from: Incarnation,
        run: RunId,
        request: Request,
        deadline: Time,
        start_by: Option<Time>,
    ) {
        let place = &self.nodes[node];
        if place.incarnation != from || place.engine.is_none() || !place.runs.contains_key(&run) {
            return;
        }
        let too_late = start_by.is_some_and(|start_by| self.now >= start_by);
        if too_late || !place.server.up {
            return self.end_run(node, run, RunEnd::NeverSent);
        }
        let Some(operation) = self.cluster.find(&request) else {
            return self.end_run(node, run, RunEnd::NeverSent);
        };
        let full = place.server.running.len() >= place.server.slots;
        if full && place.server.backlog.len() >= place.server.max_backlog {
            let retry_after = Some(Duration::from_secs(1));
            return self.end_run(node, run, RunEnd::Refused { retry_after });
        }
        let work = Work {
            run,
            operation,
            body: request.body,
            deadline,
            sent: 0,
            open: 0,
            parts: IndexMap::new(),
            failed: false,
        };
        let server = &mut self.nodes[node].server;
        let number = server.next;
        server.next += 1;
        self.nodes[node].runs.insert(run, Some(number));
        if full {
            self.nodes[node].server.backlog.push_back((number, work));
        } else {
            self.begin_work(node, number, work);
        }
    }

    /// The work starts for real: from here on it counts as run.
    fn begin_work(&mut self, node: usize, number: u64, work: Work) {
        let operation = &self.cluster.operations[work.operation];
        let body = String::from_utf8_lossy(&work.body).into_owned();
        let line = format!("{} runs {} {body}", self.nodes[node].name, operation.path);
        let verdict = self.checker.on_run(operation, &work.body);
        self.note(line);
        self.check(verdict);
        let poison = &mut self.checker.poison.iter();
        if let Some(poison) = poison.find(|poison| body.contains(&***poison)).cloned() {
            *self.checker.crashes.entry(poison).or_default() += 1;
            return self.crash_server(node);
        }
        let operation = &self.cluster.operations[work.operation];
        self.nominal_service_time += operation.service_time;
        let service_time = operation.service_time * self.nodes[node].server.slow_factor;
        self.nodes[node].server.running.insert(number, work);
        self.schedule_after(service_time, move |world| world.on_work(node, number));
    }

    /// The service time is over, or a child has answered: calls the next child, or answers.
    pub(crate) fn on_work(&mut self, node: usize, number: u64) {
        let Some(work) = self.nodes[node].server.running.get_mut(&number) else {
            return;
        };
        let operation = &self.cluster.operations[work.operation];
        let left = !work.failed && work.sent < operation.children.len();
        if left && (work.open == 0 || operation.parallel) {
            let nth = work.sent;
            let child = operation.children[nth];
            let body = ClusterConfig::child_body(&work.body, nth);
            work.sent += 1;
            work.open += 1;
            let run = work.run;
            self.request_child(node, number, nth, run, child, body);
            return self.on_work(node, number);
        }
        if work.open > 0 {
            return;
        }
        if let Some(work) = self.nodes[node].server.running.swap_remove(&number) {
            self.answer_work(node, work);
            self.next_work(node);
        }
    }

    fn answer_work(&mut self, node: usize, mut work: Work) {
        work.parts.sort_unstable_keys();
        let parts: Vec<Bytes> = work.parts.into_values().collect();
        let body = self.cluster.answer(work.operation, &work.body, &parts);
        let response = Response {
            status: if work.failed { 502 } else { 200 },
            headers: Vec::new(),
            body: if work.failed {
                Bytes::from("[failed]")
            } else {
                body
            },
        };
        self.end_run(node, work.run, RunEnd::Response(response));
    }

    fn next_work(&mut self, node: usize) {
        while self.nodes[node].server.running.len() < self.nodes[node].server.slots {
            let Some((number, work)) = self.nodes[node].server.backlog.pop_front() else {
                return;
            };
            if self.now >= work.deadline {
                continue;
            }
            self.begin_work(node, number, work);
        }
    }

    pub(crate) fn on_child_answer(&mut self, waiter: Waiter, outcome: Option<Outcome>) {
        let Waiter::Child {
            node,
            work: number,
            nth,
            operation,
            body,
            ..
        } = waiter
        else {
            return;
        };
        let expected = self.cluster.expected(operation, &body);
        let Some(work) = self.nodes[node].server.running.get_mut(&number) else {
            return;
        };
        work.open -= 1;
        match outcome {
            Some(Outcome::Completed(response)) if response.status == 200 => {
                work.parts.insert(nth, response.body.clone());
                if response.body != expected {
                    self.violation(&format!("not the whole answer: {response:?}"));
                }
            }
            _ => work.failed = true,
        }
        self.on_work(node, number);
    }

    /// The run is over for the node. The server may still be at it.
    fn end_run(&mut self, node: usize, run: RunId, end: RunEnd) {
        let from = self.nodes[node].incarnation;
        if run.at == from && self.nodes[node].runs.swap_remove(&run).is_some() {
            let input = Input::RunEnded { run, end };
            self.input(node, Duration::from_micros(100), input);
        }
    }

    pub(crate) fn on_run_deadline(&mut self, node: usize, from: Incarnation, run: RunId) {
        if from == self.nodes[node].incarnation {
            self.cancel_run(node, run);
        }
    }

    /// The node closes its connection: the server drops what waits and stops what runs.
    pub(crate) fn cancel_run(&mut self, node: usize, run: RunId) {
        let Some(number) = self.nodes[node].runs.get(&run).copied() else {
            return;
        };
        if let Some(number) = number {
            self.nodes[node]
                .server
                .backlog
                .retain(|(waiting, _)| *waiting != number);
            self.nodes[node].server.running.swap_remove(&number);
            self.next_work(node);
        }
        self.end_run(node, run, RunEnd::Lost);
    }

    pub(crate) fn crash_server(&mut self, node: usize) {
        self.note(format!(
            "backend server of {} crashes",
            self.nodes[node].name
        ));
        let server = &mut self.nodes[node].server;
        server.up = false;
        server.running.clear();
        server.backlog.clear();
        let handed = self.nodes[node]
            .runs
            .iter()
            .filter(|(_, number)| number.is_some());
        let lost: Vec<RunId> = handed.map(|(run, _)| *run).collect();
        for run in lost {
            self.end_run(node, run, RunEnd::Lost);
        }
        self.schedule_after(CRASHED_FOR, move |world| world.nodes[node].server.up = true);
    }
}
