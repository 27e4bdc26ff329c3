#include "router/stream_validator.h"

#include "base/json_reader.h"
#include "router/json_fields.h"
#include <nlohmann/json.hpp>

namespace arbutus::router {

namespace {

/// Longest event that is buffered; a longer one is malformed.
constexpr std::size_t MaxEventBytes = 1U << 20U;

/// Returns the value of a field of a server-sent event, or an empty view.
std::string_view fieldOf(std::string_view Event, std::string_view Name) {
  while (!Event.empty()) {
    std::string_view Line = Event.substr(0, Event.find('\n'));
    Event.remove_prefix(std::min(Event.size(), Line.size() + 1));
    if (!Line.empty() && Line.back() == '\r') {
      Line.remove_suffix(1);
    }
    if (Line.substr(0, Name.size()) == Name && Line.size() > Name.size() &&
        Line[Name.size()] == ':') {
      Line.remove_prefix(Name.size() + 1);
      if (!Line.empty() && Line.front() == ' ') {
        Line.remove_prefix(1);
      }
      return Line;
    }
  }
  return {};
}

/// Returns the delta of the first choice, or null.
const nlohmann::json *deltaOf(const nlohmann::json &Chunk) {
  const auto Choices = Chunk.find("choices");
  if (Choices == Chunk.end() || !Choices->is_array() || Choices->empty() ||
      !Choices->front().is_object()) {
    return nullptr;
  }
  const auto Delta = Choices->front().find("delta");
  return Delta != Choices->front().end() && Delta->is_object() ? &*Delta
                                                               : nullptr;
}

} // namespace

std::string stream_validator::feed(std::string_view Bytes) {
  std::string Forward;
  if (State != stream_state::Open) {
    return Forward;
  }
  Buffer.append(Bytes, [this, &Forward](std::string_view Event) {
    if (State == stream_state::Open) {
      processEvent(Event, Forward);
    }
  });
  if (State == stream_state::Open && Buffer.partial().size() > MaxEventBytes) {
    State = stream_state::Malformed;
  }
  return Forward;
}

void stream_validator::prepareResume() {
  Buffer.clear();
  if (State != stream_state::Done) {
    State = stream_state::Open;
  }
}

void stream_validator::processEvent(std::string_view Event,
                                    std::string &Forward) {
  const std::string_view Data = fieldOf(Event, "data");
  if (Data.empty()) {
    return; // a comment, which only keeps the connection alive
  }
  if (Data == "[DONE]") {
    State = stream_state::Done;
    return;
  }
  processChunk(Data, Event, Forward);
}

bool stream_validator::checkTokenIndex(const nlohmann::json &Chunk) {
  const auto Index = Chunk.find("token_index");
  if (Index == Chunk.end() || !Index->is_number_integer()) {
    return true; // without an index, repeated chunks cannot be detected
  }
  const auto Value = Index->get<std::int64_t>();
  if (Value <= LastTokenIndex) {
    return false;
  }
  if (Value != LastTokenIndex + 1) {
    State = stream_state::Malformed;
    return false;
  }
  LastTokenIndex = Value;
  return true;
}

void stream_validator::processChunk(std::string_view Json,
                                    std::string_view Event,
                                    std::string &Forward) {
  const auto Chunk = parseJson(Json);
  if (!Chunk.is_object()) {
    State = stream_state::Malformed;
    return;
  }
  const auto Id = Chunk.find("id");
  if (Id == Chunk.end() || !Id->is_string()) {
    State = stream_state::Malformed;
    return;
  }
  if (Id->get_ref<const std::string &>() != UpstreamRequestId) {
    State = stream_state::WrongId;
    return;
  }
  if (!checkTokenIndex(Chunk)) {
    return;
  }
  const auto Usage = Chunk.find("usage");
  if (Usage != Chunk.end() && Usage->is_object()) {
    Tokens = unsignedFieldOr(*Usage, "completion_tokens", Tokens);
    PromptTokens = unsignedFieldOr(*Usage, "prompt_tokens", PromptTokens);
  }
  // A chunk with content and without usage carries one token.
  const bool HasUsage = Usage != Chunk.end() && Usage->is_object();
  const auto *Delta = deltaOf(Chunk);
  if (!HasUsage && Delta != nullptr && Delta->contains("content")) {
    ++Tokens;
  }
  const auto At = Event.find(UpstreamRequestId);
  Forward += Event.substr(0, At);
  Forward += CallerRequestId;
  Forward += Event.substr(At + UpstreamRequestId.size());
}

} // namespace arbutus::router
