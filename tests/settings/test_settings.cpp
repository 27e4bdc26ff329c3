#include "base/digest.h"
#include "settings/settings.h"
#include <catch2/catch.hpp>
#include <sys/stat.h>
#include <unistd.h>

#include <fstream>

using namespace arbutus;
using namespace arbutus::settings;
using code = settings_error_code;

namespace {

/// A temporary folder with a valid key file.
struct temporary_folder {
  temporary_folder() {
    std::string Template =
        (std::filesystem::temp_directory_path() / "arbutus-XXXXXX").string();
    REQUIRE(mkdtemp(Template.data()) != nullptr);
    Path = Template;
    write("fleet.key", "0123456789abcdef0123456789abcdef\n", 0600);
  }
  temporary_folder(const temporary_folder &) = delete;
  temporary_folder &operator=(const temporary_folder &) = delete;
  ~temporary_folder() { std::filesystem::remove_all(Path); }

  void write(const std::string &Name, const std::string &Text,
             mode_t Mode) const {
    std::ofstream(Path / Name) << Text;
    REQUIRE(chmod((Path / Name).c_str(), Mode) == 0);
  }

  std::filesystem::path Path;
};

const std::string Valid = R"([node]
id = 1
name = "entry-1"
roles = ["router", "control"]
failure_domain = "a"
region = "nz-north"
data_directory = "data"
[listen]
http = "127.0.0.1:8080"
mesh = "127.0.0.1:7070"
threads = 2
[fleet]
key_file = "fleet.key"
operator_key_hashes = []
# the first voters
control = [ { id = 1, mesh = "127.0.0.1:7070" },
            { id = 2, mesh = "127.0.0.1:7071" } ]
[[peer]]
id = 2
mesh = "127.0.0.1:7071"
http = "127.0.0.1:8081"
[log]
path = "logs/a.log"
level = "warning"
[limits]
body_bytes = 2048
[testing]
allow_fault_injection = true
)";

/// Returns `Valid` with the first line that begins with `Line` replaced by
/// `Replacement`.
std::string replaceLine(const std::string &Line,
                        const std::string &Replacement) {
  std::string Text = Valid;
  const auto Start = Text.find("\n" + Line);
  REQUIRE(Start != std::string::npos);
  const auto End = Text.find('\n', Start + 1);
  return Text.replace(Start + 1, End - Start - 1, Replacement);
}

} // namespace

// Guards against a key that is read into the wrong member or has no default.
TEST_CASE("a valid file gives every setting") {
  const temporary_folder Folder;
  Folder.write("node.toml", Valid, 0600);
  const auto Read = readSettings(Folder.Path / "node.toml");
  REQUIRE(Read.has_value());
  const auto &Settings = Read.value();
  CHECK(Settings.Node.Id == node_id{1});
  CHECK(Settings.Node.Name == "entry-1");
  CHECK((Settings.Node.IsRouter && Settings.Node.IsControl));
  CHECK(Settings.Node.DataDirectory == Folder.Path / "data");
  CHECK(Settings.Listen.Http.toString() == "127.0.0.1:8080");
  CHECK(Settings.Listen.Threads == 2);
  CHECK(Settings.Fleet.Key == "0123456789abcdef0123456789abcdef");
  REQUIRE(Settings.Fleet.InitialVoters.size() == 2);
  CHECK(Settings.Fleet.InitialVoters[1].Id == node_id{2});
  REQUIRE(Settings.Peers.size() == 1);
  CHECK(Settings.Peers[0].Http.Port == 8081);
  CHECK(Settings.Log.Path == Folder.Path / "logs/a.log");
  CHECK(Settings.Log.Level == log_level::Warning);
  CHECK(Settings.Limits.HeaderBytes == 16384);
  CHECK(Settings.Limits.BodyBytes == 2048);
  CHECK(Settings.Limits.DrainTimeout.count() == 30);
  CHECK(Settings.Testing.AllowFaultInjection);
}

