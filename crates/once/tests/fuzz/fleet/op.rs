//! The steps of a trial.

use proptest::prelude::*;

/// One step of a trial; numbers other than `seconds` select one of the existing items.
#[derive(Debug, Clone)]
pub(crate) enum Op {
    Issue {
        host: u8,
    },
    Begin {
        host: u8,
        key: u8,
        other_body: bool,
        connect: bool,
    },
    RelayUnkeyed {
        from: u8,
        to: u8,
    },
    Finish {
        permit: u8,
        ending: Ending,
    },
    Table {
        op: u8,
        fault: TableFault,
    },
    ApplyDelayed,
    Deliver {
        message: u8,
        fault: LinkFault,
    },
    Resend {
        attempt: u8,
    },
    GiveUp {
        attempt: u8,
    },
    Cancel {
        call: u8,
    },
    Crash {
        host: u8,
    },
    Replace {
        host: u8,
    },
    Membership {
        host: u8,
        about: u8,
        dead: bool,
    },
    Advance {
        seconds: u8,
    },
}

#[derive(Debug, Clone, Copy)]
pub(crate) enum Ending {
    Answer,
    Large,
    NotRun,
    Unknown,
    Drop,
}

#[derive(Debug, Clone, Copy)]
pub(crate) enum TableFault {
    None,
    Repeat,
    LostAnswer,
    LostCall,
    DelayedWrite,
    Down,
}

#[derive(Debug, Clone, Copy)]
pub(crate) enum LinkFault {
    None,
    Repeat,
    Lose,
}

pub(crate) fn op() -> impl Strategy<Value = Op> {
    let n = any::<u8>;
    let ending = prop_oneof![
        4 => Just(Ending::Answer), 1 => Just(Ending::Large), 3 => Just(Ending::NotRun),
        2 => Just(Ending::Unknown), 1 => Just(Ending::Drop),
    ];
    let table = prop_oneof![
        6 => Just(TableFault::None), 1 => Just(TableFault::Repeat), 2 => Just(TableFault::LostAnswer),
        2 => Just(TableFault::LostCall), 2 => Just(TableFault::DelayedWrite), 2 => Just(TableFault::Down),
    ];
    let link = prop_oneof![
        4 => Just(LinkFault::None), 3 => Just(LinkFault::Repeat), 1 => Just(LinkFault::Lose),
    ];
    prop_oneof![
        2 => n().prop_map(|host| Op::Issue { host }),
        10 => (n(), n(), prop::bool::weighted(0.1), prop::bool::weighted(0.9))
            .prop_map(|(host, key, other_body, connect)| Op::Begin { host, key, other_body, connect }),
        1 => (n(), n()).prop_map(|(from, to)| Op::RelayUnkeyed { from, to }),
        6 => (n(), ending).prop_map(|(permit, ending)| Op::Finish { permit, ending }),
        8 => (n(), table).prop_map(|(op, fault)| Op::Table { op, fault }),
        1 => Just(Op::ApplyDelayed),
        8 => (n(), link).prop_map(|(message, fault)| Op::Deliver { message, fault }),
        2 => n().prop_map(|attempt| Op::Resend { attempt }),
        1 => n().prop_map(|attempt| Op::GiveUp { attempt }),
        1 => n().prop_map(|call| Op::Cancel { call }),
        1 => n().prop_map(|host| Op::Crash { host }),
        1 => n().prop_map(|host| Op::Replace { host }),
        3 => (n(), n(), prop::bool::weighted(0.2))
            .prop_map(|(host, about, dead)| Op::Membership { host, about, dead }),
        3 => (0u8..16).prop_map(|seconds| Op::Advance { seconds }),
    ]
}
