@0xb7d1c6a2f0e94c13;

# Messages with which entries synchronize their endpoint tables.

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
  # Time since the sender learned of the last heartbeat increase or of the leave.
  ageMs @13 :UInt32;
}

struct Digest {
  # One little-endian u64 for each bucket.
  fingerprints @0 :Data;
  # One u16 for each bucket: its number of heartbeat counters.
  sizes @1 :Data;
  # The low 16 bits of the heartbeat counters, in the order of the buckets.
  heartbeats @2 :Data;
}

struct Difference {
  # Bit mask of the buckets that differ.
  buckets @0 :UInt64;
  entries @1 :List(Endpoint);
  sizes @2 :Data;
  heartbeats @3 :Data;
}

struct Copy {
  entries @0 :List(Endpoint);
  # The bucket to request next, or 64 at the end of the table.
  nextBucket @1 :UInt16;
  # Whether the sender has a complete copy of the table.
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
