//! Stand-ins for what surrounds the routers: the platform, the back ends and
//! the callers. Each runs in a process of its own, started by the rig.
pub mod back_end;

pub mod machine_list;
pub mod object_api;
