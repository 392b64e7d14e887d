@0xd1c0b6d3a9f45e21;
# The protocol between entry hosts. Fields are only ever added, so that hosts of neighbouring
# versions understand each other.

interface Peer {
  control @0 (messages :List(Control)) -> ();
  # One-way messages, in order. The answer only says that the connection lives.

  relay @1 (head :RelayHead, body :Chunk, more :Body) -> (outcome :RelayOutcome, body :Chunk, more :Body);
  # Runs a request. The bodies' first bytes come inline, the rest is read through `more`.
}

interface Body {
  read @0 () -> (chunk :Chunk);
  # The next bytes. Several reads may be on their way; they are answered in order.
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
  # Empty on open routes.
  deadlineMicros @6 :UInt64;
  # Time left; 0 where there is no deadline.
  idempotent @7 :Bool;
  key @8 :Text;
  # Idempotency key; empty where there is none.
  print @9 :Data;
  # Fingerprint of the request; empty where there is none.
  tried @10 :List(Text);
  # Zones that refused the request.
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
  retryMicros @2 :UInt64;
  # 0 where time alone will not help.
}

struct Control {
  union {
    leaving @0 :Text;
    # An endpoint is leaving.
    advert @1 :Advert;
  }
}

struct Advert {
  host @0 :Text;
  free @1 :List(Free);
  ageMicros @2 :UInt64;

  struct Free {
    service @0 :Text;
    slots @1 :UInt32;
  }
}
