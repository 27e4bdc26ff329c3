#ifndef ARBUTUS_TOOLS_COMMON_LOAD_ANSWER_CHECK_H
#define ARBUTUS_TOOLS_COMMON_LOAD_ANSWER_CHECK_H

#include "base/piece_buffer.h"
#include "base/read_work.h"
#include "common/load/request_plan.h"

#include <string>
#include <string_view>

namespace arbutus::tools {

enum class verdict {
  Ok,
  /// The answer is an error of a known type.
  Error,
  /// A chat answer ended without its end and without an error.
  Incomplete,
  /// The answer is not the one to this request.
  Wrong
};

struct check_result {
  verdict Verdict = verdict::Ok;
  /// Type of the error, or what is wrong.
  std::string Type;
  /// `not_run` or `unknown` from the error, else empty.
  std::string Outcome;
};

/// Checks an answer while it arrives.
class answer_check {
public:
  explicit answer_check(const request_plan &Plan) : Plan(Plan) {}

  /// Takes body bytes. Returns the number of output tokens in them that were
  /// as expected.
  int consume(std::string_view Bytes, int Status);

  /// Judges the whole answer. `Status` is 0 and `TransportError` names the
  /// fault if no complete HTTP answer arrived.
  [[nodiscard]] check_result finish(int Status,
                                    std::string_view TransportError);

  /// Output tokens of the answer as far as known.
  [[nodiscard]] int tokens() const noexcept { return Tokens; }

  /// What was done with the bytes of a stream.
  [[nodiscard]] const read_work &work() const noexcept { return Work; }

private:
  int consumeLines(std::string_view Bytes);
  int consumeLine(std::string_view Line);
  void markWrong(std::string_view What);
  [[nodiscard]] check_result finishStream(std::string_view TransportError);
  [[nodiscard]] check_result finishChat();
  [[nodiscard]] check_result finishPlain() const;
  [[nodiscard]] check_result readError(int Status) const;

  const request_plan &Plan;
  std::string PlainBody;    ///< of an answer that is no stream
  piece_buffer PartialLine; ///< of a stream
  read_work Work;
  std::size_t Matched = 0;
  int Tokens = 0;
  bool Done = false;
  std::string WrongType;
  std::string ErrorType;
  std::string ErrorOutcome;
};

} // namespace arbutus::tools

namespace arbutus {

template <> struct name_table<tools::verdict> {
  static constexpr name_row<tools::verdict> Rows[] = {
      {tools::verdict::Ok, "ok"},
      {tools::verdict::Error, "error"},
      {tools::verdict::Incomplete, "incomplete"},
      {tools::verdict::Wrong, "wrong"},
  };
};

} // namespace arbutus

#endif
