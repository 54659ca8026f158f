//! Simulated backend server, with slots, service times, child calls through its own node, refusal
//! of requests when its backlog is full, cancellation, deadlines, and crashes on certain requests.

use crate::caller::Waiter;
use crate::ClusterConfig;
use crate::World;
use bytes::Bytes;
use engine::Input;
use engine::RunEnd;
use engine::ServerReport;
use indexmap::IndexMap;
use proto::Incarnation;
use proto::Outcome;
use proto::Request;
use proto::Response;
use proto::RunId;
use std::collections::VecDeque;
use std::time::Duration;
use stdx::Time;

/// Time that a crashed server takes to restart.
const CRASH_RECOVERY_TIME: Duration = Duration::from_secs(1);

/// A simulated backend server.
#[derive(Debug)]
pub struct FakeBackendServer {
    /// The server accepts connections.
    pub up: bool,
    /// Factor by which all service times are multiplied.
    pub slow_factor: u32,
    /// Work that occupies a slot, by its id.
    pub running: IndexMap<u64, Work>,
    /// Work that waits for a slot, with its id.
    pub backlog: VecDeque<(u64, Work)>,
    /// What it says about itself in its responses.
    pub report: ServerReport,
    /// Number of times that it has started.
    pub(crate) starts: u64,
    /// Number of heartbeats that this incarnation has sent.
    pub(crate) heartbeats: u64,
    slots: usize,
    max_backlog: usize,
    next_work_id: u64,
}

/// A request that a backend server works on.
#[derive(Debug)]
pub struct Work {
    /// The id of the run at the node.
    pub run: RunId,
    /// The requested operation, as an index into [`ClusterConfig::operations`].
    pub operation: usize,
    /// The request body.
    pub body: Bytes,
    deadline: Time,
    /// When the node sent it, by the node's clock.
    sent_at: Time,
    /// Number of child calls sent.
    children_sent: usize,
    /// Number of unanswered child calls.
    children_pending: usize,
    /// The responses to child calls, by the index of the child.
    child_responses: IndexMap<usize, Bytes>,
    /// A child call has failed.
    failed: bool,
}

impl FakeBackendServer {
    /// A server that accepts connections and is idle.
    pub fn new(cluster: &ClusterConfig) -> Self {
        Self {
            up: true,
            slow_factor: 1,
            running: IndexMap::new(),
            backlog: VecDeque::new(),
            report: ServerReport::default(),
            starts: 1,
            heartbeats: 0,
            slots: cluster.slots,
            max_backlog: cluster.max_backlog,
            next_work_id: 0,
        }
    }

    /// Sets the maximum number of requests that run concurrently.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    pub(crate) fn slots(&self) -> usize {
        self.slots
    }
}

impl ClusterConfig {
    /// The index of the requested operation.
    pub fn operation_for(&self, req: &Request) -> Option<usize> {
        self.operations.iter().position(|operation| {
            operation.service == req.service
                && operation.method == req.method
                && operation.path == req.path
        })
    }

    /// The body of the request to the child with index `child_index`.
    pub fn child_body(body: &[u8], child_index: usize) -> Bytes {
        Bytes::from([body, format!(">{child_index}").as_bytes()].concat())
    }

    /// The complete body of a successful response to a call.
    ///
    /// # Examples
    ///
    /// ```
    /// let cluster = trial::ClusterConfig::small();
    /// assert_eq!(cluster.expected_response(4, b"a1"), "[royalty/rates a1]");
    /// ```
    pub fn expected_response(&self, operation: usize, body: &[u8]) -> Bytes {
        let children = self.operations[operation].children.iter().enumerate();
        let child_responses: Vec<Bytes> = children
            .map(|(index, child)| self.expected_response(*child, &Self::child_body(body, index)))
            .collect();
        self.response_body(operation, body, &child_responses)
    }

    fn response_body(&self, operation: usize, body: &[u8], child_responses: &[Bytes]) -> Bytes {
        let operation = &self.operations[operation];
        let prefix = format!("[{}{} ", operation.service, operation.path);
        let child_responses = child_responses.concat();
        Bytes::from([prefix.as_bytes(), body, &child_responses, b"]"].concat())
    }
}

