//! Load generation, experiments and reports.
