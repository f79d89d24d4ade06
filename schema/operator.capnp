@0xd10f5c3a8e7b4c96;
# The operators' interface of merlinsaddle, version 1.
#
# Compatibility: fields and methods are only ever added; a meaning never changes. A method that
# cannot answer throws `disconnected` (ask another instance) or `overloaded` (come back later);
# everything an operator can do wrong is a typed result, never an exception.

const schemaVersion :UInt32 = 1;

enum WorkspaceClass {
  paying @0;
  trial @1;
}

struct Workspace {
  id @0 :Text;
  # 1 to 64 characters of a-z, 0-9, '-'. Never used again after retirement.
  class @1 :WorkspaceClass;
  budgetTokens @2 :UInt64;
  # Prompt and generated tokens this workspace may spend in all. Raising it adds to what is left.
  priority @3 :UInt16;
  # Share within its class, 1 to 1000.
  retired @4 :Bool;
  version @5 :UInt64;
  # The number of the change that last touched it; ignored in requests.
}

struct ProgramDefinition {
  name @0 :Text;
  workspace @1 :Text;
  model @2 :Text;
  sharedPrefix @3 :Text;
  # The instructions every program of this definition starts with.
  maxTurns @4 :UInt32;
  maxTokens @5 :UInt64;
  # Limits for one program; a program that reaches one is refused further calls.
  idleSeconds @6 :UInt32;
  # A program without a call for so long is ended.
  retired @7 :Bool;
  version @8 :UInt64;
}

enum EngineRole {
  mixed @0;
  prefill @1;
  decode @2;
}

struct EngineArtifact {
  name @0 :Text;
  version @1 :Text;
}

struct EngineGroup {
  model @0 :Text;
  artifacts @1 :List(EngineArtifact);
  # Weights and adapters that every engine of the model should have loaded, and nothing else.
  role @2 :EngineRole;
  maxAwayPercent @3 :UInt8;
  # Share of the engines that may be away for orders at once, 1 to 100; at least one engine.
  version @4 :UInt64;
}

struct Change {
  union {
    workspace @0 :Workspace;
    definition @1 :ProgramDefinition;
    engineGroup @3 :EngineGroup;
  }
  expectedVersion @2 :UInt64;
  # The version of the object the operator read; 0 to create it.
}

struct ChangeResult {
  union {
    accepted @0 :UInt64;
    # The number of the change. It is durable and in force everywhere within 3 s.
    conflict @1 :Conflict;
    # Another operator was first; read again and decide anew.
    invalid @2 :Text;
    # Nothing changed; the text names the field, the value and what is allowed.
    unavailable @3 :UInt32;
    # Nothing changed: the platform's table does not answer. Come back after so many milliseconds.
    unknown @4 :Text;
    # The table's reply was lost; read the object to learn whether the change took effect.
  }
}

struct Conflict {
  currentVersion @0 :UInt64;
  message @1 :Text;
}

struct ProgramSummary {
  id @0 :Text;
  workspace @1 :Text;
  definition @2 :Text;
  turns @3 :UInt32;
  tokens @4 :UInt64;
  ended @5 :Bool;
  owner @6 :Text;
}

struct Member {
  instance @0 :Text;
  incarnation @1 :UInt64;
  zone @2 :Text;
  state @3 :Text;
  httpAddress @4 :Text;
  rpcAddress @5 :Text;
  shards @6 :UInt32;
}

struct Event {
  wallMicros @0 :UInt64;
  counter @1 :UInt32;
  instance @2 :Text;
  kind @3 :Text;
  program @4 :Text;
  workspace @5 :Text;
  upstream @6 :Text;
  detail @7 :Text;
}

struct InstanceStatus {
  schemaVersion @0 :UInt32;
  instance @1 :Text;
  configVersion @2 :UInt64;
  current @3 :Bool;
  # Whether it has shown within the bound that this version is the newest.
  draining @4 :Bool;
}

interface Operator {
  status @0 () -> (status :InstanceStatus);
  change @1 (change :Change) -> (result :ChangeResult);
  listWorkspaces @2 () -> (workspaces :List(Workspace));
  listDefinitions @3 () -> (definitions :List(ProgramDefinition));
  startProgram @4 (workspace :Text, definition :Text, startKey :Text) -> (id :Text, error :Text);
  # `error` is empty on success, else names what was refused; nothing was started then.
  listPrograms @5 () -> (programs :List(ProgramSummary));
  # The programs whose shards the asked instance owns; ask every member for all of them.
  showProgram @6 (id :Text) -> (history :Text, error :Text);
  # The history as one JSON document.
  endProgram @7 (id :Text) -> (error :Text);
  members @8 () -> (members :List(Member));
  timeline @9 (afterMicros :UInt64) -> (events :List(Event));
  # The recent events of the asked instance, oldest first.
  listEngineGroups @10 () -> (groups :List(EngineGroup));
}
