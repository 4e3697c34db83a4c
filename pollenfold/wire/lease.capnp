@0xb9f37fd1d3a4c6e1;

# Lease renewals between an entry and the control leader. Times are in milliseconds.

struct LiveEntry {
  entryId @0 :Text;
  incarnation @1 :UInt64;
  host @2 :Text;
  callerPort @3 :UInt16;
  platformPort @4 :UInt16;
  peerPort @5 :UInt16;
  zone @6 :Text;
}

struct LeaveNotice {
  endpoint @0 :Text;
  service @1 :Text;
  incarnation @2 :UInt64;
  ageMs @3 :Float64;
}

struct Record {
  revision @0 :UInt64;
  data @1 :Data;
}

struct LeaseRequest {
  entry @0 :LiveEntry;
  # The configuration revision that is in force at the entry.
  acknowledged @1 :UInt64;
  # The entry requests the records after this revision; not below acknowledged.
  cursor @2 :UInt64;
  directoryRevision @3 :UInt64;
  # The epoch of the leader that assigned noticeSequence.
  epoch @4 :UInt64;
  noticeSequence @5 :UInt64;
  notices @6 :List(LeaveNotice);
  # How long the leader may wait for updates before it responds.
  waitMs @7 :Float64;
  holdsLease @8 :Bool;
  # True when a peer entry forwarded the request; it is forwarded only once.
  isForwarded @9 :Bool;
}

struct LeaseResponse {
  # Error kind, empty when the lease is granted.
  error @0 :Text;
  detail @1 :Text;
  # Peer address of the leader with the error not_leader; port 0 when it is unknown.
  leaderHost @2 :Text;
  leaderPort @3 :UInt16;
  leaseMs @4 :Float64;
  epoch @5 :UInt64;
  # The newest configuration revision of the leader.
  revision @6 :UInt64;
  records @7 :List(Record);
  # The last revision included in records; below revision when more follow.
  cursor @8 :UInt64;
  # 0 until the leader knows all leases that its predecessor granted.
  directoryRevision @9 :UInt64;
  # Empty when the entry already has this directory revision.
  directory @10 :List(LiveEntry);
  noticeSequence @11 :UInt64;
  notices @12 :List(LeaveNotice);
}
