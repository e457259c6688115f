//! To follow.
