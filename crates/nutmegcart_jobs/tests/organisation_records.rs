//! Records of jobs of organisations, beside those of versions that know no organisations.

use nutmegcart_jobs::AcceptedJob;
use nutmegcart_jobs::FinalState;
use nutmegcart_jobs::Job;
use nutmegcart_jobs::JobRecord;
use nutmegcart_jobs::record::decode;
use nutmegcart_jobs::record::decode_job;
use nutmegcart_jobs::record::encode;
use nutmegcart_jobs::record::encode_job;
use support::assert_no_violations;
use support::batch_step;
use support::completed;
use support::job_id;
use support::seconds;
use support::world;

mod support;

fn accepted(organisation: Option<&str>) -> AcceptedJob {
    AcceptedJob {
        waited_ms: 0,
        progress: Vec::new(),
        organisation: organisation.map(Into::into),
        queue: support::queue("gates"),
        at: 17,
        job: Job {
            spec: "spec".into(),
            steps: vec![batch_step(2, 1_000, 100)],
            schedule: None,
        },
    }
}

fn ended(organisation: Option<&str>) -> JobRecord {
    JobRecord::Ended {
        how: FinalState::Completed,
        at: 17,
        organisation: organisation.map(Into::into),
    }
}

fn tombstone(organisation: Option<&str>) -> JobRecord {
    JobRecord::Tombstone {
        at: 17,
        organisation: organisation.map(Into::into),
    }
}

fn accepted_record(organisation: Option<&str>) -> JobRecord {
    JobRecord::Accepted(Box::new(accepted(organisation)))
}

/// Checks the record of a job of an organisation, and the same record without it.
fn compatible((with, without): (JobRecord, JobRecord)) {
    let bytes = encode_job(&with);
    assert_eq!(decode_job(&bytes), Ok(with));
    // A version without organisations reads the record as before, and writes it without.
    assert_eq!(decode::<JobRecord>(&bytes).as_ref(), Ok(&without));
    assert_eq!(encode_job(&without), encode(&without));
    assert_eq!(decode_job(&encode(&without)), Ok(without));
    // A record that is cut off in the organisation is not taken for one that is open to all.
    let length = bytes.len();
    assert!(decode_job(&bytes[..length - 1]).is_err());
}

cases! { compatible:
    /// Guards against accepted jobs that versions before or after cannot read.
    accepted_job_has_its_organisation_behind_the_record =>
        (accepted_record(Some("ferries")), accepted_record(None));
    /// Guards against ended jobs that versions before or after cannot read.
    ended_job_has_its_organisation_behind_the_record => (ended(Some("ferries")), ended(None));
    /// Guards against tombstones that lose their organisation, so that callers of others are told that
    /// their job is stored.
    tombstone_has_its_organisation_behind_the_record => (tombstone(Some("ferries")), tombstone(None));
}

/// Guards against a final state that loses the organisation, so that all callers see it, in the store
/// or at an owner or its successor.
#[test]
fn final_state_keeps_the_organisation() {
    let mut world = world(1, 2);
    world.take_over();
    let id = job_id(1);
    let mut job = accepted(Some("ferries"));
    job.at = world.unix_ms();
    world.submit(&id, &job);
    world.run(seconds(10.0));
    assert!(completed(&world, &id));
    let (record, _) = &world.store.jobs[&id];
    assert_eq!(record.organisation(), Some(&"ferries".into()));
    let successor = world.take_over();
    for owner in [0, successor] {
        let scheduler = &world.owners[owner].scheduler;
        let organisation = scheduler.job_organisation(&id);
        assert_eq!(organisation, Some(&"ferries".into()), "owner {owner}");
    }
    assert_no_violations(&world);
}
