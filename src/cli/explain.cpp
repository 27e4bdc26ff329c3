#include "cli/explain.h"

#include "base/clock.h"
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <ctime>
#include <map>

namespace arbutus::cli {

namespace {

/// Time before and after a request in which other events are printed, because
/// they may explain its result.
constexpr std::int64_t ContextUs = 1'000'000;
constexpr std::int64_t UsPerSecond = 1'000'000;
constexpr std::string_view TimeKey = "time=";

/// Events that are logged for each request or upstream call. They are left out
/// for other requests, because they do not explain this one.
constexpr std::string_view RequestEvents[] = {"route", "request_finished",
                                              "request_refused", "call_failed"};

/// Text that is printed for an event. Each `{}` is replaced by the value of the
/// next of `Fields`.
struct event_template {
  std::string_view Event;
  std::string_view Text;
  std::vector<std::string_view> Fields;
};

const std::vector<event_template> &eventTemplates() {
  static const std::vector<event_template> Rows = {
      {"request_refused", "refused before a route was chosen: {}", {"error"}},
      {"route",
       "attempt {}: sent to upstream {} in failure domain {}, after waiting "
       "{} us, under revision {}",
       {"attempt", "upstream", "failure_domain", "waited_us", "revision"}},
      {"call_failed",
       "the call of {} failed: {}, status {}, promised not to have run: {}; "
       "next: {} ({})",
       {"upstream", "outcome", "status", "not_run", "next", "error"}},
      {"request_finished",
       "finished: {}, status {}, after {} attempts and {} us",
       {"result", "status", "attempts", "duration_us"}},
  };
  return Rows;
}

std::optional<std::int64_t> parseTimeUs(const std::string &Text) {
  std::tm Fields{};
  const char *Rest = ::strptime(Text.c_str(), "%Y-%m-%dT%H:%M:%S", &Fields);
  if (Rest == nullptr) {
    return std::nullopt;
  }
  std::int64_t FractionUs = 0;
  if (*Rest == '.') {
    std::from_chars(Rest + 1, Text.data() + Text.size(), FractionUs);
  }
  return static_cast<std::int64_t>(::timegm(&Fields)) * UsPerSecond +
         FractionUs;
}

/// Removes one `key=value` from the front of `Text` and returns it. Empty if
/// the field is truncated.
std::optional<std::pair<std::string, std::string>>
popField(std::string_view &Text) {
  const auto Equals = Text.find('=');
  if (Equals == std::string_view::npos) {
    return std::nullopt;
  }
  std::string Key(Text.substr(0, Equals));
  Text.remove_prefix(Equals + 1);
  std::string Value;
  if (Text.starts_with('"')) {
    const auto End = Text.find('"', 1);
    if (End == std::string_view::npos) {
      return std::nullopt;
    }
    Value = Text.substr(1, End - 1);
    Text.remove_prefix(End + 1);
  } else {
    Value = Text.substr(0, Text.find(' '));
    Text.remove_prefix(Value.size());
  }
  Text.remove_prefix(std::min(Text.find_first_not_of(' '), Text.size()));
  return std::pair(std::move(Key), std::move(Value));
}

bool isRequestEvent(std::string_view Event) {
  return std::find(std::begin(RequestEvents), std::end(RequestEvents), Event) !=
         std::end(RequestEvents);
}

std::string describeEvent(const log_line &Line) {
  const auto &Rows = eventTemplates();
  const auto Row = std::find_if(Rows.begin(), Rows.end(),
                                [&](const event_template &Template) {
                                  return Template.Event == Line.Event;
                                });
  std::string Text;
  if (Row == Rows.end()) {
    Text = Line.Event;
    for (const auto &[Key, Value] : Line.Fields) {
      Text += fmt::format(" {}={}", Key, Value);
    }
    return Text;
  }
  std::string_view Pattern = Row->Text;
  for (const auto Field : Row->Fields) {
    const auto Placeholder = Pattern.find("{}");
    const auto Value = Line.field(Field);
    Text += Pattern.substr(0, Placeholder);
    Text += Value.empty() ? std::string_view("none") : Value;
    Pattern.remove_prefix(Placeholder + 2);
  }
  return Text.append(Pattern);
}

/// Time of the first and of the last line of a VM about the request.
struct time_span {
  std::int64_t FirstUs = 0;
  std::int64_t LastUs = 0;
};

std::map<std::string, time_span>
timeSpansByNode(const std::vector<log_line> &Lines) {
  std::map<std::string, time_span> Spans;
  for (const auto &Line : Lines) {
    const auto [Entry, IsNew] = Spans.try_emplace(Line.Node);
    Entry->second.FirstUs =
        IsNew ? Line.TimeUs : std::min(Entry->second.FirstUs, Line.TimeUs);
    Entry->second.LastUs = std::max(Entry->second.LastUs, Line.TimeUs);
  }
  return Spans;
}

void printLines(const std::vector<log_line> &Lines,
                const std::map<std::string, time_span> &Spans,
                std::ostream &Out) {
  for (const auto &Line : Lines) {
    const auto OffsetUs = Line.TimeUs - Spans.at(Line.Node).FirstUs;
    Out << fmt::format("  {} {:+.3f} s  {}\n", Line.Node,
                       static_cast<double>(OffsetUs) / UsPerSecond,
                       describeEvent(Line));
  }
}

} // namespace

std::string_view log_line::field(std::string_view Name) const noexcept {
  const auto Found =
      std::find_if(Fields.begin(), Fields.end(),
                   [&](const auto &Field) { return Field.first == Name; });
  return Found == Fields.end() ? std::string_view() : Found->second;
}

std::optional<log_line> parseLogLine(std::string_view Text) {
  const auto Start = Text.find(TimeKey);
  if (Start == std::string_view::npos) {
    return std::nullopt;
  }
  Text.remove_prefix(Start);
  log_line Line;
  bool HasTime = false;
  while (!Text.empty()) {
    const auto Field = popField(Text);
    if (!Field) {
      return std::nullopt;
    }
    if (Field->first == "time") {
      const auto TimeUs = parseTimeUs(Field->second);
      HasTime = TimeUs.has_value();
      Line.TimeUs = TimeUs.value_or(0);
    } else if (Field->first == "node") {
      Line.Node = Field->second;
    } else if (Field->first == "event") {
      Line.Event = Field->second;
    } else if (Field->first != "level") {
      Line.Fields.push_back(*Field);
    }
  }
  if (!HasTime || Line.Event.empty()) {
    return std::nullopt;
  }
  return Line;
}

request_history collectHistory(const std::vector<std::istream *> &Logs,
                               std::string_view RequestId) {
  request_history History;
  std::vector<log_line> Others;
  std::string Text;
  for (auto *Log : Logs) {
    while (std::getline(*Log, Text)) {
      auto Line = parseLogLine(Text);
      if (!Line) {
        const bool NamesRequest = Text.find(RequestId) != std::string::npos;
        History.TruncatedLineCount += NamesRequest ? 1 : 0;
      } else if (Line->field("request") == RequestId) {
        History.Lines.push_back(std::move(*Line));
      } else if (!isRequestEvent(Line->Event)) {
        Others.push_back(std::move(*Line));
      }
    }
  }
  const auto Spans = timeSpansByNode(History.Lines);
  std::stable_sort(History.Lines.begin(), History.Lines.end(),
                   [&](const log_line &Left, const log_line &Right) {
                     return Spans.at(Left.Node).FirstUs <
                            Spans.at(Right.Node).FirstUs;
                   });
  for (auto &Line : Others) {
    const auto Span = Spans.find(Line.Node);
    if (Span != Spans.end() &&
        Line.TimeUs >= Span->second.FirstUs - ContextUs &&
        Line.TimeUs <= Span->second.LastUs + ContextUs) {
      History.ContextLines.push_back(std::move(Line));
    }
  }
  return History;
}

void printHistory(const request_history &History, std::string_view RequestId,
                  std::ostream &Out) {
  const auto Spans = timeSpansByNode(History.Lines);
  Out << "request " << RequestId << "\n";
  if (History.Lines.empty()) {
    Out << "  no line: it reached no router whose log was given, or its lines "
           "were left out under load (log_lines_left_out)\n";
  }
  printLines(History.Lines, Spans, Out);
  if (History.TruncatedLineCount > 0) {
    Out << "  " << History.TruncatedLineCount
        << " lines that name it are cut\n";
  }
  if (!History.ContextLines.empty()) {
    Out << "on the same VMs from 1 s before to 1 s after\n";
    printLines(History.ContextLines, Spans, Out);
  }
}

} // namespace arbutus::cli
