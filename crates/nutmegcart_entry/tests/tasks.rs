//! Tests of the task controller, from the stored task state to the workers, over loopback.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use nutmegcart_config::Configuration;
use nutmegcart_config::Generation;
use nutmegcart_config::View;
use nutmegcart_entry::task_controller::TaskController;
use nutmegcart_fakes::Oracle;
use nutmegcart_fakes::Workers;
use nutmegcart_fleet::Fate;
use nutmegcart_model::Document;
use nutmegcart_platform::MemoryStore;
use nutmegcart_platform::Revision;
use nutmegcart_platform::Store;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::Tasks;
use nutmegcart_platform::Txn;
use nutmegcart_platform::store::Call;
use nutmegcart_platform::store::Reply;
use nutmegcart_platform::tasks::Amounts;
use nutmegcart_platform::tasks::ListedWorker;
use nutmegcart_platform::tasks::Outcome;

const GENERATION: Generation = Generation(1);
const DUTY: &str = "/nutmegcart/duty/suva";

struct Site {
    memory: MemoryStore,
    workers: Workers,
    oracle: Oracle,
    view: View,
    /// 1: writes fail without effect; 2: writes take effect and their answers are lost.
    fault: Arc<AtomicU32>,
}

impl Site {
    fn new(tasks: u32) -> Self {
        let oracle = Oracle::default();
        let workers = Workers::start(&oracle);
        for number in 0..4 {
            workers.add(ListedWorker {
                id: format!("w{number}").into(),
                pool: "gates".into(),
                rack: "r".into(),
                capacity: Amounts {
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
            .with(&documents, &[])
            .expect("references hold");
        Self {
            memory: MemoryStore::default(),
            workers,
            oracle,
            view: View::build(&configuration).expect("references hold"),
            fault: Arc::default(),
        }
    }

    /// Replaces the duty key as a new holder does, and returns the revision.
    fn take_duty(&self) -> Revision {
        let store = self.memory.store();
        store.txn(&Txn::default().delete(DUTY)).expect("answered");
        let txn = Txn::default().put(DUTY, b"entry".to_vec());
        store.txn(&txn).expect("answered").revision
    }

    fn controller(&self) -> TaskController {
        let memory = self.memory.clone();
        let fault = self.fault.clone();
        let store = Store::new(move |call| {
            let fault = fault.load(Ordering::Relaxed);
            let reason = "scripted".to_owned();
            if fault == 1 && matches!(call, Call::Txn(_)) {
                return Err(StoreError::Unreachable { reason });
            }
            let reply = memory.call(call)?;
            if fault == 2 && matches!(reply, Reply::Txn(_)) {
                return Err(StoreError::AnswerLost { reason });
            }
            Ok(reply)
        });
        let tasks = Tasks::http(self.workers.address, Duration::from_secs(10));
        TaskController::new(store, tasks, "suva".into(), DUTY.into())
    }

    fn starts(&self, index: u32) -> u32 {
        self.oracle.runs(&format!("report/{index}")).started
    }
}

fn fate(controller: &TaskController, index: u32) -> Fate {
    let scheduler = controller.scheduler().expect("the duty is held");
    scheduler.fate("report", index)
}

#[test]
fn task_runs_once_and_its_outcome_is_stored() {
    let site = Site::new(1);
    let mut controller = site.controller();
    let duty = site.take_duty();
    controller.round(Some(duty), GENERATION, &site.view);
    site.workers.finish("report/0", Outcome::Done);
    controller.round(Some(duty), GENERATION, &site.view);
    let mut next = site.controller();
    next.round(Some(site.take_duty()), GENERATION, &site.view);
    assert_eq!((fate(&next, 0), site.starts(0)), (Fate::Done, 1));
}

#[test]
fn task_starts_only_after_its_state_is_stored() {
    let site = Site::new(2);
    let mut controller = site.controller();
    let duty = site.take_duty();
    assign_job(&site);
    site.fault.store(1, Ordering::Relaxed);
    controller.round(Some(duty), GENERATION, &site.view);
    controller.round(Some(duty), GENERATION, &site.view);
    assert_eq!((site.starts(0), site.starts(1)), (0, 0));
    site.fault.store(0, Ordering::Relaxed);
    controller.round(Some(duty), GENERATION, &site.view);
    assert_eq!((site.starts(0), site.starts(1)), (1, 1));
}

#[test]
fn stored_write_with_a_lost_answer_is_executed_once() {
    let site = Site::new(2);
    let mut controller = site.controller();
    let duty = site.take_duty();
    assign_job(&site);
    site.fault.store(2, Ordering::Relaxed);
    controller.round(Some(duty), GENERATION, &site.view);
    assert!(site.workers.running().is_empty());
    site.fault.store(0, Ordering::Relaxed);
    controller.round(Some(duty), GENERATION, &site.view);
    controller.round(Some(duty), GENERATION, &site.view);
    assert_eq!((site.starts(0), site.starts(1)), (1, 1));
}

#[test]
fn replaced_duty_holder_has_no_effect_on_tasks() {
    let site = Site::new(1);
    let mut paused = site.controller();
    let old = site.take_duty();
    assign_job(&site);
    let mut next = site.controller();
    let new = site.take_duty();
    next.round(Some(new), GENERATION, &site.view);
    paused.round(Some(old), GENERATION, &site.view);
    paused.round(Some(old), GENERATION, &site.view);
    assert_eq!((site.starts(0), site.workers.running().len()), (1, 1));
}

#[test]
fn successor_gets_the_outcome_of_a_start_with_a_lost_answer() {
    let site = Site::new(4);
    let mut controller = site.controller();
    let duty = site.take_duty();
    for worker in ["w0", "w1", "w2", "w3"] {
        site.workers
            .set_faults(worker, |faults| faults.lose_answers = 9);
    }
    controller.round(Some(duty), GENERATION, &site.view);
    for worker in ["w0", "w1", "w2", "w3"] {
        site.workers
            .set_faults(worker, |faults| faults.lose_answers = 0);
    }
    let mut next = site.controller();
    let duty = site.take_duty();
    next.round(Some(duty), GENERATION, &site.view);
    site.workers.finish("report/2", Outcome::Done);
    next.round(Some(duty), GENERATION, &site.view);
    assert_eq!(fate(&next, 2), Fate::Done);
    assert!((0..4).all(|index| site.starts(index) == 1));
}

#[test]
fn only_one_data_centre_runs_a_job() {
    let site = Site::new(1);
    let store = site.memory.store();
    let txn = Txn::default().put("/nutmegcart/home/report", b"nadi".to_vec());
    store.txn(&txn).expect("answered");
    let mut controller = site.controller();
    controller.round(Some(site.take_duty()), GENERATION, &site.view);
    assert_eq!(site.starts(0), 0);
}

#[test]
fn successor_with_an_older_configuration_cancels_nothing() {
    let site = Site::new(2);
    let mut controller = site.controller();
    controller.round(Some(site.take_duty()), Generation(7), &site.view);
    let mut next = site.controller();
    let duty = site.take_duty();
    next.round(Some(duty), Generation(6), &View::default());
    next.round(Some(duty), Generation(6), &View::default());
    assert_eq!(site.workers.running().len(), 2);
    next.round(Some(duty), Generation(8), &View::default());
    assert!(site.workers.running().is_empty());
}

#[test]
fn ended_attempt_is_forgotten_by_one_call() {
    let site = Site::new(1);
    let mut controller = site.controller();
    let duty = site.take_duty();
    controller.round(Some(duty), GENERATION, &site.view);
    site.workers.finish("report/0", Outcome::Done);
    for _ in 0..10 {
        controller.round(Some(duty), GENERATION, &site.view);
    }
    assert_eq!(site.workers.commands(), 2, "a start and a forget");
}

#[test]
fn expired_task_lease_stops_the_task_on_its_worker() {
    let site = Site::new(1);
    let mut controller = site.controller();
    let duty = site.take_duty();
    controller.round(Some(duty), GENERATION, &site.view);
    assert_eq!(site.workers.running().len(), 1);
    site.workers.advance(Duration::from_secs(30));
    assert!(site.workers.running().is_empty());
}

/// Assigns the job to this data centre in the store.
fn assign_job(site: &Site) {
    let txn = Txn::default().put("/nutmegcart/home/report", b"suva".to_vec());
    site.memory.store().txn(&txn).expect("answered");
}
