@0xd1c0b6d3a9f45e21;
# The host-to-host protocol. Fields are only added, so that hosts of adjacent versions understand
# each other.

interface Peer {
  ping @0 () -> ();
  # Returns at once; shows that the connection works.

  relay @1 (head :RelayHead, body :Chunk, more :Body) -> (outcome :RelayOutcome, body :Chunk, more :Body);
  # Runs a request. The first chunk of each body is sent inline; the rest is read through `more`.
}

interface Body {
  read @0 () -> (chunk :Chunk);
  # Returns the next chunk. Several reads may be in flight; they are answered in order.
}

struct Chunk {
  data @0 :Data;
  state @1 :State;

  enum State {
    more @0;
    end @1;
    aborted @2;
  }
}

struct Header {
  name @0 :Text;
  value @1 :Data;
}

struct RelayHead {
  attempt @0 :Data;
  method @1 :Text;
  path @2 :Text;
  headers @3 :List(Header);
  service @4 :Text;
  team @5 :Text;
  # Empty on routes without authentication.
  deadline @6 :UInt64;
  # Microseconds left plus 1; 0 if there is no deadline.
  idempotent @7 :Bool;
  key @8 :Text;
  # Idempotency key; empty if there is none.
  print @9 :Data;
  # Fingerprint of the request; empty if there is none.
  tried @10 :List(Text);
  # Zones that already refused the request.
  step @11 :Step;

  enum Step {
    owner @0;
    issuer @1;
  }
}

struct RelayOutcome {
  union {
    answer @0 :AnswerHead;
    verdict @1 :Verdict;
  }
}

struct AnswerHead {
  status @0 :UInt16;
  headers @1 :List(Header);
}

struct Verdict {
  union {
    notRun @0 :Text;
    mayHaveRun @1 :Text;
  }
  retry @2 :UInt64;
  # Microseconds to wait before a retry plus 1; 0 if waiting alone does not help.
}

struct Batch {
  # The content of one frame on a control connection, packed: one-way messages in order.
  messages @0 :List(Control);
}

struct Control {
  union {
    leaving @0 :Text;
    # Name of an endpoint that is leaving.
    advert @1 :Advert;
    quota @2 :Quota;
    member @3 :Member;
    config @4 :Config;
    slotAsk @5 :SlotAsk;
    slotAgree @6 :SlotAgree;
  }
}

struct SlotAsk {
  token @0 :UInt64;
  members @1 :UInt64;
  life @2 :UInt64;
  uptime @3 :UInt64;
  # In microseconds, rounded down.
}

struct SlotAgree {
  token @0 :UInt64;
}

struct Advert {
  host @0 :Text;
  free @1 :List(Free);
  age @2 :UInt64;
  # In microseconds.

  struct Free {
    service @0 :Text;
    slots @1 :UInt32;
  }
}

struct Hint {
  level @0 :UInt64;
  spare @1 :UInt64;
  cap @2 :UInt64;
}

struct Quota {
  union {
    ask @0 :Ask;
    loan @1 :Loan;
    return @2 :Return;
    hold @3 :Hold;
    held @4 :Held;
    released @5 :Shard;
    gossip @6 :Gossip;
  }

  struct Shard {
    zone @0 :Text;
    index @1 :UInt32;
  }

  struct Ask {
    id @0 :UInt64;
    team @1 :Text;
    need @2 :UInt64;
    rate @3 :UInt64;
    extend :union {
      none @4 :Void;
      loan @5 :UInt64;
    }
    hint @6 :Hint;
  }

  struct Loan {
    id @0 :UInt64;
    loan @1 :UInt64;
    team @2 :Text;
    rate @3 :UInt64;
    cap @4 :UInt64;
    tokens @5 :UInt64;
    life @6 :UInt64;
    # In microseconds.
    hint @7 :Hint;
  }

  struct Return {
    loan @0 :UInt64;
    team @1 :Text;
    tokens @2 :UInt64;
  }

  struct Hold {
    shard @0 :Shard;
    version @1 :UInt64;
    id @2 :UInt64;
  }

  struct Held {
    shard @0 :Shard;
    id @1 :UInt64;
    incarnation @2 :UInt64;
  }

  struct Gossip {
    shards @0 :List(ShardNote);
    hints @1 :List(TeamHint);
    confirmed @2 :UInt64;
  }

  struct ShardNote {
    shard @0 :Shard;
    holder @1 :Text;
    version @2 :UInt64;
    epoch @3 :UInt64;
  }

  struct TeamHint {
    team @0 :Text;
    hint @1 :Hint;
  }
}

struct Member {
  kind @0 :Kind;
  seq @1 :UInt64;
  host @2 :Text;
  # The target of `ask` and `told`. In `probe`, the host after which a catch-up continues; in `ack`,
  # the last host that the states cover. Empty for none.
  catchUp @3 :Bool;
  incarnation @4 :UInt64;
  version @5 :UInt32;
  state @6 :HostState;
  epoch @7 :UInt64;
  free @8 :UInt32;
  contact @9 :UInt64;
  # Microseconds plus 1; 0 for none.
  freshEpoch @10 :UInt64;
  freshAge @11 :UInt64;
  # Microseconds plus 1; 0 for none.
  adoption @12 :Adoption;
  zones @13 :List(Summary);
  deltas @14 :List(Delta);

  enum Kind {
    probe @0;
    ack @1;
    ask @2;
    told @3;
    news @4;
  }

  struct Adoption {
    epoch @0 :UInt64;
    complete @1 :UInt64;
    list @2 :UInt64;
    bits @3 :List(UInt64);
  }

  struct Summary {
    zone @0 :Text;
    age @1 :UInt64;
    # In microseconds.
    live @2 :UInt32;
    newest @3 :UInt64;
    oldest @4 :UInt64;
    free @5 :UInt64;
    contact @6 :UInt64;
    # Microseconds plus 1; 0 for none.
  }

  struct Delta {
    host @0 :Text;
    incarnation @1 :UInt64;
    version @2 :UInt32;
    state @3 :HostState;
  }
}

enum HostState {
  unknown @0;
  alive @1;
  leaving @2;
  suspect @3;
  dead @4;
}

struct Config {
  union {
    epoch @0 :UInt64;
    push @1 :Page;
    pull @2 :Pull;
    page @3 :Answer;
  }

  struct Pull {
    request @0 :UInt64;
    since @1 :UInt64;
    after @2 :Cursor;
    # Null to start directly after `since`.
  }

  struct Answer {
    request @0 :UInt64;
    page @1 :Page;
  }

  struct Cursor {
    epoch @0 :UInt64;
    key @1 :Text;
    # Empty to start after every row of the epoch.
  }

  struct Page {
    since @0 :UInt64;
    head @1 :UInt64;
    rows @2 :List(Row);
    more @3 :Bool;
    floor @4 :UInt64;
  }

  struct Row {
    key @0 :Text;
    epoch @1 :UInt64;
    schema @2 :UInt32;
    union {
      withdrawn @3 :Void;
      body @4 :Text;
    }
  }
}
