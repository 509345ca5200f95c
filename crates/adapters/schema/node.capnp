@0xd3b1f0c2a7e54c19;

# The RPC protocol between hibiscusbarrow processes.

struct Header {
  name @0 :Text;
  value @1 :Data;
}

struct ForwardRequest {
  id @0 :Text;
  account @1 :Text;
  service @2 :Text;
  method @3 :Text;
  path @4 :Text;
  headers @5 :List(Header);
  body @6 :Data;
  key @7 :Text;
  life @8 :UInt64;
  # The incarnation of the sidecar that the key is bound to; 0 without a key.
  remainingMs @9 :UInt32;
  repeat @10 :Bool;
  # Only query the outcome of the key; do not run the request.
  claim @11 :Int64;
  # The store revision of the claim that binds the key; 0 without a key.
}

struct ForwardReply {
  code @0 :UInt16;
  detail @1 :Text;
  status @2 :UInt16;
  headers @3 :List(Header);
  body @4 :Data;
  repeated @5 :Bool;
  # The answer is the stored answer to an earlier request with the same key.
  running @6 :UInt16;
  queued @7 :UInt16;
}

struct ConfigReply {
  generation @0 :UInt64;
  body @1 :Data;
}

interface Node {
  forward @0 (request :ForwardRequest) -> (reply :ForwardReply);
  config @1 (above :UInt64) -> (reply :ConfigReply);
  # Returns the configuration if its generation is higher than `above`.
  leaving @2 () -> ();
  # Returns once the process begins a planned stop. The caller then sends no further call on
  # the connection, and closes it after the last answer.
}
