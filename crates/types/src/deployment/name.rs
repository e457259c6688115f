//! Names of services, routes and tenants, which are cheap to clone.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! shared_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                $name(text.into())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }
    };
}

shared_name!(
    /// Name of a service.
    ServiceName
);
shared_name!(
    /// Name of a route.
    RouteName
);
shared_name!(
    /// Name of a tenant.
    TenantName
);
