//! Endpoint choice, concurrency slots, queues, traffic moves and look-up tables.