// Guards against an invalid key that is accepted or reported at a wrong place.
TEST_CASE("each error has its line, key, code and suggestion") {
  const temporary_folder Folder;
  Folder.write("open.key", "0123456789abcdef", 0640);
  Folder.write("short.key", "0123456789\n\n\n\n\n\n\n", 0600);
  const auto H = sha256Hex("key");
  struct row {
    std::string Line;
    std::string Replacement;
    int ErrorLine;
    std::string Key;
    code Code;
    std::string Suggestion;
  };
  const std::vector<row> Rows = {
      {"id = 1", "id = 0", 2, "node.id", code::OutOfRange, ""},
      {"id = 1", "id = 65536", 2, "node.id", code::OutOfRange, ""},
      {"id = 1", "id = \"1\"", 2, "node.id", code::WrongType, ""},
      {"id = 1", "", 1, "node.id", code::MissingKey, ""},
      {"name", "name = \"a b\"", 3, "node.name", code::InvalidValue, ""},
      {"name", "nmae = \"a\"", 3, "node.nmae", code::UnknownKey, "name"},
      {"region", "region = ''", 6, "node.region", code::InvalidValue, ""},
      {"data_dir", "", 1, "node.data_directory", code::MissingKey, ""},
      {"threads", "threads = 65", 11, "listen.threads", code::OutOfRange, ""},
      {"threads", "Thread = 1", 11, "listen.Thread", code::UnknownKey,
       "threads"},
      {"threads", "zzzzzz = 1", 11, "listen.zzzzzz", code::UnknownKey, ""},
      {"http", "http = \"localhost:80\"", 9, "listen.http", code::InvalidValue,
       ""},
      {"http", "http = \"0.0.0.0:80\"", 9, "listen.http", code::InvalidValue,
       ""},
      {"mesh", "mesh = \"127.0.0.1:8080\"", 10, "listen.mesh", code::Duplicate,
       ""},
      {"key_file", "key_file = \"none\"", 13, "fleet.key_file", code::KeyFile,
       ""},
      {"key_file", "key_file = \"open.key\"", 13, "fleet.key_file",
       code::KeyFile, ""},
      {"key_file", "key_file = \"short.key\"", 13, "fleet.key_file",
       code::KeyFile, ""},
      {"operator_key", "operator_key_hashes = [\"12\"]", 14,
       "fleet.operator_key_hashes[0]", code::InvalidValue, ""},
      {"operator_key", "operator_key_hashes = ['" + H + "', '" + H + "']", 14,
       "fleet.operator_key_hashes[1]", code::Duplicate, ""},
      {"roles", "roles = [\"control\", \"ruoter\"]", 4, "node.roles[1]",
       code::InvalidValue, "router"},
      {"            { id = 2",
       "            { id = 1, mesh = \"127.0.0.1:7071\" } ]", 17,
       "fleet.control[1].id", code::Duplicate, ""},
      {"            { id = 2",
       "            { id = 2, mesh = \"127.0.0.1:7\" } ]", 20, "peer[0].mesh",
       code::InvalidValue, ""},
      {"id = 2", "id = 1", 19, "peer[0].id", code::Duplicate, ""},
      {"level", "level = \"warn\"", 24, "log.level", code::InvalidValue,
       "warning"},
      {"level", "level = \"eror\"", 24, "log.level", code::InvalidValue,
       "error"},
      {"[log]", "[lgo]", 22, "lgo", code::UnknownKey, "log"},
      {"[[peer]]", "[[peer]", 18, "", code::Syntax, ""},
      {"[testing]", "[platform]\nvm_list_url = \"ftp://x\"\n[testing]", 27,
       "platform", code::UnknownKey, ""},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Line, Row.Replacement);
    const auto Read = parseSettings(replaceLine(Row.Line, Row.Replacement),
                                    Folder.Path / "n.toml");
    REQUIRE(Read.has_error());
    bool Found = false;
    for (const auto &Error : Read.error()) {
      CAPTURE(formatErrors({Error}));
      CHECK(Error.File == (Folder.Path / "n.toml").string());
      Found = Found ||
              (Error.Line == Row.ErrorLine && Error.Key == Row.Key &&
               Error.Code == Row.Code && Error.Suggestion == Row.Suggestion);
    }
    CAPTURE(formatErrors(Read.error()));
    CHECK(Found);
  }
}

// Guards against a report of the first error alone, which would cost an
// operator one start of the process per error.
TEST_CASE("all errors of a file are reported at once, ordered by line") {
  const auto Read = parseSettings("[listen]\nhtpp = \"127.0.0.1:1\"\nthreads = "
                                  "0\n[node]\nid = -1\n",
                                  "n.toml");
  REQUIRE(Read.has_error());
  const auto Text = formatErrors(Read.error());
  CAPTURE(Text);
  CHECK(Text.find("n.toml:2: listen.htpp: unknown key (did you mean "
                  "\"http\"?)\n") != std::string::npos);
  for (const std::string Key :
       {"listen.http: is required", "listen.mesh: is required",
        "n.toml:3: listen.threads: 0 is not in 1..64", "node.id: -1 is not in",
        "node.roles: is required", "node.failure_domain: is required",
        "node.region: is required", "fleet.key_file: is required",
        "fleet.control: is required"}) {
    CAPTURE(Key);
    CHECK(Text.find(Key) != std::string::npos);
  }
  for (std::size_t I = 1; I < Read.error().size(); ++I) {
    CHECK(Read.error()[I - 1].Line <= Read.error()[I].Line);
  }
  CHECK(readSettings("/nonexistent").error()[0].Code == code::UnreadableFile);
}

// Guards against addresses that need a name server or lose their port.
TEST_CASE("parseEndpoint accepts numeric addresses only") {
  for (const std::string Text : {"1.2.3.4:80", "[::1]:65535", "1.2.3.4:0"}) {
    CAPTURE(Text);
    REQUIRE(parseEndpoint(Text).has_value());
    CHECK(parseEndpoint(Text)->toString() == Text);
  }
  for (const std::string Text :
       {"", ":80", "1.2.3.4", "1.2.3.4:", "1.2.3.4:65536", "1.2.3.4:-1",
        "1.2.3.4:8x", "1.2.3:80", "::1:80", "[1.2.3.4]:80", "host:80"}) {
    CAPTURE(Text);
    CHECK_FALSE(parseEndpoint(Text).has_value());
  }
}

// Guards against a list of instances that is too old between any two reads, so
// that routers would hold no lease most of the time.
TEST_CASE(
    "the age of the instance list allows for the time between two reads") {
  struct row {
    std::string Keys;
    bool Valid;
  };
  const std::vector<row> Rows = {
      {"interval_ms = 400\nmax_age_ms = 3000", true},
      {"interval_ms = 1500\nmax_age_ms = 3000", true},
      {"interval_ms = 1501\nmax_age_ms = 3000", false},
      {"interval_ms = 2000", false},
      {"max_age_ms = 999", false},
  };
  const temporary_folder Folder;
  for (const auto &Row : Rows) {
    CAPTURE(Row.Keys);
    Folder.write("node.toml", Valid + ("[discovery]\n" + Row.Keys) + "\n",
                 0600);
    const auto Read = readSettings(Folder.Path / "node.toml");
    CHECK(Read.has_value() == Row.Valid);
    if (Read.has_error()) {
      REQUIRE(Read.error().size() == 1);
      CHECK(Read.error()[0].Key == "discovery.max_age_ms");
    }
  }
}
