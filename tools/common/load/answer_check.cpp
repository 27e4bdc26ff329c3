#include "common/load/answer_check.h"

namespace arbutus::tools {

namespace {

using nlohmann::json;

std::string textOf(const json &Object, const char *Key) {
  const auto Found = Object.find(Key);
  return Found != Object.end() && Found->is_string() ? Found->get<std::string>()
                                                     : std::string();
}

/// Type and outcome of an error in the shape of the product's errors.
std::pair<std::string, std::string> errorOf(const json &Body) {
  std::string Type;
  if (const auto Error = Body.find("error");
      Error != Body.end() && Error->is_object()) {
    Type = textOf(*Error, "type");
  }
  return {Type, textOf(Body, "outcome")};
}

} // namespace

int answer_check::consume(std::string_view Bytes, int Status) {
  if (Plan.Kind != request_kind::ChatStream || Status != 200) {
    PlainBody.append(Bytes);
    return 0;
  }
  return consumeLines(Bytes);
}

int answer_check::consumeLines(std::string_view Bytes) {
  const std::size_t Searched = PartialLine.size();
  const std::string_view Joined = PartialLine.join(Bytes);
  int Count = 0;
  std::size_t Start = 0;
  for (auto End = Joined.find('\n', Searched); End != std::string_view::npos;
       End = Joined.find('\n', Start)) {
    auto Line = Joined.substr(Start, End - Start);
    if (Line.ends_with('\r')) {
      Line.remove_suffix(1);
    }
    Count += consumeLine(Line);
    Start = End + 1;
  }
  Work.ReceivedBytes += Bytes.size();
  Work.SearchedBytes += Joined.size() - Searched;
  PartialLine.keepAfter(Start);
  return Count;
}

int answer_check::consumeLine(std::string_view Line) {
  constexpr std::string_view Field = "data:";
  if (Line.substr(0, Field.size()) != Field) {
    return 0;
  }
  Line.remove_prefix(Field.size());
  while (!Line.empty() && Line.front() == ' ') {
    Line.remove_prefix(1);
  }
  if (Line == "[DONE]") {
    Done = true;
    return 0;
  }
  const auto Chunk = json::parse(Line, nullptr, false);
  if (!Chunk.is_object()) {
    markWrong("malformed_chunk");
    return 0;
  }
  if (Chunk.contains("error")) {
    std::tie(ErrorType, ErrorOutcome) = errorOf(Chunk);
    return 0;
  }
  if (textOf(Chunk, "id") != Plan.RequestId) {
    markWrong("id");
  }
  if (Done) {
    markWrong("chunk_after_done");
  }
  const auto Choices = Chunk.find("choices");
  if (Choices == Chunk.end() || !Choices->is_array() || Choices->empty() ||
      !Choices->front().contains("delta")) {
    return 0;
  }
  const auto Text = textOf(Choices->front()["delta"], "content");
  if (Text.empty()) {
    return 0;
  }
  if (Plan.ExpectedText.compare(Matched, Text.size(), Text) != 0) {
    markWrong("content");
    return 0;
  }
  Matched += Text.size();
  ++Tokens;
  return 1;
}

void answer_check::markWrong(std::string_view What) {
  if (WrongType.empty()) {
    WrongType = What;
  }
}

check_result answer_check::finish(int Status, std::string_view TransportError) {
  const bool Stream = Plan.Kind == request_kind::ChatStream;
  if (Stream && Status == 200) {
    return finishStream(TransportError);
  }
  if (!TransportError.empty()) {
    return {verdict::Error, std::string(TransportError), ""};
  }
  const bool Lookup = Plan.Kind == request_kind::Get && Status == 404;
  if (Status >= 300 && !Lookup) {
    return readError(Status);
  }
  return Plan.Kind == request_kind::Chat ? finishChat() : finishPlain();
}

check_result answer_check::finishStream(std::string_view TransportError) {
  if (!WrongType.empty()) {
    return {verdict::Wrong, WrongType, ""};
  }
  if (!ErrorType.empty()) {
    return {verdict::Error, ErrorType, ErrorOutcome};
  }
  if (!Done) {
    return {verdict::Incomplete,
            TransportError.empty() ? "no_done" : std::string(TransportError),
            ""};
  }
  if (Matched != Plan.ExpectedText.size()) {
    return {verdict::Wrong, "short_content", ""};
  }
  return {};
}

check_result answer_check::finishChat() {
  const auto Body = json::parse(PlainBody, nullptr, false);
  if (!Body.is_object()) {
    return {verdict::Wrong, "malformed_body", ""};
  }
  if (textOf(Body, "id") != Plan.RequestId) {
    return {verdict::Wrong, "id", ""};
  }
  const auto Pointer = json::json_pointer("/choices/0/message/content");
  if (!Body.contains(Pointer) || Body.at(Pointer) != Plan.ExpectedText) {
    return {verdict::Wrong, "content", ""};
  }
  Tokens = Body.value(json::json_pointer("/usage/completion_tokens"), 0);
  return {};
}

check_result answer_check::finishPlain() const {
  if (Plan.ExpectedField.empty()) {
    return {};
  }
  const auto Body = json::parse(PlainBody, nullptr, false);
  if (!Body.is_object()) {
    return {verdict::Wrong, "malformed_body", ""};
  }
  if (const auto Type = errorOf(Body).first;
      !Type.empty() && !Body.contains(Plan.ExpectedField)) {
    return {verdict::Error, Type, errorOf(Body).second};
  }
  if (textOf(Body, Plan.ExpectedField.c_str()) != Plan.ExpectedValue) {
    return {verdict::Wrong, Plan.ExpectedField, ""};
  }
  return {};
}

check_result answer_check::readError(int Status) const {
  const auto Body = json::parse(PlainBody, nullptr, false);
  check_result Result{verdict::Error, "http_" + std::to_string(Status), ""};
  if (Body.is_object()) {
    const auto [Type, Outcome] = errorOf(Body);
    if (!Type.empty()) {
      Result.Type = Type;
    }
    Result.Outcome = Outcome;
  }
  return Result;
}

} // namespace arbutus::tools
