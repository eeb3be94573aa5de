//! Typed names, stored as immutable reference-counted strings.

use std::borrow::Borrow;
use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl Deref for $name {
            type Target = str;

            fn deref(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }
    };
}

name_type! {
    /// A data centre; a network failure can separate it from the others.
    ///
    /// ```
    /// # use nutmegcart_model::DataCentre;
    /// assert_eq!(&*DataCentre::from("suva"), "suva");
    /// ```
    DataCentre
}
name_type!(/// A rack of workers, which is one failure domain.
    Rack);
name_type!(/// A group of data centres; a network failure can separate it from other groups.
    Region);
name_type!(/// A pool of instances.
    PoolName);
name_type!(/// A service that callers address; one pool provides it.
    ServiceName);
name_type!(/// An instance: an entry instance, a runner or a worker.
    InstanceId);
name_type!(/// A worker, a machine that runs tasks.
    WorkerId);
name_type!(/// A job declared by an operator.
    JobName);
name_type!(/// One run of a job on a worker.
    TaskId);
name_type!(/// A team with a quota.
    TeamName);
name_type!(/// An organisation that shares a deployment with others and owns the jobs submitted with its keys.
    OrganisationName);
name_type!(/// A caller; admission shares the queue of a service fairly between callers.
    CallerName);
name_type!(/// A maintenance wave.
    WaveName);
