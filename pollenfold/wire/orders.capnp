@0x9c1d7e52ab3f6084;

# An order that a control replica forwards to the leader.

struct ForwardedOrder {
  afterIndex @0 :UInt64;
  command @1 :Data;
}
