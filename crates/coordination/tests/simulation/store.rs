//! Model of the platform's store: objects with revisions and conditional
//! writes. The world adds lost answers and late writes.

use threadledge_coordination::action::{Condition, Versioned, WriteResult};

/// An object of the store.
#[derive(Debug)]
pub struct Object<T> {
    value: Option<Versioned<T>>,
}

impl<T> Default for Object<T> {
    fn default() -> Self {
        Object { value: None }
    }
}

impl<T: Clone> Object<T> {
    pub fn read(&self) -> Option<Versioned<T>> {
        self.value.clone()
    }

    pub fn write(&mut self, revision: &mut u64, value: T, condition: Condition) -> WriteResult<T> {
        let holds = match (&self.value, condition) {
            (None, Condition::Absent) => true,
            (Some(found), Condition::Revision(wanted)) => found.revision == wanted,
            _ => false,
        };
        if !holds {
            return WriteResult::Conflict(self.value.clone());
        }
        *revision += 1;
        let revision = *revision;
        self.value = Some(Versioned { value, revision });
        WriteResult::Accepted(revision)
    }
}