impl World {
    /// Submits a run to the backend server, as the node process does: a last check before the
    /// request is sent, then the server accepts or refuses it.
    pub(crate) fn submit_run(
        &mut self,
        node: usize,
        incarnation: Incarnation,
        run: RunId,
        request: Request,
        deadline: Time,
        start_by: Option<Time>,
    ) {
        let node_state = &self.nodes[node];
        if node_state.incarnation != incarnation
            || node_state.engine.is_none()
            || !node_state.runs.contains_key(&run)
        {
            return;
        }
        let too_late = start_by.is_some_and(|start_by| self.now >= start_by);
        if too_late || !node_state.server.up {
            return self.end_run(node, run, RunEnd::NeverSent);
        }
        let Some(operation) = self.cluster.operation_for(&request) else {
            return self.end_run(node, run, RunEnd::NeverSent);
        };
        let sent_at = node_state.local_time(self.now);
        let full = node_state.server.running.len() >= node_state.server.slots;
        self.trace_event(format!(
            "{} sends {} to its server, which runs {} (full: {full})",
            node_state.name,
            request.path,
            node_state.server.running.len(),
        ));
        let check_result = self.checker.on_server_arrival(node, self.now);
        self.record_check(check_result);
        let node_state = &self.nodes[node];
        if full && node_state.server.backlog.len() >= node_state.server.max_backlog {
            let retry_after = Some(Duration::from_secs(1));
            self.send_server_report(node, sent_at);
            return self.end_run(node, run, RunEnd::Refused { retry_after });
        }
        let work = Work {
            run,
            operation,
            body: request.body,
            deadline,
            sent_at,
            children_sent: 0,
            children_pending: 0,
            child_responses: IndexMap::new(),
            failed: false,
        };
        let server = &mut self.nodes[node].server;
        let work_id = server.next_work_id;
        server.next_work_id += 1;
        self.nodes[node].runs.insert(run, Some(work_id));
        if full {
            self.nodes[node].server.backlog.push_back((work_id, work));
        } else {
            self.start_work(node, work_id, work);
        }
    }

    /// Starts work in a slot. From here on the request counts as run.
    fn start_work(&mut self, node: usize, work_id: u64, work: Work) {
        let operation = &self.cluster.operations[work.operation];
        let body = String::from_utf8_lossy(&work.body).into_owned();
        let line = format!("{} runs {} {body}", self.nodes[node].name, operation.path);
        let check_result = self.checker.on_run_started(operation, &work.body);
        self.trace_event(line);
        self.record_check(check_result);
        let poison_bodies = &mut self.checker.poison_bodies.iter();
        if let Some(poison) = poison_bodies
            .find(|poison| body.contains(&***poison))
            .cloned()
        {
            *self.checker.crashes_by_poison.entry(poison).or_default() += 1;
            return self.crash_server(node);
        }
        let operation = &self.cluster.operations[work.operation];
        self.nominal_service_time += operation.service_time;
        let service_time = operation.service_time * self.nodes[node].server.slow_factor;
        self.nodes[node].server.running.insert(work_id, work);
        self.schedule_after(service_time, move |world| {
            world.continue_work(node, work_id)
        });
    }

    /// Continues work after its service time or after the answer to a child call: sends the next
    /// child call, or the response.
    pub(crate) fn continue_work(&mut self, node: usize, work_id: u64) {
        let Some(work) = self.nodes[node].server.running.get_mut(&work_id) else {
            return;
        };
        let operation = &self.cluster.operations[work.operation];
        let has_unsent_children = !work.failed && work.children_sent < operation.children.len();
        if has_unsent_children && (work.children_pending == 0 || operation.parallel) {
            let child_index = work.children_sent;
            let child = operation.children[child_index];
            let body = ClusterConfig::child_body(&work.body, child_index);
            work.children_sent += 1;
            work.children_pending += 1;
            let run = work.run;
            self.request_child(node, work_id, child_index, run, child, body);
            return self.continue_work(node, work_id);
        }
        if work.children_pending > 0 {
            return;
        }
        if let Some(work) = self.nodes[node].server.running.swap_remove(&work_id) {
            self.finish_work(node, work);
            self.start_queued_work(node);
        }
    }

