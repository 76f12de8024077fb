@0xd2a1f0b8c3e45a67;
# Messages between instances. Each is sent as one Envelope.

struct Member {
  id @0 :Text;
  incarnation @1 :Text;
  beat @2 :UInt64;
  state @3 :Text;
  address @4 :Text;
  dataCentre @5 :Text;
  revision @6 :UInt64;
}

struct EndpointWord {
  endpoint @0 :Text;
  incarnation @1 :Text;
  leaving @2 :Bool;
  ageS @3 :Float64;
}

struct Suspicion {
  fingerprint @0 :Text;
  death @1 :Text;
  leftS @2 :Float64;
}

struct RefusedPart {
  part @0 :Text;
  remainingS @1 :Float64;
  termS @2 :Float64;
}

struct Heartbeat {
  members @0 :List(Member);
  revision @1 :UInt64;
  platformAgeS @2 :Float64;
  words @3 :List(EndpointWord);
  suspicions @4 :List(Suspicion);
  knownHashes @5 :List(UInt32);
  knownBeats @6 :List(UInt32);
  knownRevisions @7 :List(UInt32);
  refusedParts @8 :List(RefusedPart);
}

struct QuoteRequest {
  service @0 :Text;
  tokens @1 :UInt64;
  heldTokens @2 :UInt64;
  waitedS @3 :Float64;
  without @4 :List(Text);
  suspect @5 :Bool;
  probeBlocks @6 :List(UInt32);
  probeDigests @7 :List(UInt64);
}

struct QuoteReply {
  endpoint @0 :Text;
  waitS @1 :Float64;
  ownS @2 :Float64;
  incarnation @3 :Text;
  behindS @4 :Float64;
  cachedTokens @5 :UInt64;
}

struct Placed {
  endpoint @0 :Text;
  attempt @1 :Text;
  promptTokens @2 :UInt64;
  heldTokens @3 :UInt64;
  waitedS @4 :Float64;
  leftS @5 :Float64;
  suspect @6 :Bool;
}

struct Prefilled {
  endpoint @0 :Text;
  attempt @1 :Text;
}

struct Released {
  endpoint @0 :Text;
  attempt @1 :Text;
}

struct Failed {
  endpoint @0 :Text;
}

struct GrantRequest {
  key @0 :Text;
  tokens @1 :Float64;
  requestsPerS @2 :Float64;
  tokensPerS @3 :Float64;
  shareTokensPerS @4 :Float64;
}

struct GrantReply {
  waitS @0 :Float64;
  lagS @1 :Float64;
}

struct StartRequest {
  fingerprint @0 :Text;
  request @1 :Text;
  leftS @2 :Float64;
  death @3 :Text;
}

struct StartReply {
  waitS @0 :Float64;
  deaths @1 :UInt32;
}

struct Ended {
  fingerprint @0 :Text;
  request @1 :Text;
  whole @2 :Bool;
}

struct SuspectedParts {
  death @0 :Text;
  parts @1 :List(Text);
}

struct ClearedParts {
  parts @0 :List(Text);
}

struct PartTrial {
  parts @0 :List(Text);
  forS @1 :Float64;
}

struct SettingsRequest {
  newerThan @0 :UInt64;
}

struct SettingsReply {
  revision @0 :UInt64;
  document @1 :Text;
}

struct Envelope {
  sender @0 :Text;
  id @1 :UInt64;
  replyTo @2 :UInt64;
  union {
    heartbeat @3 :Heartbeat;
    quoteRequest @4 :QuoteRequest;
    quoteReply @5 :QuoteReply;
    placed @6 :Placed;
    prefilled @7 :Prefilled;
    released @8 :Released;
    grantRequest @9 :GrantRequest;
    grantReply @10 :GrantReply;
    settingsRequest @11 :SettingsRequest;
    settingsReply @12 :SettingsReply;
    startRequest @13 :StartRequest;
    startReply @14 :StartReply;
    ended @15 :Ended;
    suspicion @16 :Suspicion;
    failed @17 :Failed;
    suspectedParts @18 :SuspectedParts;
    clearedParts @19 :ClearedParts;
    partTrial @20 :PartTrial;
  }
}
