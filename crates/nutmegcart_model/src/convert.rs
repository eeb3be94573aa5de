//! Conversions from the generated types of each schema version to the records of [`crate::record`].

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

/// Converts a number that the schema bounds; an absent number becomes zero.
fn to_u32(number: Option<i64>) -> u32 {
    number.map_or(0, |number| u32::try_from(number).unwrap_or(u32::MAX))
}

fn to_u64(number: i64) -> u64 {
    u64::try_from(number).unwrap_or(0)
}

macro_rules! convert_pool {
    ($type:ident, |$pool:ident| $minimum:expr, $workers:expr) => {
        impl From<$type> for Pool {
            fn from($pool: $type) -> Self {
                Self {
                    name: $pool.name.as_str().into(),
                    service: $pool.service.as_str().into(),
                    size: to_u32(Some($pool.size)),
                    spare: $pool.spare,
                    minimum: $minimum,
                    workers: $workers,
                }
            }
        }
    };
}

convert_pool!(PoolV1, |pool| 0, 0);
convert_pool!(PoolV2, |pool| to_u32(pool.minimum), to_u32(pool.workers));

macro_rules! convert_job {
    ($type:ident, |$job:ident| $checkpoint:expr, $seconds:expr, $cancel:expr) => {
        impl From<$type> for Job {
            fn from($job: $type) -> Self {
                Self {
                    name: $job.name.as_str().into(),
                    pool: $job.pool.as_str().into(),
                    team: $job.team.as_ref().map(|team| team.as_str().into()),
                    cpu: $job.cpu.get(),
                    memory: $job.memory.get(),
                    accelerators: to_u32($job.accelerators),
                    tasks: $job.tasks.map_or(1, |tasks| to_u32(Some(tasks))),
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

convert_job!(JobV1, |job| false, None, Vec::new());
convert_job!(
    JobV2,
    |job| job.checkpoint,
    job.seconds.map(NonZeroU64::get),
    job.cancel.iter().map(|task| task.as_str().into()).collect()
);

macro_rules! convert_budget {
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

convert_budget!(BudgetV1, |budget| Allowance::Count(to_u32(Some(
    budget.unavailable
))));
convert_budget!(BudgetV2, |budget| Allowance::Percent(to_u32(Some(
    budget.percent
))));

macro_rules! convert_wave {
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

convert_wave!(WaveV1, |wave| Weights::default(), None);
convert_wave!(
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

macro_rules! convert_team {
    ($type:ident, |$team:ident| $urgent:expr) => {
        impl From<$type> for Team {
            fn from($team: $type) -> Self {
                Self {
                    name: $team.name.as_str().into(),
                    cpu: to_u64($team.cpu),
                    memory: to_u64($team.memory),
                    accelerators: to_u32($team.accelerators),
                    urgent: $urgent,
                }
            }
        }
    };
}

convert_team!(TeamV1, |team| None);
convert_team!(TeamV2, |team| team
    .urgent
    .map(|urgent| to_u32(Some(urgent))));
