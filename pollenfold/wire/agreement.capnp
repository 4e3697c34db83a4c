@0xb6f3a1c94d2e8057;

# Messages between control replicas, and the records of their replicated log on disk.

struct Entry {
  index @0 :UInt64;
  term @1 :UInt64;
  command @2 :Data;
}

struct Founder {
  replicaId @0 :Text;
  incarnation @1 :Text;
}

struct VoteRequest {
  term @0 :UInt64;
  isPreVote @1 :Bool;
  lastIndex @2 :UInt64;
  lastTerm @3 :UInt64;
}

struct VoteResponse {
  term @0 :UInt64;
  toIncarnation @1 :Text;
  isPreVote @2 :Bool;
  forTerm @3 :UInt64;
  isGranted @4 :Bool;
}

struct AppendRequest {
  term @0 :UInt64;
  previousIndex @1 :UInt64;
  previousTerm @2 :UInt64;
  entries @3 :List(Entry);
  commitIndex @4 :UInt64;
  lastIndex @5 :UInt64;
  toIncarnation @6 :Text;
  sentAt @7 :Float64;
}

struct AppendResponse {
  term @0 :UInt64;
  isSuccess @1 :Bool;
  matchIndex @2 :UInt64;
  isBlank @3 :Bool;
  sentAt @4 :Float64;
  acceptsCompressed @5 :Bool;
}

struct SnapshotRequest {
  term @0 :UInt64;
  index @1 :UInt64;
  snapshotTerm @2 :UInt64;
  offsetBytes @3 :UInt64;
  nTotalBytes @4 :UInt64;
  data @5 :Data;
  lastIndex @6 :UInt64;
  toIncarnation @7 :Text;
  sentAt @8 :Float64;
  isCompressed @9 :Bool;
}

struct SnapshotResponse {
  term @0 :UInt64;
  index @1 :UInt64;
  nBytes @2 :UInt64;
  isBlank @3 :Bool;
  sentAt @4 :Float64;
}

struct Inquiry {
  round @0 :UInt64;
}

struct InquiryResponse {
  round @0 :UInt64;
  toIncarnation @1 :Text;
  isBlank @2 :Bool;
  term @3 :UInt64;
  founders @4 :List(Founder);
}

struct Message {
  sender @0 :Text;
  recipient @1 :Text;
  incarnation @2 :Text;
  union {
    voteRequest @3 :VoteRequest;
    voteResponse @4 :VoteResponse;
    appendRequest @5 :AppendRequest;
    appendResponse @6 :AppendResponse;
    snapshotRequest @7 :SnapshotRequest;
    snapshotResponse @8 :SnapshotResponse;
    inquiry @9 :Inquiry;
    inquiryResponse @10 :InquiryResponse;
  }
}

struct VoteRecord {
  term @0 :UInt64;
  hasVote @1 :Bool;
  vote @2 :Text;
  voteFloor @3 :UInt64;
  founders @4 :List(Founder);
}

struct SnapshotRecord {
  index @0 :UInt64;
  term @1 :UInt64;
  nTotalBytes @2 :UInt64;
  data @3 :Data;
}

struct Record {
  union {
    vote @0 :VoteRecord;
    entry @1 :Entry;
    snapshot @2 :SnapshotRecord;
  }
}
