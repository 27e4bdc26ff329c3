#ifndef ARBUTUS_ROUTER_STREAM_CHECK_H
#define ARBUTUS_ROUTER_STREAM_CHECK_H

#include "base/name_table.h"
#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace arbutus::router {

enum class stream_state {
  Open,
  Done,      ///< the end mark was seen
  WrongId,   ///< a chunk belongs to another request
  Malformed, ///< not a stream of completion chunks
};

/// Checks an engine's event stream while it passes: chunks must carry the
/// request's id, a repeated chunk is dropped, and only `[DONE]` completes it.
/// Survives the engine's connection: a resumed stream goes on in the same
/// object after `restart`.
class stream_check {
public:
  /// `UpstreamId` is the id given to the engine, unique in the fleet;
  /// `PublicId` is the one that the caller sees in its place.
  stream_check(std::string UpstreamId, std::string PublicId)
      : UpstreamId(std::move(UpstreamId)), PublicId(std::move(PublicId)) {}

  /// Takes bytes from the engine and returns whole checked events to forward.
  /// Nothing of a wrong chunk, or of what follows it, is returned. The end
  /// mark is not returned either; the caller of this function writes it.
  [[nodiscard]] std::string feed(std::string_view Bytes);

  /// Forgets a half-received event before a resumed connection.
  void restart();

  [[nodiscard]] stream_state state() const noexcept { return State; }
  [[nodiscard]] std::uint64_t tokens() const noexcept { return Tokens; }
  [[nodiscard]] std::uint64_t promptTokens() const noexcept {
    return PromptTokens;
  }

private:
  void takeEvent(std::string_view Event, std::string &Forward);
  /// Checks the chunk's token number; false if the chunk is to be dropped.
  bool takeIndex(const nlohmann::json &Chunk);
  void takeChunk(std::string_view Json, std::string_view Event,
                 std::string &Forward);

  std::string UpstreamId;
  std::string PublicId;
  std::string Buffer;
  stream_state State = stream_state::Open;
  std::uint64_t Tokens = 0;
  std::uint64_t PromptTokens = 0;
  std::int64_t LastIndex = -1;
};

} // namespace arbutus::router

namespace arbutus {

template <> struct name_table<router::stream_state> {
  static constexpr name_row<router::stream_state> Rows[] = {
      {router::stream_state::Open, "open"},
      {router::stream_state::Done, "done"},
      {router::stream_state::WrongId, "wrong_id"},
      {router::stream_state::Malformed, "malformed"},
  };
};

} // namespace arbutus

#endif
