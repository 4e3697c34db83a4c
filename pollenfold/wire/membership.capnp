@0xb7d1c6a2f0e94c13;

# Messages between entries about the endpoint table.

struct Endpoint {
  service @0 :Text;
  host @1 :Text;
  port @2 :UInt16;
  zone @3 :Text;
  incarnation @4 :UInt64;
  heartbeat @5 :UInt64;
  ttlMs @6 :UInt32;
  slots @7 :UInt32;
  connections @8 :UInt32;
  isLeaving @9 :Bool;
  isWarm @10 :Bool;
  warmEpoch @11 :UInt32;
  warmZoneVersion @12 :UInt32;
  # Time since the counter grew or the leave became known, at the sender.
  ageMs @13 :UInt32;
}

struct Digest {
  # One little-endian u64 for each bucket.
  fingerprints @0 :Data;
  # One u16 for each bucket: its number of counters.
  sizes @1 :Data;
  # The low 16 bits of the counters, bucket after bucket.
  heartbeats @2 :Data;
}

struct Difference {
  # One bit for each bucket that differs.
  buckets @0 :UInt64;
  entries @1 :List(Endpoint);
  sizes @2 :Data;
  heartbeats @3 :Data;
}

struct Copy {
  entries @0 :List(Endpoint);
  # The bucket to ask for next, or 64 at the end.
  nextBucket @1 :UInt16;
  # Whether the sender has its own copy complete.
  isReady @2 :Bool;
}

struct Request {
  union {
    push @0 :List(Endpoint);
    digest @1 :Digest;
    copyFrom @2 :UInt16;
  }
}

struct Response {
  union {
    acknowledged @0 :Void;
    difference @1 :Difference;
    copy @2 :Copy;
  }
}
