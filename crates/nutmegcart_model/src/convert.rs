//! Conversions from the generated types of each schema version to the typed records.

use std::num::NonZeroU64;

use crate::generated::budget_v1::BudgetV1;
use crate::generated::budget_v2::BudgetV2;
use crate::generated::job_v1::JobV1;
use crate::generated::job_v2::JobV2;
use crate::generated::pool_v1::PoolV1;
use crate::generated::pool_v2::PoolV2;
use crate::generated::team_v1::TeamV1;
use crate::generated::team_v2::TeamV2;
use crate::generated::wave_v1::WaveV1;
use crate::generated::wave_v2::WaveV2;
use crate::record::Allowance;
use crate::record::Budget;
use crate::record::Job;
use crate::record::Pool;
use crate::record::Team;
use crate::record::Wave;
use crate::record::Weights;

/// Converts a number whose range the schema limits; absent counts as zero.
fn narrow(number: Option<i64>) -> u32 {
    number.map_or(0, |number| u32::try_from(number).unwrap_or(u32::MAX))
}

fn wide(number: i64) -> u64 {
    u64::try_from(number).unwrap_or(0)
}

macro_rules! pool {
    ($type:ident, |$pool:ident| $minimum:expr, $workers:expr) => {
        impl From<$type> for Pool {
            fn from($pool: $type) -> Self {
                Self {
                    name: $pool.name.as_str().into(),
                    service: $pool.service.as_str().into(),
                    size: narrow(Some($pool.size)),
                    spare: $pool.spare,
                    minimum: $minimum,
                    workers: $workers,
                }
            }
        }
    };
}

pool!(PoolV1, |pool| 0, 0);
pool!(PoolV2, |pool| narrow(pool.minimum), narrow(pool.workers));

macro_rules! job {
    ($type:ident, |$job:ident| $checkpoint:expr, $seconds:expr, $cancel:expr) => {
        impl From<$type> for Job {
            fn from($job: $type) -> Self {
                Self {
                    name: $job.name.as_str().into(),
                    pool: $job.pool.as_str().into(),
                    team: $job.team.as_ref().map(|team| team.as_str().into()),
                    cpu: $job.cpu.get(),
                    memory: $job.memory.get(),
                    accelerators: narrow($job.accelerators),
                    tasks: $job.tasks.map_or(1, |tasks| narrow(Some(tasks))),
                    urgent: $job.urgent,
                    idempotent: $job.idempotent,
                    checkpoint: $checkpoint,
                    seconds: $seconds,
                    cancel: $cancel,
                }
            }
        }
    };
}

job!(JobV1, |job| false, None, Vec::new());
job!(
    JobV2,
    |job| job.checkpoint,
    job.seconds.map(NonZeroU64::get),
    job.cancel.iter().map(|task| task.as_str().into()).collect()
);

macro_rules! budget {
    ($type:ident, |$budget:ident| $allowance:expr) => {
        impl From<$type> for Budget {
            fn from($budget: $type) -> Self {
                Self {
                    name: $budget.name.as_str().into(),
                    pool: $budget.pool.as_str().into(),
                    allowance: $allowance,
                }
            }
        }
    };
}

budget!(BudgetV1, |budget| Allowance::Count(narrow(Some(
    budget.unavailable
))));
budget!(BudgetV2, |budget| Allowance::Percent(narrow(Some(
    budget.percent
))));

macro_rules! wave {
    ($type:ident, |$wave:ident| $weights:expr, $width:expr) => {
        impl From<$type> for Wave {
            fn from($wave: $type) -> Self {
                Self {
                    name: $wave.name.as_str().into(),
                    pools: $wave
                        .pools
                        .iter()
                        .map(|pool| pool.as_str().into())
                        .collect(),
                    deadline: $wave.deadline.map(NonZeroU64::get),
                    weights: $weights,
                    width: $width,
                }
            }
        }
    };
}

wave!(WaveV1, |wave| Weights::default(), None);
wave!(
    WaveV2,
    |wave| wave
        .weights
        .map_or_else(Weights::default, |weights| Weights {
            buffer: weights.buffer,
            rollout: weights.rollout,
            moves: weights.moves,
        }),
    wave.width
        .map(|width| u32::try_from(width.get()).unwrap_or(u32::MAX))
);

macro_rules! team {
    ($type:ident, |$team:ident| $urgent:expr) => {
        impl From<$type> for Team {
            fn from($team: $type) -> Self {
                Self {
                    name: $team.name.as_str().into(),
                    cpu: wide($team.cpu),
                    memory: wide($team.memory),
                    accelerators: narrow($team.accelerators),
                    urgent: $urgent,
                }
            }
        }
    };
}

team!(TeamV1, |team| None);
team!(TeamV2, |team| team
    .urgent
    .map(|urgent| narrow(Some(urgent))));
