//! The cases of the review.

pub mod leave;
pub mod names;
pub mod uploads;
pub mod withdraw;
