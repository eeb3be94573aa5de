//! Tests of the task controller, from the stored task state to the workers, over loopback.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use nutmegcart_config::ConfigView;
use nutmegcart_config::Configuration;
use nutmegcart_config::Generation;
use nutmegcart_entry::task_controller::TaskController;
use nutmegcart_fakes::Oracle;
use nutmegcart_fakes::TaskWorkers;
use nutmegcart_fleet::TaskStatus;
use nutmegcart_model::Document;
use nutmegcart_platform::MemoryStore;
use nutmegcart_platform::Revision;
use nutmegcart_platform::Store;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::TaskApi;
use nutmegcart_platform::Txn;
use nutmegcart_platform::store::StoreCall;
use nutmegcart_platform::store::StoreReply;
use nutmegcart_platform::task_api::AttemptState;
use nutmegcart_platform::task_api::ListedWorker;
use nutmegcart_platform::task_api::ResourceAmounts;

const GENERATION: Generation = Generation(1);
const DUTY_KEY: &str = "/nutmegcart/duty/suva";

struct Fixture {
    memory: MemoryStore,
    workers: TaskWorkers,
    oracle: Oracle,
    view: ConfigView,
    /// 1: writes fail without effect; 2: writes take effect and their answers are lost.
    fault: Arc<AtomicU32>,
}

impl Fixture {
    fn new(tasks: u32) -> Self {
        let oracle = Oracle::default();
        let workers = TaskWorkers::start(&oracle);
        for number in 0..4 {
            workers.add(ListedWorker {
                id: format!("w{number}").into(),
                pool: "gates".into(),
                rack: "r".into(),
                capacity: ResourceAmounts {
                    cpu: 16_000,
                    memory: 64_000,
                    accelerators: 0,
                },
                leaving: false,
            });
        }
        let documents = [
            r#"{"schema":1,"kind":"pool","name":"gates","service":"gates","size":1}"#.to_owned(),
            format!(
                r#"{{"schema":2,"kind":"job","name":"report","pool":"gates","cpu":4000,"memory":4000,"tasks":{tasks}}}"#
            ),
        ];
        let documents = documents.map(|text| Document::parse(text.as_bytes()).expect("valid"));
        let configuration = Configuration::default()
            .with_documents(&documents, &[])
            .expect("references hold");
        Self {
            memory: MemoryStore::default(),
            workers,
            oracle,
            view: ConfigView::build(&configuration).expect("references hold"),
            fault: Arc::default(),
        }
    }

    /// Replaces the duty key as a new holder does, and returns the revision.
    fn take_over_duty(&self) -> Revision {
        let store = self.memory.store();
        store
            .txn(&Txn::default().delete(DUTY_KEY))
            .expect("answered");
        let txn = Txn::default().put(DUTY_KEY, b"entry".to_vec());
        store.txn(&txn).expect("answered").revision
    }

    fn controller(&self) -> TaskController {
        let memory = self.memory.clone();
        let fault = self.fault.clone();
        let store = Store::new(move |call| {
            let fault = fault.load(Ordering::Relaxed);
            let reason = "scripted".to_owned();
            if fault == 1 && matches!(call, StoreCall::Txn(_)) {
                return Err(StoreError::Unreachable { reason });
            }
            let reply = memory.call(call)?;
            if fault == 2 && matches!(reply, StoreReply::Txn(_)) {
                return Err(StoreError::AnswerLost { reason });
            }
            Ok(reply)
        });
        let tasks = TaskApi::http(self.workers.address, Duration::from_secs(10));
        TaskController::new(store, tasks, "suva".into(), DUTY_KEY.into())
    }

    fn starts(&self, index: u32) -> u32 {
        self.oracle.runs(&format!("report/{index}")).started
    }
}

fn task_status(controller: &TaskController, index: u32) -> TaskStatus {
    let scheduler = controller.scheduler().expect("the duty is held");
    scheduler.task_status("report", index)
}

#[test]
fn task_runs_once_and_its_outcome_is_stored() {
    let fixture = Fixture::new(1);
    let mut controller = fixture.controller();
    let duty = fixture.take_over_duty();
    controller.round(Some(duty), GENERATION, &fixture.view);
    fixture.workers.finish("report/0", AttemptState::Done);
    controller.round(Some(duty), GENERATION, &fixture.view);
    let mut next = fixture.controller();
    next.round(Some(fixture.take_over_duty()), GENERATION, &fixture.view);
    assert_eq!(
        (task_status(&next, 0), fixture.starts(0)),
        (TaskStatus::Done, 1)
    );
}

#[test]
fn task_starts_only_after_its_state_is_stored() {
    let fixture = Fixture::new(2);
    let mut controller = fixture.controller();
    let duty = fixture.take_over_duty();
    assign_job(&fixture);
    fixture.fault.store(1, Ordering::Relaxed);
    controller.round(Some(duty), GENERATION, &fixture.view);
    controller.round(Some(duty), GENERATION, &fixture.view);
    assert_eq!((fixture.starts(0), fixture.starts(1)), (0, 0));
    fixture.fault.store(0, Ordering::Relaxed);
    controller.round(Some(duty), GENERATION, &fixture.view);
    assert_eq!((fixture.starts(0), fixture.starts(1)), (1, 1));
}

