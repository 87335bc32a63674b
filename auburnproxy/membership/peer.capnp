@0xd6c0c1a9f1e37b52;

struct Hello {
  name @0 :Text;
  incarnation @1 :Text;
  failureDomain @2 :Text;
  peerAddress @3 :Text;
  internalAddress @4 :Text;
  nonce @5 :Data;
}

struct Beat {
  epoch @0 :UInt64;
  acked @1 :UInt64;
  settled @2 :UInt64;
  offset @3 :UInt64;
  version @4 :UInt64;
  needsRelay @5 :Bool;
  gone @6 :List(Text);
  free @7 :List(Slots);
  summaries @8 :List(Summary);
  busy @9 :List(Slots);
  counting @10 :Bool;

  struct Slots {
    keyDigest @0 :UInt32;
    slots @1 :UInt16;
  }

  struct Summary {
    failureDomain @0 :Text;
    settled @1 :UInt64;
    version @2 :UInt64;
  }
}

struct Checkpoint {
  part @0 :UInt32;
  parts @1 :UInt32;
  data @2 :Data;
}

struct Reports {
  sentAt @0 :Float64;
  least @1 :Float64;
  hasLeast @2 :Bool;
  data @3 :Data;
}

struct Frame {
  union {
    hello @0 :Hello;
    proof @1 :Data;
    beat @2 :Beat;
    fetch @3 :UInt64;
    entries @4 :Data;
    checkpoint @5 :Checkpoint;
    reports @6 :Reports;
  }
}
