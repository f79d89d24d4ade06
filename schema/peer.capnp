@0xb6f0d7a1c5e94d21;
# What instances say to one another. Internal: both ends are always merlinsaddle.

struct Stamp {
  # A hybrid logical clock reading; it lets `timeline` order events causally.
  wallMicros @0 :UInt64;
  counter @1 :UInt32;
}

enum MemberState {
  alive @0;
  suspect @1;
  leaving @2;
  dead @3;
  doubted @4;
  # Leaving, and suspect.
}

struct MemberUpdate {
  # One member as its sender last knew it; ordered by (incarnation, revision, state).
  instance @0 :Text;
  incarnation @1 :UInt64;
  revision @2 :UInt32;
  state @3 :MemberState;
  zone @4 :Text;
  httpAddress @5 :Text;
  rpcAddress @6 :Text;
  gossipAddress @7 :Text;
  trialLoad @8 :UInt16;
  payingLoad @9 :UInt16;
  pressure @10 :UInt16;
  holdMillis @11 :UInt32;
  # Mean over the engines whose slots it hands out: loads and memory in per mille, and how long a
  # call holds a slot.
}

struct Gossip {
  # One datagram of the failure detector, with deltas and the configuration head on top.
  stamp @0 :Stamp;
  from @1 :Text;
  fromAddress @2 :Text;
  configHead @3 :UInt64;
  sequence @4 :UInt32;
  updates @5 :List(MemberUpdate);
  union {
    ping @6 :Void;
    ack @7 :Void;
    indirectPing @8 :Text;
    join @9 :Void;
  }
  headAgeMillis @10 :UInt32;
  # One more than the milliseconds since nothing above configHead existed; 0 if the sender cannot
  # tell.
}

struct PermitRequest {
  program @0 :UInt64;
  workspace @1 :Text;
  engine @2 :Text;
  paying @3 :Bool;
  weight @4 :UInt16;
  attained @5 :UInt64;
  waitMillis @6 :UInt32;
  tokens @7 :UInt32;
  holder @8 :Text;
  permit @9 :UInt64;
  # Chosen by the holder, so that it can be given back though the answer was lost.
  newcomer @10 :Bool;
  # First call of a program that nobody waits for; it may be held back while memory is short.
  ownTokens @11 :UInt32;
  # The part of `tokens` that takes memory of its own.
}

struct PermitResult {
  union {
    granted @0 :Void;
    refusedRetryMillis @1 :UInt32;
    notOwner @2 :Void;
  }
}

interface Peer {
  acquire @0 (stamp :Stamp, request :PermitRequest) -> (stamp :Stamp, result :PermitResult);
  # Waits in the queue of the engine's owner until a slot is free or the wait is over.

  finish @1 (stamp :Stamp, engine :Text, permit :UInt64) -> ();
  # Gives a slot back. Repeating it is harmless.

  shardsReleased @2 (stamp :Stamp, shards :List(UInt16)) -> ();
  # A hint to look at the shard rows now instead of at the next scan.

  ended @3 (stamp :Stamp, programs :List(UInt64)) -> (programs :List(UInt64));
  # Which of these programs have ended, as far as the asked instance owns them.

  changesSince @4 (version :UInt64) -> (changes :List(Data));
  # Configuration changes above `version`, rising and without gaps; empty if it has none.

  ping @5 () -> ();
  # Answers at once; tells a slow answer from a connection gone silent.

  revoke @6 (stamp :Stamp, permit :UInt64) -> ();
  # The owner of an engine wants a slot back from the asked instance, whose call resumes later.
}
