#include "base/json_reader.h"
#include "heap_meter.h"
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>
#include <vector>

using namespace arbutus;
using nlohmann::json;

namespace {

std::optional<json_error> errorOf(std::string_view Text, json_limits Limits) {
  const auto Read = readJson(Text, Limits);
  return Read.has_error() ? std::optional(Read.error()) : std::nullopt;
}

std::string repeated(std::string_view Part, std::size_t Times) {
  std::string Text;
  for (std::size_t I = 0; I < Times; ++I) {
    Text += Part;
  }
  return Text;
}

} // namespace

// Guards against a value that differs from the text, or an invalid text that is
// taken for a valid one.
TEST_CASE("a text within the limits is read as the library reads it") {
  for (const std::string Text :
       {R"({"a":[1,-2,3.5,true,null,"x"],"b":{"c":{"d":[]}},"":{}})",
        R"([[],[[]],{"a":{"b":[{"c":1}]}}])", R"("text")", "7", "null",
        R"({"a":1,"a":[2],"b":"\u00e4\n"})", R"({"n":18446744073709551615})",
        " [ 1 , 2 ] ", "", "[", "{\"a\"", "[1,]", "[1] 2", "nonsense",
        "\"\xff\"", "1e999"}) {
    CAPTURE(Text);
    const auto Expected = json::parse(Text, nullptr, false);
    const auto Read = parseJson(Text);
    CHECK(Read.is_discarded() == Expected.is_discarded());
    CHECK((Expected.is_discarded() || Read == Expected));
  }
}

// Guards against a limit that is not kept, or that refuses what fits.
TEST_CASE("a text over a limit is refused with its reason") {
  struct row {
    std::string Text;
    json_limits Limits;
    std::optional<json_error> Expected;
  };
  const std::vector<row> Rows = {
      {repeated("[", 4) + repeated("]", 4), {4, 1'000}, std::nullopt},
      {repeated("[", 5) + repeated("]", 5), {4, 1'000}, json_error::TooDeep},
      {repeated(R"({"":)", 5), {4, 10'000}, json_error::TooDeep},
      {repeated("[", 5), {8, 1'000}, json_error::Malformed},
      {"[" + repeated("0,", 10) + "0]", {4, 1'000}, std::nullopt},
      {"[" + repeated("0,", 100) + "0]", {4, 1'000}, json_error::TooLarge},
      {"\"" + repeated("x", 2'000) + "\"", {4, 1'000}, json_error::TooLarge},
      {"{\"" + repeated("x", 2'000) + "\":0}",
       {4, 1'000},
       json_error::TooLarge},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Text);
    CHECK(errorOf(Row.Text, Row.Limits) == Row.Expected);
  }
}

// Guards against an estimate below what the values take, which would let a text
// past the limit.
TEST_CASE("values take no more memory than the limit") {
  constexpr std::size_t Limit = std::size_t{4} << 20U;
  // The parser's copy of the text of one string or number.
  constexpr std::size_t ParserBytes = 4'096;
  constexpr std::size_t Times = 2'000'000;
  for (const std::string Part :
       {"[", R"({"":)", R"([{"":)", "0,", R"("",)", "[],", "{},", "[0],",
        R"({"":0},)", R"(["0123456789abcdef0123456789"],)",
        R"({"0123456789abcdef":"0123456789abcdef"},)", "[[[]]],"}) {
    CAPTURE(Part);
    const std::string Text = "[" + repeated(Part, Times);
    std::optional<json_error> Error;
    const auto Peak = tests::peakHeapBytes([&] {
      Error = errorOf(Text, {Times * 2, Limit});
    });
    CHECK(Error == json_error::TooLarge);
    CHECK(Peak <= Limit + ParserBytes);
  }
  std::string Members = "{";
  for (std::size_t I = 0; I < Times; ++I) {
    Members += "\"" + std::to_string(I) + "\":0,";
  }
  const auto Peak = tests::peakHeapBytes([&] {
    (void)errorOf(Members, {4, Limit});
  });
  CHECK(Peak <= Limit + ParserBytes);
}

// Guards against a long list that is built as a whole, and against entries that
// get lost on the way to their receiver.
TEST_CASE("the entries of a list are received one by one") {
  std::vector<json> Entries;
  const json_list_receiver Lists = {
      [](std::string_view Field) { return Field == "taken"; },
      [&](const json &Entry) {
        Entries.push_back(Entry);
        return Entry != "stop";
      }};
  const auto Read = readJson(
      R"({"taken":[1,{"taken":[2]},[3,[4]],"x"],"left":[5],"in":{"taken":[6]}})",
      jsonLimits(), Lists);
  REQUIRE(Read.has_value());
  CHECK(Entries ==
        std::vector<json>{1, {{"taken", {2}}}, json::parse("[3,[4]]"), "x"});
  CHECK(Read.value() ==
        json::parse(R"({"taken":[],"left":[5],"in":{"taken":[6]}})"));

  const auto Stopped =
      readJson(R"({"taken":["stop",1],"left":[]})", jsonLimits(), Lists);
  REQUIRE(Stopped.has_error());
  CHECK(Stopped.error() == json_error::Rejected);
  CHECK(Entries.back() == "stop");

  const std::string Long = R"({"taken":[)" + repeated("[0],", 100'000) + "0]}";
  CHECK(readJson(Long, {4, 1'000}, Lists).has_value());
  const std::string LongEntry = R"({"taken":[[)" + repeated("0,", 100) + "0]]}";
  CHECK(readJson(LongEntry, {4, 1'000}, Lists).error() == json_error::TooLarge);
}

// Guards against a reader of JSON without limits.
TEST_CASE("the sources read JSON through the reader with limits only") {
  // It reads again what was written here.
  const std::string Allowed = "request_flow.cpp";
  std::vector<std::string> Found;
  for (const std::string Folder : {"/src", "/platform"}) {
    for (const auto &Entry : std::filesystem::recursive_directory_iterator(
             ARBUTUS_SOURCE_DIR + Folder)) {
      if (!Entry.is_regular_file()) {
        continue;
      }
      std::ifstream File(Entry.path());
      const std::string Text(std::istreambuf_iterator<char>(File), {});
      const bool Reads = Text.find("json::parse(") != std::string::npos ||
                         Text.find("json::accept(") != std::string::npos;
      if (Reads && Entry.path().filename() != Allowed) {
        Found.push_back(Entry.path().string());
      }
    }
  }
  CHECK(Found.empty());
}
