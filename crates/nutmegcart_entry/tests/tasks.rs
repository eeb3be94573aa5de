//! Guards the path from stored task state to workers, over loopback.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use nutmegcart_config::Configuration;
use nutmegcart_config::Generation;
use nutmegcart_config::View;
use nutmegcart_entry::tasks::Runner;
use nutmegcart_fakes::Oracle;
use nutmegcart_fakes::TaskWorkers;
use nutmegcart_fleet::TaskStatus;
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
    workers: TaskWorkers,
    oracle: Oracle,
    view: View,
    /// 1: writes are lost before, 2: answers are lost after they took effect.
    fault: Arc<AtomicU32>,
}

impl Site {
    fn new(tasks: u32) -> Self {
        let oracle = Oracle::default();
        let workers = TaskWorkers::start(&oracle);
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

    /// Takes the duty over, as a new holder would, and returns its revision.
    fn take_duty(&self) -> Revision {
        let store = self.memory.store();
        store.txn(&Txn::default().delete(DUTY)).expect("answered");
        let txn = Txn::default().put(DUTY, b"entry".to_vec());
        store.txn(&txn).expect("answered").revision
    }

    fn runner(&self) -> Runner {
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
        Runner::new(store, tasks, "suva".into(), DUTY.into())
    }

    fn starts(&self, index: u32) -> u32 {
        self.oracle.runs(&format!("report/{index}")).started
    }
}

fn fate(runner: &Runner, index: u32) -> TaskStatus {
    let scheduler = runner.scheduler().expect("the duty is held");
    scheduler.task_status("report", index)
}

#[test]
fn task_runs_once_and_its_outcome_is_stored() {
    let site = Site::new(1);
    let mut runner = site.runner();
    let duty = site.take_duty();
    runner.round(Some(duty), GENERATION, &site.view);
    site.workers.finish("report/0", Outcome::Done);
    runner.round(Some(duty), GENERATION, &site.view);
    let mut next = site.runner();
    next.round(Some(site.take_duty()), GENERATION, &site.view);
    assert_eq!((fate(&next, 0), site.starts(0)), (TaskStatus::Done, 1));
}

#[test]
fn nothing_starts_before_its_intent_is_written() {
    let site = Site::new(2);
    let mut runner = site.runner();
    let duty = site.take_duty();
    claim(&site);
    site.fault.store(1, Ordering::Relaxed);
    runner.round(Some(duty), GENERATION, &site.view);
    runner.round(Some(duty), GENERATION, &site.view);
    assert_eq!((site.starts(0), site.starts(1)), (0, 0));
    site.fault.store(0, Ordering::Relaxed);
    runner.round(Some(duty), GENERATION, &site.view);
    assert_eq!((site.starts(0), site.starts(1)), (1, 1));
}

#[test]
fn write_whose_answer_was_lost_is_found_and_carried_out_once() {
    let site = Site::new(2);
    let mut runner = site.runner();
    let duty = site.take_duty();
    claim(&site);
    site.fault.store(2, Ordering::Relaxed);
    runner.round(Some(duty), GENERATION, &site.view);
    assert!(site.workers.running().is_empty());
    site.fault.store(0, Ordering::Relaxed);
    runner.round(Some(duty), GENERATION, &site.view);
    runner.round(Some(duty), GENERATION, &site.view);
    assert_eq!((site.starts(0), site.starts(1)), (1, 1));
}

#[test]
fn paused_holder_changes_nothing_after_a_take_over() {
    let site = Site::new(1);
    let mut paused = site.runner();
    let old = site.take_duty();
    claim(&site);
    let mut next = site.runner();
    let new = site.take_duty();
    next.round(Some(new), GENERATION, &site.view);
    paused.round(Some(old), GENERATION, &site.view);
    paused.round(Some(old), GENERATION, &site.view);
    assert_eq!((site.starts(0), site.workers.running().len()), (1, 1));
}

#[test]
fn successor_learns_the_outcome_of_a_start_whose_answer_was_lost() {
    let site = Site::new(4);
    let mut runner = site.runner();
    let duty = site.take_duty();
    for worker in ["w0", "w1", "w2", "w3"] {
        site.workers
            .set_faults(worker, |faults| faults.lost_responses = 9);
    }
    runner.round(Some(duty), GENERATION, &site.view);
    for worker in ["w0", "w1", "w2", "w3"] {
        site.workers
            .set_faults(worker, |faults| faults.lost_responses = 0);
    }
    let mut next = site.runner();
    let duty = site.take_duty();
    next.round(Some(duty), GENERATION, &site.view);
    site.workers.finish("report/2", Outcome::Done);
    next.round(Some(duty), GENERATION, &site.view);
    assert_eq!(fate(&next, 2), TaskStatus::Done);
    assert!((0..4).all(|index| site.starts(index) == 1));
}

#[test]
fn only_one_data_centre_runs_a_job() {
    let site = Site::new(1);
    let store = site.memory.store();
    let txn = Txn::default().put("/nutmegcart/home/report", b"nadi".to_vec());
    store.txn(&txn).expect("answered");
    let mut runner = site.runner();
    runner.round(Some(site.take_duty()), GENERATION, &site.view);
    assert_eq!(site.starts(0), 0);
}

#[test]
fn successor_with_an_older_configuration_cancels_nothing() {
    let site = Site::new(2);
    let mut runner = site.runner();
    runner.round(Some(site.take_duty()), Generation(7), &site.view);
    let mut next = site.runner();
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
    let mut runner = site.runner();
    let duty = site.take_duty();
    runner.round(Some(duty), GENERATION, &site.view);
    site.workers.finish("report/0", Outcome::Done);
    for _ in 0..10 {
        runner.round(Some(duty), GENERATION, &site.view);
    }
    assert_eq!(site.workers.command_requests(), 2, "a start and a forget");
}

#[test]
fn lapsed_lease_stops_a_task_on_its_worker() {
    let site = Site::new(1);
    let mut runner = site.runner();
    let duty = site.take_duty();
    runner.round(Some(duty), GENERATION, &site.view);
    assert_eq!(site.workers.running().len(), 1);
    site.workers.advance_clock(Duration::from_secs(30));
    assert!(site.workers.running().is_empty());
}

/// Records this data centre as the one that runs the job.
fn claim(site: &Site) {
    let txn = Txn::default().put("/nutmegcart/home/report", b"suva".to_vec());
    site.memory.store().txn(&txn).expect("answered");
}
