//! Identifies operations.

use rules::Operation;
use std::sync::Arc;

/// An operation, identified by its service and the line of its rule.
pub(crate) type OperationKey = (Arc<str>, u32);

pub(crate) fn operation_key(operation: &Operation) -> OperationKey {
    (operation.service.clone(), operation.origin.line)
}
