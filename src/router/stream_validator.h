#ifndef ARBUTUS_ROUTER_STREAM_VALIDATOR_H
#define ARBUTUS_ROUTER_STREAM_VALIDATOR_H

#include "base/name_table.h"
#include "net/event_buffer.h"
#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace arbutus::router {

enum class stream_state {
  Open,
  Done,      ///< the end mark was received
  WrongId,   ///< a chunk belongs to another request
  Malformed, ///< not a stream of completion chunks
};

/// Validates an engine's server-sent events while they are forwarded: chunks
/// must carry the request's id, repeated chunks are dropped, and only `[DONE]`
/// completes the stream. A stream that is resumed on a new connection continues
/// in the same object after `prepareResume`.
class stream_validator {
public:
  /// `UpstreamRequestId` is the id sent to the engine, unique in the fleet. In
  /// the forwarded events `CallerRequestId` replaces it.
  stream_validator(std::string UpstreamRequestId, std::string CallerRequestId)
      : UpstreamRequestId(std::move(UpstreamRequestId)),
        CallerRequestId(std::move(CallerRequestId)) {}

  /// Processes bytes from the engine and returns the complete valid events to
  /// forward. An invalid chunk and everything after it are not returned, nor is
  /// the end mark, which the calling code writes itself.
  [[nodiscard]] std::string feed(std::string_view Bytes);

  /// Discards a partly received event before the stream is resumed.
  void prepareResume();

  [[nodiscard]] stream_state state() const noexcept { return State; }
  [[nodiscard]] std::uint64_t tokens() const noexcept { return Tokens; }
  [[nodiscard]] std::uint64_t promptTokens() const noexcept {
    return PromptTokens;
  }

  /// Returns the work since the last call of this function.
  [[nodiscard]] read_work takeWork() noexcept { return Buffer.takeWork(); }

private:
  void processEvent(std::string_view Event, std::string &Forward);
  /// Checks the chunk's token index. Returns false if the chunk is to be
  /// dropped.
  bool checkTokenIndex(const nlohmann::json &Chunk);
  void processChunk(std::string_view Json, std::string_view Event,
                    std::string &Forward);

  std::string UpstreamRequestId;
  std::string CallerRequestId;
  net::event_buffer Buffer;
  stream_state State = stream_state::Open;
  std::uint64_t Tokens = 0;
  std::uint64_t PromptTokens = 0;
  std::int64_t LastTokenIndex = -1;
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
