//! What an instance decides by the age of what it has read: whether an owner starts tasks, and
//! whether callers are answered.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::Request;
use hyper::header;
use nutmegcart_control::Node;
use nutmegcart_control::clock::now;
use nutmegcart_control::job_api;
use nutmegcart_control::job_service::JobService;
use nutmegcart_control::metrics::Metrics;
use nutmegcart_control::port::CallerLimits;
use nutmegcart_control::port::PlatformConfig;
use nutmegcart_control::view_age::ViewTimes;
use nutmegcart_jobs::layout::CellLayout;
use nutmegcart_model::Code;

mod support;

/// Returns the times of a view that was read, and of a call that failed.
const fn view(read: Duration, failed_at: Option<Duration>) -> ViewTimes {
    ViewTimes {
        read_at: Some(read),
        failed_at,
    }
}

/// Returns an instance with a configuration that it has read at the given time.
fn node(read: Duration) -> Rc<Node> {
    let node = Node::new(
        support::settings(),
        support::silent_platform(),
        Metrics::default(),
        7,
    );
    node.set_layout(CellLayout::default());
    node.configure(PlatformConfig {
        version: 1,
        queues: Vec::new(),
        callers: Vec::new(),
        organisations: None,
        pools: Vec::new(),
        limits: CallerLimits {
            head_bytes: 1 << 14,
            head_timeout: Duration::from_secs(3),
            body_bytes: 1 << 18,
            idle_timeout: Duration::from_mins(1),
        },
    });
    node.records_view.set(view(read, None));
    node
}

/// Asks an instance for the number of waiting jobs of a queue that its configuration does not have,
/// and returns the status and the delay after which the caller should retry.
fn ask(node: &Rc<Node>) -> (u16, Option<String>) {
    let path = "/v1/waiting?host=counts.example&prefix=/gates/";
    let request = Request::get(path).body(Empty::<Bytes>::new());
    let request = request.expect("the request is valid");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let service = JobService::default();
    let answer = job_api::respond(node, &service, request);
    let answer = runtime.expect("the runtime starts").block_on(answer);
    let retry = answer.headers().get(header::RETRY_AFTER);
    let retry = retry.map(|value| value.to_str().expect("ASCII").to_owned());
    (answer.status().as_u16(), retry)
}

/// Guards against starts of jobs that were cancelled while their owner was short of processor time
/// and read the changes of its cell seconds late.
#[test]
fn owner_with_a_late_view_starts_nothing() {
    let read = Duration::from_secs(100);
    for millis in [0, 1_200, 2_500] {
        let at = read + Duration::from_millis(millis);
        assert!(view(read, None).is_current(at), "{millis} ms");
    }
    // Cancellations must take effect within three seconds on the strictest deployment.
    for millis in [2_501, 3_000, 5_000] {
        let at = read + Duration::from_millis(millis);
        assert!(!view(read, None).is_current(at), "{millis} ms");
    }
}

/// Guards against tasks that wait through an outage of the store, in which nobody can cancel a job
/// and the validity of the ownership decides.
#[test]
fn outage_of_the_store_does_not_make_a_view_late() {
    let read = Duration::from_secs(100);
    let at = read + Duration::from_secs(5);
    assert!(view(read, Some(at)).is_current(at));
    let later = at + Duration::from_millis(2_200);
    assert!(
        view(read, Some(at)).is_current(later),
        "the next failed call is under way"
    );
}

/// Guards against an outage that counts as lasting after the process was paused in it, so that its view
/// of what has changed since counts as current.
#[test]
fn failure_before_a_pause_does_not_keep_a_view_current() {
    let failed = Duration::from_secs(100);
    let view = view(failed.saturating_sub(Duration::from_secs(1)), Some(failed));
    assert!(view.is_current(failed + Duration::from_millis(2_500)));
    assert!(!view.is_current(failed + Duration::from_millis(2_501)));
}

/// Guards against answers by a configuration that was replaced while the instance was paused, or
/// short of processor time.
#[test]
fn instance_that_reads_the_configuration_late_refuses_requests() {
    let read = Duration::from_secs(100);
    let node = node(read);
    let answer = |millis| node.current_configuration(read + Duration::from_millis(millis));
    assert!(answer(2_500).is_ok());
    assert_eq!(answer(2_501), Err(Code::ConfigurationLate));
    node.records_view
        .set(view(read + Duration::from_secs(5), None));
    assert!(answer(5_000).is_ok());
}

/// Guards against a deployment that serves nobody while its store is away.
#[test]
fn outage_of_the_store_does_not_make_a_configuration_late() {
    let read = Duration::from_secs(100);
    let node = node(read);
    let at = read + Duration::from_mins(1);
    node.records_view.set(view(read, Some(at)));
    assert!(node.current_configuration(at).is_ok());
}

/// Guards against "no such queue" from an instance that may not have read the queue yet.
#[test]
fn caller_of_a_late_instance_is_told_to_retry() {
    let late = node(now().saturating_sub(Duration::from_secs(3)));
    assert_eq!(ask(&late), (503, Some("1".into())));
    let current = node(now());
    assert_eq!(ask(&current), (404, None));
}

/// Guards against new callers at an instance that would refuse them.
#[test]
fn late_instance_is_not_ready() {
    let node = node(now());
    node.record_store_call(true);
    assert!(node.is_ready());
    let read = now().saturating_sub(Duration::from_secs(3));
    node.records_view.set(view(read, None));
    assert!(!node.is_ready());
}
