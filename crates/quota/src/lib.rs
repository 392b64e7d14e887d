//! Fleet-wide rate and burst limits per team as leased, transferable token buckets.
