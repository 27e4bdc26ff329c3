#include "settings/settings.h"

#include "settings/key_file.h"
#include "settings/spelling_suggestion.h"
#include "settings/table_reader.h"

#include <algorithm>
#include <cctype>
#include <fstream>
#include <set>
#include <system_error>

namespace arbutus::settings {

namespace {

using code = settings_error_code;
using impl::presence;
using impl::table_reader;

constexpr impl::integer_range NodeIdRange{1, 65535};
constexpr impl::integer_range ThreadCountRange{1, 64};
constexpr impl::integer_range HeaderBytesRange{1024, 1048576};
constexpr impl::integer_range BodyBytesRange{1024, 1073741824};
constexpr impl::integer_range DrainSecondsRange{1, 3600};
constexpr impl::integer_range TerminationGraceSecondsRange{0, 3600};
constexpr impl::integer_range DescriptorCountRange{0, 1048576};
constexpr impl::integer_range MegabytesRange{0, 16777216};
constexpr impl::integer_range PortRange{1, 65535};
constexpr impl::integer_range AddressTtlMsRange{100, 3600000};
constexpr impl::integer_range PollIntervalMsRange{50, 60000};
constexpr impl::integer_range MaxAgeMsRange{1000, 600000};
constexpr impl::integer_range RetrySlackRange{0, 1000000};
constexpr impl::integer_range ExposureRange{0, 1};
constexpr impl::integer_range PercentRange{0, 100};
constexpr std::size_t Sha256HexDigits = 64;
/// A byte of TOML may become over 200 bytes of memory.
constexpr std::size_t MaxFileBytes = std::size_t{64} << 10U;

struct level_name {
  log_level Level;
  const char *Name;
};
constexpr level_name LevelNames[] = {
    {log_level::Debug, "debug"},
    {log_level::Info, "info"},
    {log_level::Warning, "warning"},
    {log_level::Error, "error"},
};

template <class T, class Source>
void assign(T &Target, std::optional<Source> &&Value) {
  if (Value) {
    Target = static_cast<T>(std::move(*Value));
  }
}

void readRoles(table_reader &Reader, node_settings &Node,
               impl::error_list &Errors) {
  for (const auto &Role : Reader.strings("roles", presence::Required)) {
    const bool IsRouter = Role.Value == "router";
    if (!IsRouter && Role.Value != "control") {
      Errors.add(Role.Line, Role.KeyPath, code::InvalidValue,
                 "unknown role \"" + Role.Value + "\"",
                 suggestSpelling(Role.Value, {"router", "control"}));
      continue;
    }
    bool &Present = IsRouter ? Node.IsRouter : Node.IsControl;
    if (Present) {
      Errors.add(Role.Line, Role.KeyPath, code::Duplicate,
                 "role \"" + Role.Value + "\" is listed twice");
    }
    Present = true;
  }
}

void readNode(table_reader Reader, node_settings &Node, presence IdPresence,
              impl::error_list &Errors) {
  assign(Node.Id, Reader.integer("id", NodeIdRange, IdPresence));
  Node.Name = Reader.name("name", presence::Optional)
                  .value_or("node-" + std::to_string(number(Node.Id)));
  readRoles(Reader, Node, Errors);
  assign(Node.FailureDomain, Reader.name("failure_domain", presence::Required));
  assign(Node.Region, Reader.name("region", presence::Required));
  assign(Node.DataDirectory,
         Reader.path("data_directory",
                     Node.IsControl ? presence::Required : presence::Optional));
  Reader.reportUnknownKeys();
}

void readListen(table_reader Reader, listen_settings &Listen) {
  assign(Listen.Http, Reader.address("http", presence::Required, true));
  assign(Listen.Mesh, Reader.address("mesh", presence::Required, true));
  assign(Listen.MeshAdvertised,
         Reader.address("mesh_advertised", presence::Optional, false));
  assign(Listen.Threads,
         Reader.integer("threads", ThreadCountRange, presence::Optional));
  if (!Listen.Http.empty() && Listen.Http.Port != 0 &&
      Listen.Http == Listen.Mesh) {
    Reader.addError("mesh", code::Duplicate,
                    "is the same address as listen.http");
  }
  Reader.reportUnknownKeys();
}

void readKey(table_reader &Reader, fleet_settings &Fleet,
             presence KeyPresence) {
  assign(Fleet.KeyFile, Reader.path("key_file", KeyPresence));
  if (Fleet.KeyFile.empty()) {
    return;
  }
  auto Key = readKeyFile(Fleet.KeyFile);
  if (Key.has_error()) {
    Reader.addError("key_file", code::KeyFile,
                    Fleet.KeyFile.string() + " " +
                        std::string(errorMessage(Key.error())));
    return;
  }
  Fleet.Key = std::move(Key).value();
}

void readKeyHashes(table_reader &Reader, fleet_settings &Fleet,
                   impl::error_list &Errors) {
  std::set<std::string> Seen;
  for (auto &Hash : Reader.strings("operator_key_hashes", presence::Optional)) {
    const bool IsHex =
        Hash.Value.size() == Sha256HexDigits &&
        std::all_of(Hash.Value.begin(), Hash.Value.end(),
                    [](unsigned char Digit) { return std::isxdigit(Digit); });
    if (!IsHex) {
      Errors.add(Hash.Line, Hash.KeyPath, code::InvalidValue,
                 "must be a SHA-256 of 64 hexadecimal digits");
      continue;
    }
    for (char &Digit : Hash.Value) {
      Digit =
          static_cast<char>(std::tolower(static_cast<unsigned char>(Digit)));
    }
    if (!Seen.insert(Hash.Value).second) {
      Errors.add(Hash.Line, Hash.KeyPath, code::Duplicate,
                 "this hash is listed twice");
      continue;
    }
    Fleet.OperatorKeyHashes.push_back(Hash.Value);
  }
}

void readVoters(table_reader &Reader, fleet_settings &Fleet) {
  std::set<node_id> Ids;
  for (auto &Entry : Reader.tables("control", presence::Required)) {
    voter_settings Voter;
    assign(Voter.Id, Entry.integer("id", NodeIdRange, presence::Required));
    assign(Voter.Mesh, Entry.address("mesh", presence::Required, false));
    if (number(Voter.Id) != 0 && !Ids.insert(Voter.Id).second) {
      Entry.addError("id", code::Duplicate,
                     "node " + std::to_string(number(Voter.Id)) +
                         " is listed twice");
    }
    Entry.reportUnknownKeys();
    Fleet.InitialVoters.push_back(std::move(Voter));
  }
}

/// Reads the initial voters as addresses of their VMs. The mesh port, which is
/// the same on all VMs, replaces the port of each seed.
void readSeeds(table_reader &Reader, fleet_settings &Fleet,
               impl::error_list &Errors) {
  const auto Port =
      Reader.integer("seed_mesh_port", PortRange, presence::Required);
  Fleet.SeedMeshPort = static_cast<std::uint16_t>(Port.value_or(0));
  for (const auto &Text : Reader.strings("seeds", presence::Required)) {
    const auto Seed = parseEndpoint(Text.Value);
    const auto Id = Seed ? nodeIdFromAddress(Seed->Ip) : std::nullopt;
    if (!Id) {
      Errors.add(Text.Line, Text.KeyPath, code::InvalidValue,
                 "\"" + Text.Value + "\" is not an IPv4 address and port");
      continue;
    }
    Fleet.InitialVoters.push_back(
        {*Id, endpoint{Seed->Ip, Fleet.SeedMeshPort}});
  }
}

void readFleet(table_reader Reader, settings &Settings,
               impl::error_list &Errors) {
  auto &Fleet = Settings.Fleet;
  const bool BySeeds = Reader.has("seeds");
  readKey(Reader, Fleet, BySeeds ? presence::Optional : presence::Required);
  readKeyHashes(Reader, Fleet, Errors);
  if (BySeeds) {
    readSeeds(Reader, Fleet, Errors);
  } else {
    readVoters(Reader, Fleet);
  }
  assign(Fleet.Bootstrap, Reader.boolean("bootstrap"));
  Reader.reportUnknownKeys();
}

/// Derives a missing node id from the mesh address.
void deriveNodeId(settings &Settings, impl::error_list &Errors) {
  if (number(Settings.Node.Id) != 0 || Settings.Listen.Mesh.empty()) {
    return;
  }
  if (const auto Id = nodeIdFromAddress(Settings.Listen.Mesh.Ip)) {
    Settings.Node.Id = *Id;
  } else {
    Errors.add(0, "node.id", code::MissingKey,
               "is needed when listen.mesh is not an IPv4 address");
  }
}

void readGateway(table_reader Reader, gateway_settings &Gateway) {
  assign(Gateway.RequestListener,
         Reader.address("requests", presence::Optional, true));
  assign(Gateway.HealthListener,
         Reader.address("health", presence::Optional, true));
  assign(Gateway.OperatorListener,
         Reader.address("operators", presence::Optional, true));
  assign(Gateway.AddressListener,
         Reader.address("addresses", presence::Optional, true));
  assign(Gateway.AddressTtl, Reader.integer("address_ttl_ms", AddressTtlMsRange,
                                            presence::Optional));
  assign(Gateway.RetrySlack,
         Reader.number("retry_slack", RetrySlackRange, presence::Optional));
  assign(Gateway.HedgePercent,
         Reader.number("hedge_percent", PercentRange, presence::Optional));
  Reader.reportUnknownKeys();
}

void readDiscovery(table_reader Reader, discovery_settings &Discovery) {
  assign(Discovery.Server, Reader.address("server", presence::Optional, false));
  assign(
      Discovery.PollInterval,
      Reader.integer("interval_ms", PollIntervalMsRange, presence::Optional));
  assign(Discovery.MaxAge,
         Reader.integer("max_age_ms", MaxAgeMsRange, presence::Optional));
  // Between two polls the list grows older by the interval and the poll itself.
  if (Discovery.MaxAge < 2 * Discovery.PollInterval) {
    Reader.addError("max_age_ms", code::InvalidValue,
                    "must be at least twice discovery.interval_ms");
  }
  Reader.reportUnknownKeys();
}

void readRollout(table_reader Reader, rollout_settings &Rollout) {
  assign(Rollout.MaxExposure,
         Reader.number("max_exposure", ExposureRange, presence::Optional));
  Reader.reportUnknownKeys();
}

void readPeers(table_reader &Root, settings &Settings) {
  std::set<node_id> Ids;
  std::set<std::string> Addresses;
  for (const auto &Own : {Settings.Listen.Http, Settings.Listen.Mesh}) {
    if (Own.Port != 0) {
      Addresses.insert(Own.toString());
    }
  }
  for (auto &Entry : Root.tables("peer", presence::Optional)) {
    peer_settings Peer;
    assign(Peer.Id, Entry.integer("id", NodeIdRange, presence::Required));
    assign(Peer.Mesh, Entry.address("mesh", presence::Required, false));
    assign(Peer.Http, Entry.address("http", presence::Required, false));
    Entry.reportUnknownKeys();
    const auto Number = std::to_string(number(Peer.Id));
    if (number(Peer.Id) != 0) {
      if (Peer.Id == Settings.Node.Id) {
        Entry.addError("id", code::Duplicate,
                       Number + " is this node's own id");
      } else if (!Ids.insert(Peer.Id).second) {
        Entry.addError("id", code::Duplicate,
                       "node " + Number + " is listed twice");
      }
    }
    for (const auto &[Key, Address] :
         {std::pair("mesh", Peer.Mesh), std::pair("http", Peer.Http)}) {
      const auto Text = Address.toString();
      if (!Text.empty() && !Addresses.insert(Text).second) {
        Entry.addError(Key, code::Duplicate,
                       Text + " is already the address of another listener");
      }
    }
    for (const auto &Voter : Settings.Fleet.InitialVoters) {
      if (Voter.Id == Peer.Id && !Peer.Mesh.empty() && !Voter.Mesh.empty() &&
          !(Voter.Mesh == Peer.Mesh)) {
        Entry.addError("mesh", code::InvalidValue,
                       "differs from " + Voter.Mesh.toString() +
                           " in fleet.control for the same node");
      }
    }
    Settings.Peers.push_back(std::move(Peer));
  }
}

void readLog(table_reader Reader, log_settings &Log) {
  assign(Log.Path, Reader.path("path", presence::Optional));
  if (const auto Level = Reader.string("level", presence::Optional)) {
    std::vector<std::string> Names;
    bool Found = false;
    for (const auto &Row : LevelNames) {
      Names.emplace_back(Row.Name);
      if (*Level == Row.Name) {
        Log.Level = Row.Level;
        Found = true;
      }
    }
    if (!Found) {
      Reader.addError("level", code::InvalidValue,
                      "\"" + *Level +
                          "\" is none of debug, info, warning and error",
                      suggestSpelling(*Level, Names));
    }
  }
  Reader.reportUnknownKeys();
}

void readLimits(table_reader Reader, limit_settings &Limits) {
  assign(Limits.HeaderBytes,
         Reader.integer("header_bytes", HeaderBytesRange, presence::Optional));
  assign(Limits.BodyBytes,
         Reader.integer("body_bytes", BodyBytesRange, presence::Optional));
  assign(Limits.DrainTimeout, Reader.integer("drain_seconds", DrainSecondsRange,
                                             presence::Optional));
  assign(
      Limits.MaxOpenFiles,
      Reader.integer("descriptors", DescriptorCountRange, presence::Optional));
  assign(Limits.TerminationGracePeriod,
         Reader.integer("killed_after_seconds", TerminationGraceSecondsRange,
                        presence::Optional));
  assign(Limits.MemoryMegabytes,
         Reader.integer("memory_mb", MegabytesRange, presence::Optional));
  assign(Limits.DiskMegabytes,
         Reader.integer("disk_mb", MegabytesRange, presence::Optional));
  assign(Limits.BodyMemoryMegabytes,
         Reader.integer("body_memory_mb", MegabytesRange, presence::Optional));
  Reader.reportUnknownKeys();
}

settings readAll(const toml::table &Document, const std::filesystem::path &File,
                 impl::error_list &Errors) {
  settings Settings;
  Settings.File = File;
  table_reader Root(&Document, "", 1, Errors);
  // With seeds the ids of voters come from addresses, so those of other nodes
  // may too.
  const bool BySeeds = Document["fleet"]["seeds"].is_array();
  readNode(Root.table("node"), Settings.Node,
           BySeeds ? presence::Optional : presence::Required, Errors);
  readListen(Root.table("listen"), Settings.Listen);
  if (BySeeds) {
    deriveNodeId(Settings, Errors);
  }
  readFleet(Root.table("fleet"), Settings, Errors);
  readGateway(Root.table("gateway"), Settings.Gateway);
  readDiscovery(Root.table("discovery"), Settings.Discovery);
  readRollout(Root.table("rollout"), Settings.Rollout);
  readPeers(Root, Settings);
  readLog(Root.table("log"), Settings.Log);
  readLimits(Root.table("limits"), Settings.Limits);
  auto Testing = Root.table("testing");
  assign(Settings.Testing.AllowFaultInjection,
         Testing.boolean("allow_fault_injection"));
  Testing.reportUnknownKeys();
  Root.reportUnknownKeys();
  return Settings;
}

} // namespace

endpoint deriveMeshEndpoint(const fleet_settings &Fleet, node_id Node) {
  if (Fleet.SeedMeshPort == 0) {
    return {};
  }
  return {nodeIdToAddress(Node), Fleet.SeedMeshPort};
}

result<settings, settings_errors>
readSettings(const std::filesystem::path &File) {
  std::ifstream Stream(File, std::ios::binary);
  std::string Text;
  std::error_code Ignored;
  if (std::filesystem::is_regular_file(File, Ignored) && Stream) {
    Text.resize(MaxFileBytes + 1);
    Stream.read(Text.data(), static_cast<std::streamsize>(Text.size()));
    Text.resize(static_cast<std::size_t>(Stream.gcount()));
  } else {
    return settings_errors{
        {File.string(), 0, "", code::UnreadableFile, "cannot be read", ""}};
  }
  if (Text.size() > MaxFileBytes) {
    return settings_errors{
        {File.string(), 0, "", code::UnreadableFile, "is over 64 KiB", ""}};
  }
  return parseSettings(Text, File);
}

result<settings, settings_errors>
parseSettings(std::string_view Text, const std::filesystem::path &File) {
  impl::error_list Errors{File.string(), {}};
  try {
    const toml::table Document = toml::parse(Text, File.string());
    settings Settings = readAll(Document, File, Errors);
    if (Errors.Errors.empty()) {
      return Settings;
    }
  } catch (const toml::parse_error &Error) {
    Errors.add(static_cast<int>(Error.source().begin.line), "", code::Syntax,
               std::string(Error.description()));
  }
  std::stable_sort(Errors.Errors.begin(), Errors.Errors.end(),
                   [](const settings_error &Left, const settings_error &Right) {
                     return Left.Line < Right.Line;
                   });
  return std::move(Errors.Errors);
}

} // namespace arbutus::settings
