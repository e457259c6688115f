//! Stand-ins for the platform services and the back ends that routers talk
//! to. Each runs in a process of its own, started by the rig.
pub mod back_end;

pub mod machine_list;
pub mod object_api;
