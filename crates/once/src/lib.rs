//! Idempotency keys and duplicate suppression.
