#include "base/base.h"
#include <catch2/catch.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace arbutus;

namespace {

struct sample {
  std::uint32_t Number = 0;
  std::vector<std::string> Names;
  MSGPACK_DEFINE(Number, Names)
};

} // namespace

// Guards against a malformed peer message that throws or allocates unbounded
// memory instead of giving a typed error.
TEST_CASE("decode returns a typed error for malformed input") {
  const std::string Good = encode(sample{7, {"a", "b"}});
  struct row {
    std::string Name;
    std::string Bytes;
    codec_error Expected;
  };
  const std::vector<row> Rows = {
      {"empty", "", codec_error::Malformed},
      {"cut short", Good.substr(0, Good.size() - 1), codec_error::Malformed},
      {"trailing byte", Good + "x", codec_error::TrailingBytes},
      {"wrong type", encode(std::string("text")), codec_error::Malformed},
      {"huge array length", std::string("\xdd\xff\xff\xff\xff", 5),
       codec_error::Malformed},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    const auto Decoded = decode<sample>(Row.Bytes);
    REQUIRE(Decoded.has_error());
    CHECK(Decoded.error() == Row.Expected);
  }
  const auto Decoded = decode<sample>(Good);
  REQUIRE(Decoded.has_value());
  CHECK(Decoded.value().Names == std::vector<std::string>{"a", "b"});
}

// Guards against a reader that sees a partly replaced or deleted value.
TEST_CASE("rcu_snapshot readers never see a partial value") {
  rcu_snapshot<std::vector<int>> Snapshot(
      std::make_unique<std::vector<int>>(16, 0));
  std::atomic<bool> Stop = false;
  std::atomic<int> Torn = 0;
  std::thread Reader([&] {
    while (!Stop) {
      Snapshot.read([&](const std::vector<int> &Value) {
        for (const int Element : Value) {
          Torn += Element != Value.front() ? 1 : 0;
        }
      });
    }
  });
  for (int I = 1; I <= 200; ++I) {
    Snapshot.replace(std::make_unique<std::vector<int>>(16, I));
  }
  Stop = true;
  Reader.join();
  CHECK(Torn == 0);
}

// Guards against digests that change between builds: stored key hashes and
// fleet message authentication depend on them.
TEST_CASE("digests match published vectors") {
  CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223"
                            "b00361a396177a9cb410ff61f20015ad");
  const auto Mac = hmac("Jefe", "what do ya want for nothing?");
  CHECK(Mac[0] == 0x5b);
  CHECK(Mac[15] == 0xc7);
  CHECK(equalConstantTime("abc", "abc"));
  CHECK_FALSE(equalConstantTime("abc", "abd"));
  CHECK_FALSE(equalConstantTime("abc", "abcd"));
}
