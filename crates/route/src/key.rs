//! Typed keys into the router's tables. A key of a withdrawn entry stays invalid for ever.

slotmap::new_key_type! {
    /// A configured service.
    pub struct ServiceKey;
    /// A configured team.
    pub struct TeamKey;
    /// An endpoint of one service's pool.
    pub struct EndpointKey;
    /// A request that is queued.
    pub struct Ticket;
    pub(crate) struct LeaseKey;
    pub(crate) struct PassKey;
}
