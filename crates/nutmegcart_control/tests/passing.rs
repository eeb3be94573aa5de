//! All interleavings of the calls that concern one job while it passes to another cell.
//!
//! The owner sends its transaction and, since the answer may be lost, a copy of it; a successor
//! takes the cell over; the caller repeats the submission and cancels the job. A task is started by
//! whoever may start it at the end.

use std::time::Duration;

use nutmegcart_control::keys;
use nutmegcart_control::keys::CellKeys;
use nutmegcart_control::passing::conflict_outcome;
use nutmegcart_control::passing::transaction;
use nutmegcart_jobs::AcceptedJob;
use nutmegcart_jobs::FinalState;
use nutmegcart_jobs::Job;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::JobRecord;
use nutmegcart_jobs::Queue;
use nutmegcart_jobs::QueueKey;
use nutmegcart_jobs::TaskKey;
use nutmegcart_jobs::passing::JobPass;
use nutmegcart_jobs::passing::PassOutcome;
use nutmegcart_jobs::record::TaskProgress;
use nutmegcart_jobs::record::decode;
use nutmegcart_jobs::record::encode;
use nutmegcart_platform::MemoryStore;
use nutmegcart_platform::Store;
use nutmegcart_platform::Txn;

const OWN: u32 = 0;
const TARGET: u32 = 1;

/// One call, in the order in which its sender makes its calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    /// The owner sends the transaction and does not learn the answer.
    PassUnanswered,
    /// The owner sends a copy and learns the answer.
    Pass,
    /// A successor replaces the owner's key and reads the jobs of the cell.
    TakeOver,
    /// The caller submits the job once more.
    Resubmit,
    /// The caller's cancellation reads the record.
    ReadToCancel,
    /// The caller's cancellation writes the record that it has read.
    WriteCancel,
}

const SEQUENCES: [&[Step]; 4] = [
    &[Step::PassUnanswered, Step::Pass],
    &[Step::TakeOver],
    &[Step::Resubmit, Step::Resubmit],
    &[Step::ReadToCancel, Step::WriteCancel],
];

/// The store, and what the senders know.
struct Model {
    store: Store,
    pass: JobPass,
    fence: i64,
    outcome: Option<PassOutcome>,
    owner_replaced: bool,
    successor_has_job: bool,
    read: Option<(String, i64)>,
    cancelled: bool,
}

fn accepted() -> AcceptedJob {
    AcceptedJob {
        waited_ms: 0,
        progress: Vec::new(),
        organisation: None,
        queue: Queue {
            key: QueueKey {
                host: "counts.example".into(),
                prefix: "/gates/".into(),
            },
            pool: "gates".into(),
            priority: 0,
            attempts: 2,
            stretch: 1.6,
            target_ms: 600,
            ticket_timing: None,
        },
        at: 1,
        job: Job {
            spec: "spec".into(),
            steps: Vec::new(),
            schedule: None,
        },
    }
}

impl Model {
    fn new() -> Self {
        let store = MemoryStore::default().store();
        let job = JobId::parse("00000000000000aa").expect("sixteen digits");
        let own = CellKeys::new(OWN);
        let owner = Txn::default().put(own.owner(), b"first".to_vec());
        let fence = store.txn(&owner).expect("the store answers").revision;
        let mut model = Self {
            pass: JobPass {
                job,
                cell: TARGET,
                revision: 0,
                accepted: AcceptedJob {
                    waited_ms: 1_500,
                    ..accepted()
                },
            },
            store,
            fence,
            outcome: None,
            owner_replaced: false,
            successor_has_job: false,
            read: None,
            cancelled: false,
        };
        model.submit();
        model.pass.revision = model.modified(&own.job(&model.pass.job)).expect("stored");
        model
    }

    fn value(&self, key: &str) -> Option<JobRecord> {
        let snapshot = self.store.range(key).expect("the store answers");
        let stored = snapshot.get(key)?;
        Some(decode(&stored.value).expect("a record"))
    }

    fn modified(&self, key: &str) -> Option<i64> {
        let snapshot = self.store.range(key).expect("the store answers");
        snapshot.get(key).map(|stored| stored.modified)
    }

    fn is_open(&self, cell: u32) -> bool {
        let record = self.value(&CellKeys::new(cell).job(&self.pass.job));
        matches!(record, Some(JobRecord::Accepted(_)))
    }

    /// Stores the job as an accepting instance does.
    fn submit(&self) {
        let key = CellKeys::new(OWN).job(&self.pass.job);
        let txn = Txn::default()
            .absent(key.clone())
            .absent(keys::job_location(&self.pass.job))
            .put(key, encode(&JobRecord::Accepted(Box::new(accepted()))));
        self.store.txn(&txn).expect("the store answers");
    }

    fn send_pass(&self) -> Option<PassOutcome> {
        let (own, target) = (CellKeys::new(OWN), CellKeys::new(TARGET));
        let txn = transaction(&own, self.fence, &target, &self.pass);
        let reply = self.store.txn(&txn).expect("the store answers");
        if reply.committed {
            Some(PassOutcome::Passed)
        } else {
            conflict_outcome(&own, self.fence, &self.pass.job, &reply.found)
        }
    }

