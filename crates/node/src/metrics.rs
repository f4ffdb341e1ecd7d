//! Metrics of the node. There is one registry; each request holds a [`RequestGuard`] that ends it in exactly one way,
//! wherever it ends.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::Rc;

use crate::system_error::FailedCalls;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    Completed,
    Rejected,
    Failed,
}

const ENDS: [(RequestOutcome, &str); 3] = [
    (RequestOutcome::Completed, "completed"),
    (RequestOutcome::Rejected, "rejected"),
    (RequestOutcome::Failed, "failed"),
];

/// Requests of one class by how they ended.
struct ClassMetrics {
    name: String,
    ended: [Cell<u64>; ENDS.len()],
}

/// Counters of this process, starting at 0.
pub struct Metrics {
    classes: Vec<ClassMetrics>,
    /// Requests started; those that have not ended are pending.
    started: Cell<u64>,
    upstream_requests: Cell<u64>,
    failed_calls: Rc<FailedCalls>,
    extra: RefCell<Vec<ExtraMetrics>>,
}

/// Appends further metric lines.
type ExtraMetrics = Box<dyn Fn(&mut String)>;

/// Number of listed cache servers, and of those among them that receive no new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberCounts {
    pub listed: usize,
    pub unavailable: usize,
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

impl Metrics {
    pub fn new<'a>(classes: impl IntoIterator<Item = &'a str>) -> Rc<Self> {
        let class = |name: &str| ClassMetrics { name: name.into(), ended: Default::default() };
        Rc::new(Metrics {
            classes: classes.into_iter().map(class).collect(),
            started: Cell::default(),
            upstream_requests: Cell::default(),
            failed_calls: FailedCalls::install(),
            extra: RefCell::default(),
        })
    }

    /// Adds a function that appends further lines at the end.
    pub fn add_extra(&self, lines: impl Fn(&mut String) + 'static) {
        self.extra.borrow_mut().push(Box::new(lines));
    }

    /// Counts a new request of this class.
    pub fn start_request(self: &Rc<Self>, class: usize) -> RequestGuard {
        increment(&self.started);
        RequestGuard { metrics: self.clone(), class, end: RequestOutcome::Failed }
    }

    /// Counts an attempt that was written completely to a cache server.
    pub fn count_upstream_request(&self) {
        increment(&self.upstream_requests);
    }

    fn pending(&self) -> u64 {
        let ended: u64 = self.classes.iter().flat_map(|class| &class.ended).map(Cell::get).sum();
        self.started.get() - ended
    }

    /// All metrics, one per line, in the Prometheus text format.
    pub fn render(&self, members: MemberCounts) -> String {
        let mut output = String::new();
        for (end, name) in ENDS {
            for class in &self.classes {
                let (label, count) = (escape_label(&class.name), class.ended[end as usize].get());
                append_line(&mut output, format_args!("app_{name}_total{{lane=\"{label}\"}} {count}"));
            }
        }
        append_line(
            &mut output,
            format_args!("app_upstream_requests_total {}", self.upstream_requests.get()),
        );
        append_line(&mut output, format_args!("app_pending {}", self.pending()));
        append_line(&mut output, format_args!("app_members {}", members.listed));
        append_line(&mut output, format_args!("app_members_unavailable {}", members.unavailable));
        self.failed_calls.render(&mut output);
        for extra in self.extra.borrow().iter() {
            extra(&mut output);
        }
        output
    }
}

/// Appends one line.
pub fn append_line(output: &mut String, text: std::fmt::Arguments) {
    // Writing to a string cannot fail.
    let _ = writeln!(output, "{text}");
}

/// Escapes a label value. Class names come from the settings and may contain any character.
pub fn escape_label(text: &str) -> String {
    text.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

/// A request that was started. Dropping it counts the request as ended: as failed, unless
/// [`RequestGuard::end`] was called.
pub struct RequestGuard {
    metrics: Rc<Metrics>,
    class: usize,
    end: RequestOutcome,
}

impl RequestGuard {
    pub fn end(mut self, end: RequestOutcome) {
        self.end = end;
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if let Some(class) = self.metrics.classes.get(self.class) {
            increment(&class.ended[self.end as usize]);
        }
    }
}