#[test]
fn stored_write_with_a_lost_answer_is_executed_once() {
    let fixture = Fixture::new(2);
    let mut controller = fixture.controller();
    let duty = fixture.take_over_duty();
    assign_job(&fixture);
    fixture.fault.store(2, Ordering::Relaxed);
    controller.round(Some(duty), GENERATION, &fixture.view);
    assert!(fixture.workers.running().is_empty());
    fixture.fault.store(0, Ordering::Relaxed);
    controller.round(Some(duty), GENERATION, &fixture.view);
    controller.round(Some(duty), GENERATION, &fixture.view);
    assert_eq!((fixture.starts(0), fixture.starts(1)), (1, 1));
}

#[test]
fn replaced_duty_holder_has_no_effect_on_tasks() {
    let fixture = Fixture::new(1);
    let mut paused = fixture.controller();
    let old = fixture.take_over_duty();
    assign_job(&fixture);
    let mut next = fixture.controller();
    let new = fixture.take_over_duty();
    next.round(Some(new), GENERATION, &fixture.view);
    paused.round(Some(old), GENERATION, &fixture.view);
    paused.round(Some(old), GENERATION, &fixture.view);
    assert_eq!((fixture.starts(0), fixture.workers.running().len()), (1, 1));
}

#[test]
fn successor_gets_the_outcome_of_a_start_with_a_lost_answer() {
    let fixture = Fixture::new(4);
    let mut controller = fixture.controller();
    let duty = fixture.take_over_duty();
    for worker in ["w0", "w1", "w2", "w3"] {
        fixture
            .workers
            .set_faults(worker, |faults| faults.lost_responses = 9);
    }
    controller.round(Some(duty), GENERATION, &fixture.view);
    for worker in ["w0", "w1", "w2", "w3"] {
        fixture
            .workers
            .set_faults(worker, |faults| faults.lost_responses = 0);
    }
    let mut next = fixture.controller();
    let duty = fixture.take_over_duty();
    next.round(Some(duty), GENERATION, &fixture.view);
    fixture.workers.finish("report/2", AttemptState::Done);
    next.round(Some(duty), GENERATION, &fixture.view);
    assert_eq!(task_status(&next, 2), TaskStatus::Done);
    assert!((0..4).all(|index| fixture.starts(index) == 1));
}

#[test]
fn only_one_data_centre_runs_a_job() {
    let fixture = Fixture::new(1);
    let store = fixture.memory.store();
    let txn = Txn::default().put("/nutmegcart/home/report", b"nadi".to_vec());
    store.txn(&txn).expect("answered");
    let mut controller = fixture.controller();
    controller.round(Some(fixture.take_over_duty()), GENERATION, &fixture.view);
    assert_eq!(fixture.starts(0), 0);
}

#[test]
fn successor_with_an_older_configuration_cancels_nothing() {
    let fixture = Fixture::new(2);
    let mut controller = fixture.controller();
    controller.round(Some(fixture.take_over_duty()), Generation(7), &fixture.view);
    let mut next = fixture.controller();
    let duty = fixture.take_over_duty();
    next.round(Some(duty), Generation(6), &ConfigView::default());
    next.round(Some(duty), Generation(6), &ConfigView::default());
    assert_eq!(fixture.workers.running().len(), 2);
    next.round(Some(duty), Generation(8), &ConfigView::default());
    assert!(fixture.workers.running().is_empty());
}

#[test]
fn ended_attempt_is_forgotten_by_one_call() {
    let fixture = Fixture::new(1);
    let mut controller = fixture.controller();
    let duty = fixture.take_over_duty();
    controller.round(Some(duty), GENERATION, &fixture.view);
    fixture.workers.finish("report/0", AttemptState::Done);
    for _ in 0..10 {
        controller.round(Some(duty), GENERATION, &fixture.view);
    }
    assert_eq!(
        fixture.workers.command_requests(),
        2,
        "a start and a forget"
    );
}

#[test]
fn expired_task_lease_stops_the_task_on_its_worker() {
    let fixture = Fixture::new(1);
    let mut controller = fixture.controller();
    let duty = fixture.take_over_duty();
    controller.round(Some(duty), GENERATION, &fixture.view);
    assert_eq!(fixture.workers.running().len(), 1);
    fixture.workers.advance_clock(Duration::from_secs(30));
    assert!(fixture.workers.running().is_empty());
}

/// Assigns the job to this data centre in the store.
fn assign_job(fixture: &Fixture) {
    let txn = Txn::default().put("/nutmegcart/home/report", b"suva".to_vec());
    fixture.memory.store().txn(&txn).expect("answered");
}