    fn apply(&mut self, step: Step) {
        let own = CellKeys::new(OWN);
        match step {
            Step::PassUnanswered => drop(self.send_pass()),
            Step::Pass => self.outcome = self.send_pass(),
            Step::TakeOver => {
                let txn = Txn::default().put(own.owner(), b"second".to_vec());
                self.store.txn(&txn).expect("the store answers");
                self.owner_replaced = true;
                self.successor_has_job = self.is_open(OWN);
            }
            Step::Resubmit => self.submit(),
            Step::ReadToCancel => {
                let places = [OWN, TARGET].map(|cell| CellKeys::new(cell).job(&self.pass.job));
                let stored = places.into_iter().find_map(|key| {
                    let modified = self.modified(&key)?;
                    Some((key, modified))
                });
                self.read = stored;
            }
            Step::WriteCancel => {
                let (key, modified) = self.read.clone().expect("the job is stored somewhere");
                let how = FinalState::Cancelled;
                let ended = JobRecord::Ended {
                    how,
                    at: 1,
                    organisation: None,
                };
                let txn = Txn::default()
                    .unchanged(key.clone(), modified)
                    .put(key, encode(&ended));
                let reply = self.store.txn(&txn).expect("the store answers");
                self.cancelled = reply.committed;
            }
        }
    }

    /// Checks that the job is in one cell, and that at most one owner may start it.
    fn check(&self, order: &[Step]) {
        let places = [OWN, TARGET].map(|cell| {
            let record = self.value(&CellKeys::new(cell).job(&self.pass.job));
            usize::from(record.is_some())
        });
        assert_eq!(places.iter().sum::<usize>(), 1, "{order:?}");
        let open = self.is_open(OWN) || self.is_open(TARGET);
        assert_eq!(open, !self.cancelled, "{order:?}");
        let kept = matches!(self.outcome, Some(PassOutcome::Kept(_)));
        let starters = [
            // The owner that passed the job starts it if it stays and is not cancelled.
            kept && !self.owner_replaced && self.is_open(OWN),
            self.successor_has_job && self.is_open(OWN),
            self.is_open(TARGET),
        ];
        let starters = starters.iter().filter(|starts| **starts).count();
        assert_eq!(starters, usize::from(open), "{order:?}: {:?}", self.outcome);
    }
}

/// Calls `visit` with every interleaving of the sequences.
fn for_each_interleaving(
    next: [usize; SEQUENCES.len()],
    order: &mut Vec<Step>,
    visit: &mut impl FnMut(&[Step]),
) {
    let mut complete = true;
    for (sender, sequence) in SEQUENCES.iter().enumerate() {
        if let Some(step) = sequence.get(next[sender]) {
            complete = false;
            let mut advanced = next;
            advanced[sender] += 1;
            order.push(*step);
            for_each_interleaving(advanced, order, visit);
            order.pop();
        }
    }
    if complete {
        visit(order);
    }
}

/// Guards against a job in two cells or in none, a second start, and a cancellation that a pass
/// undoes, in every order of the calls.
#[test]
fn job_is_in_one_cell_in_every_order_of_calls() {
    let mut orders = 0;
    let mut passed = 0;
    for_each_interleaving([0; SEQUENCES.len()], &mut Vec::new(), &mut |order| {
        let mut model = Model::new();
        for step in order {
            model.apply(*step);
        }
        model.check(order);
        orders += 1;
        passed += usize::from(
            model
                .value(&CellKeys::new(TARGET).job(&model.pass.job))
                .is_some(),
        );
    });
    // 7 calls of 4 senders, in the order of each sender.
    assert_eq!(orders, 7 * 6 * 5 * 4 * 3 * 2 / 8);
    assert!(passed > 0 && passed < orders, "{passed} of {orders}");
}

/// Guards against a transaction of an owner that was paused while its cell got another owner.
#[test]
fn paused_owner_passes_nothing() {
    let mut model = Model::new();
    model.apply(Step::TakeOver);
    assert_eq!(model.send_pass(), None);
    assert!(model.is_open(OWN) && !model.is_open(TARGET));
}

/// Guards against records of versions before the waiting time, and new records that those versions
/// cannot read.
#[test]
fn record_without_a_waiting_time_keeps_its_form() {
    let plain = accepted();
    let parts = (&plain.queue, plain.at, &plain.job);
    assert_eq!(encode(&plain), encode(&parts));
    assert_eq!(decode::<AcceptedJob>(&encode(&parts)), Ok(plain.clone()));
    let waited = AcceptedJob {
        waited_ms: u64::try_from(Duration::from_secs(2).as_millis()).expect("small"),
        ..plain
    };
    assert_eq!(decode::<AcceptedJob>(&encode(&waited)), Ok(waited.clone()));
    let job = JobId::parse("00000000000000aa").expect("sixteen digits");
    let begun = AcceptedJob {
        progress: vec![TaskProgress {
            task: TaskKey {
                job,
                occurrence: 0,
                step: 0,
                index: 3,
            },
            done: true,
            failed: vec![1],
            run: 2,
            checkpoint: None,
        }],
        ..waited
    };
    assert_eq!(decode::<AcceptedJob>(&encode(&begun)), Ok(begun));
}
