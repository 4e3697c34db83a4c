@0xb7c4f1d2a6e8935d;
# Messages between entries and ledger replicas, and the records of a replica's journal.

struct Ballot {
  round @0 :UInt64;
  proposer @1 :Text;
}

struct HeaderField {
  name @0 :Data;
  value @1 :Data;
}

struct Outcome {
  status @0 :UInt16;
  headers @1 :List(HeaderField);
  body @2 :Data;
}

struct Value {
  state @0 :State;
  claimIds @1 :List(Text);
  outcome @2 :Outcome;
  isOpen @3 :Bool;

  enum State {
    empty @0;
    claimed @1;
    abandoned @2;
    completed @3;
    inDoubt @4;
  }
}

struct Register {
  promised @0 :Ballot;
  accepted @1 :Ballot;
  value @2 :Value;
  isVoteUnknown @3 :Bool;
  changedAtMs @4 :Float64;
  promisedAtMs @5 :Float64;
}

struct KeyedRegister {
  key @0 :Text;
  register @1 :Register;
  ageMs @2 :Float64;
}

struct Accept {
  ballot @0 :Ballot;
  value @1 :Value;
}

struct Fence {
  replicaId @0 :Text;
  epoch @1 :UInt32;
}

struct PageRequest {
  replicaId @0 :Text;
  epoch @1 :UInt32;
  offset @2 :UInt32;
}

struct Request {
  key @0 :Text;
  union {
    claim @1 :Text;
    prepare @2 :Ballot;
    accept @3 :Accept;
    read @4 :Void;
    unresolved @5 :UInt32;
    status @6 :Void;
    fence @7 :Fence;
    page @8 :PageRequest;
  }
}

struct Reply {
  isGranted @0 :Bool;
  ageMs @1 :Float64;
  register @2 :Register;
}

struct Status {
  incarnation @0 :Text;
  isBlank @1 :Bool;
  founders @2 :List(Text);
}

struct Page {
  registers @0 :List(KeyedRegister);
  nextOffset @1 :UInt32;
  isLast @2 :Bool;
}

struct Response {
  epochs @0 :List(UInt32);
  union {
    reply @1 :Reply;
    keys @2 :List(Text);
    status @3 :Status;
    fenced @4 :Void;
    page @5 :Page;
  }
}

struct JournalEntry {
  union {
    register @0 :KeyedRegister;
    epochs @1 :List(UInt32);
    founders @2 :List(Text);
  }
}
