use std::any::Any;
use std::collections::HashMap;
use std::sync::Arc;

use crate::KernelError;

/// Maps service names to shared handles. Services look each other up when they start.
#[derive(Default)]
pub struct Registry {
    handles: HashMap<&'static str, Arc<dyn Any + Send + Sync>>,
}

impl Registry {
    /// Registers a handle under `name`.
    pub fn insert<T: Any + Send + Sync>(
        &mut self,
        name: &'static str,
        handle: Arc<T>,
    ) -> Result<(), KernelError> {
        if self.handles.contains_key(name) {
            return Err(KernelError::Duplicate { name });
        }
        self.handles.insert(name, handle);
        Ok(())
    }

    /// Finds the handle of type `T` registered under `name`.
    pub fn find<T: Any + Send + Sync>(&self, name: &'static str) -> Result<Arc<T>, KernelError> {
        self.handles
            .get(name)
            .cloned()
            .and_then(|h| h.downcast::<T>().ok())
            .ok_or(KernelError::Missing { name })
    }
}