    fn finish_work(&mut self, node: usize, mut work: Work) {
        work.child_responses.sort_unstable_keys();
        let child_responses: Vec<Bytes> = work.child_responses.into_values().collect();
        let body = self
            .cluster
            .response_body(work.operation, &work.body, &child_responses);
        let response = Response {
            status: if work.failed { 502 } else { 200 },
            headers: Vec::new(),
            body: if work.failed {
                Bytes::from("[failed]")
            } else {
                body
            },
        };
        self.send_server_report(node, work.sent_at);
        self.end_run(node, work.run, RunEnd::Response(response));
    }

    fn start_queued_work(&mut self, node: usize) {
        while self.nodes[node].server.running.len() < self.nodes[node].server.slots {
            let Some((work_id, work)) = self.nodes[node].server.backlog.pop_front() else {
                return;
            };
            if self.now >= work.deadline {
                continue;
            }
            self.start_work(node, work_id, work);
        }
    }

    pub(crate) fn on_child_outcome(&mut self, waiter: Waiter, outcome: Option<Outcome>) {
        let Waiter::Child {
            node,
            work_id,
            child_index,
            operation,
            body,
            ..
        } = waiter
        else {
            return;
        };
        let expected = self.cluster.expected_response(operation, &body);
        let Some(work) = self.nodes[node].server.running.get_mut(&work_id) else {
            return;
        };
        work.children_pending -= 1;
        match outcome {
            Some(Outcome::Completed(response)) if response.status == 200 => {
                work.child_responses
                    .insert(child_index, response.body.clone());
                if response.body != expected {
                    self.record_violation(&format!(
                        "incomplete response to a child call: {response:?}"
                    ));
                }
            }
            _ => work.failed = true,
        }
        self.continue_work(node, work_id);
    }

    /// Reports the end of a run to the node. The server may still be working on the request.
    fn end_run(&mut self, node: usize, run: RunId, end: RunEnd) {
        let incarnation = self.nodes[node].incarnation;
        if run.at == incarnation && self.nodes[node].runs.swap_remove(&run).is_some() {
            let input = Input::RunEnded { run, end };
            self.schedule_input(node, Duration::from_micros(100), input);
        }
    }

    pub(crate) fn on_run_deadline(&mut self, node: usize, incarnation: Incarnation, run: RunId) {
        if incarnation == self.nodes[node].incarnation {
            self.cancel_run(node, run);
        }
    }

    /// Cancels a run: the node closes its connection, and the server drops the request from its
    /// backlog or stops the work on it.
    pub(crate) fn cancel_run(&mut self, node: usize, run: RunId) {
        let Some(work_id) = self.nodes[node].runs.get(&run).copied() else {
            return;
        };
        if let Some(work_id) = work_id {
            self.nodes[node]
                .server
                .backlog
                .retain(|(waiting, _)| *waiting != work_id);
            self.nodes[node].server.running.swap_remove(&work_id);
            self.start_queued_work(node);
        }
        self.end_run(node, run, RunEnd::Lost);
    }

    /// Crashes a backend server: all its work is lost, and it is up again after
    /// [`CRASH_RECOVERY_TIME`].
    pub(crate) fn crash_server(&mut self, node: usize) {
        self.trace_event(format!(
            "backend server of {} crashes",
            self.nodes[node].name
        ));
        let server = &mut self.nodes[node].server;
        server.up = false;
        server.running.clear();
        server.backlog.clear();
        let with_work = self.nodes[node]
            .runs
            .iter()
            .filter(|(_, work_id)| work_id.is_some());
        let lost: Vec<RunId> = with_work.map(|(run, _)| *run).collect();
        for run in lost {
            self.end_run(node, run, RunEnd::Lost);
        }
        self.schedule_after(CRASH_RECOVERY_TIME, move |world| world.start_server(node));
    }
}
