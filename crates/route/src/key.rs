//! Typed keys into the router's tables. The key of a removed entry is never reused.

slotmap::new_key_type! {
    /// Identifies a configured service.
    pub struct ServiceKey;
    /// Identifies a configured team.
    pub struct TeamKey;
    /// Identifies an endpoint in the pool of its service.
    pub struct EndpointKey;
    /// Identifies a queued request.
    pub struct Ticket;
    pub(crate) struct LeaseKey;
    pub(crate) struct PermitKey;
}
