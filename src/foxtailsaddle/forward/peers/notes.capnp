@0xb5c7d0a94f3e2a61;

# Datagrams between instances, and the snapshot that an instance serves over HTTP.
# A datagram is the length of its header in two bytes, a Header and a Body.

struct Header {
  sender @0 :Text;
  incarnation @1 :UInt64;
  control @2 :Text;
  configuration @3 :UInt64;
  leaving @4 :Bool;
  greeting @5 :Bool;
  reads @6 :Bool;
  listVersion @7 :UInt64;
  listEra @8 :UInt32;
  cutOff @9 :Bool;
  dataCentre @10 :Text;
  coldStarts @11 :Bool;
  evacuated @12 :Evacuated;
  numbers @13 :Bool;  # the updates that must not be missed
  lastUpdate @14 :UInt32;
  updateCount @15 :UInt16;  # of the numbers that end with lastUpdate
}

struct Evacuated {
  era @0 :UInt32;
  version @1 :UInt64;
  dataCentres @2 :List(Text);
}

struct Body {
  notes @0 :List(Note);
}

struct Note {
  union {
    placed @0 :Placed;
    began @1 :UInt64;
    ended @2 :Ended;
    pace @3 :Pace;
    death @4 :Death;
    listed @5 :Listed;
    refusedPart @6 :RefusedPart;
    clearedParts @7 :ClearedParts;
    partTrial @8 :PartTrial;
    limit @9 :Limit;
    grantRequest @10 :GrantRequest;
    grantReply @11 :GrantReply;
    configuration @12 :Configuration;
    missed @13 :Missed;
    statePart @14 :StatePart;
  }
}

struct Missed {
  first @0 :UInt32;
  last @1 :UInt32;  # 0 for the whole state
}

struct StatePart {
  number @0 :UInt32;
  index @1 :UInt16;
  count @2 :UInt16;
}

struct Placed {
  job @0 :UInt64;
  endpoint @1 :Text;
  helpers @2 :List(Text);
  promptTokens @3 :UInt32;
  outputTokens @4 :UInt32;
  partMs @5 :Float32;
  gapMs @6 :Float32;
  weight @7 :Float32;
  writingMs @8 :Float32;
  held @9 :List(Held);
  yields @10 :Bool;
  targetMs @11 :Float32;
  account @12 :UInt32;  # hash of the client account, 0 for none
  lessUrgent @13 :Bool;
}

struct Held {
  endpoint @0 :Text;
  tokens @1 :UInt32;
}

struct Ended {
  job @0 :UInt64;
  endpoint @1 :Text;
  outcome @2 :UInt8;
}

struct Pace {
  endpoint @0 :Text;
  pace @1 :Float32;
}

struct Configuration {
  row @0 :Data;  # compressed
  forwardTo @1 :List(Text);
}

struct Listed {
  after @0 :UInt64;
  version @1 :UInt64;
  key @2 :Text;
  value @3 :Data;
  removed @4 :Bool;
  era @5 :UInt32;  # of both versions
  count @6 :UInt32;  # of the entries of this version
}

struct Death {
  fingerprint @0 :Text;
  death @1 :Text;
  start @2 :UInt64;
  parts @3 :List(Text);
  ageS @4 :Float32;
}

struct RefusedPart {
  part @0 :Text;
  remainingS @1 :Float32;
  termS @2 :Float32;
}

struct ClearedParts {
  parts @0 :List(Text);
  ageS @1 :Float32;
  fingerprint @2 :Text;
}

struct PartTrial {
  parts @0 :List(Text);
  forS @1 :Float32;
}

struct Limit {
  endpoint @0 :Text;
  start @1 :UInt64;
  perS @2 :Float64;  # infinite once the limit has ended
  ageS @3 :Float32;
  coldS @4 :Float32;  # 0 for a limit that the endpoint names itself
}

struct GrantRequest {
  number @0 :UInt64;
  limit @1 :Limit;
  maxWaitS @2 :Float32;
  passedOver @3 :Text;
}

struct GrantReply {
  number @0 :UInt64;
  granted @1 :Bool;
  waitS @2 :Float32;
}

struct Snapshot {
  configurationRow @0 :Data;
  endpoints @1 :List(Entry);
  listVersion @2 :UInt64;
  listEra @3 :UInt32;
  evacuated @4 :Evacuated;
}

struct Entry {
  key @0 :Text;
  value @1 :Data;
}
