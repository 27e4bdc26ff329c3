#include "cli/explain.h"

#include "base/clock.h"
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <ctime>
#include <map>

namespace arbutus::cli {

namespace {

/// Time before and after a request in which other events may explain it.
constexpr std::int64_t AroundMicros = 1'000'000;
constexpr std::int64_t MicrosPerSecond = 1'000'000;
constexpr std::string_view TimeKey = "time=";

/// Events of every request or call; beside the request itself they explain
/// nothing.
constexpr std::string_view RequestEvents[] = {"route", "request_finished",
                                              "request_refused", "call_failed"};

/// What an event means for the request; `{}` stand for the fields in turn.
struct meaning {
  std::string_view Event;
  std::string_view Text;
  std::vector<std::string_view> Fields;
};

const std::vector<meaning> &meanings() {
  static const std::vector<meaning> Rows = {
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

std::optional<std::int64_t> parseTime(const std::string &Text) {
  std::tm Fields{};
  const char *Rest = ::strptime(Text.c_str(), "%Y-%m-%dT%H:%M:%S", &Fields);
  if (Rest == nullptr) {
    return std::nullopt;
  }
  std::int64_t Micros = 0;
  if (*Rest == '.') {
    std::from_chars(Rest + 1, Text.data() + Text.size(), Micros);
  }
  return static_cast<std::int64_t>(::timegm(&Fields)) * MicrosPerSecond +
         Micros;
}

/// Takes one `key=value` from the front; empty when the text is cut there.
std::optional<std::pair<std::string, std::string>>
takeField(std::string_view &Text) {
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

std::string describe(const log_line &Line) {
  const auto &Rows = meanings();
  const auto Row =
      std::find_if(Rows.begin(), Rows.end(), [&](const meaning &Meaning) {
        return Meaning.Event == Line.Event;
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
    const auto Gap = Pattern.find("{}");
    const auto Value = Line.field(Field);
    Text += Pattern.substr(0, Gap);
    Text += Value.empty() ? std::string_view("none") : Value;
    Pattern.remove_prefix(Gap + 2);
  }
  return Text.append(Pattern);
}

/// First and last time of a VM's lines about the request.
struct time_span {
  std::int64_t First = 0;
  std::int64_t Last = 0;
};

std::map<std::string, time_span> spansOf(const std::vector<log_line> &Lines) {
  std::map<std::string, time_span> Spans;
  for (const auto &Line : Lines) {
    const auto [At, New] = Spans.try_emplace(Line.Node);
    At->second.First = New ? Line.Time : std::min(At->second.First, Line.Time);
    At->second.Last = std::max(At->second.Last, Line.Time);
  }
  return Spans;
}

void printLines(const std::vector<log_line> &Lines,
                const std::map<std::string, time_span> &Spans,
                std::ostream &Out) {
  for (const auto &Line : Lines) {
    const auto Since = Line.Time - Spans.at(Line.Node).First;
    Out << fmt::format("  {} {:+.3f} s  {}\n", Line.Node,
                       static_cast<double>(Since) / MicrosPerSecond,
                       describe(Line));
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
    const auto Field = takeField(Text);
    if (!Field) {
      return std::nullopt;
    }
    if (Field->first == "time") {
      const auto Time = parseTime(Field->second);
      HasTime = Time.has_value();
      Line.Time = Time.value_or(0);
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

request_story gatherStory(const std::vector<std::istream *> &Logs,
                          std::string_view RequestId) {
  request_story Story;
  std::vector<log_line> Others;
  std::string Text;
  for (auto *Log : Logs) {
    while (std::getline(*Log, Text)) {
      auto Line = parseLogLine(Text);
      if (!Line) {
        const bool Named = Text.find(RequestId) != std::string::npos;
        Story.Unreadable += Named ? 1 : 0;
      } else if (Line->field("request") == RequestId) {
        Story.Lines.push_back(std::move(*Line));
      } else if (!isRequestEvent(Line->Event)) {
        Others.push_back(std::move(*Line));
      }
    }
  }
  const auto Spans = spansOf(Story.Lines);
  std::stable_sort(Story.Lines.begin(), Story.Lines.end(),
                   [&](const log_line &Left, const log_line &Right) {
                     return Spans.at(Left.Node).First <
                            Spans.at(Right.Node).First;
                   });
  for (auto &Line : Others) {
    const auto Span = Spans.find(Line.Node);
    if (Span != Spans.end() && Line.Time >= Span->second.First - AroundMicros &&
        Line.Time <= Span->second.Last + AroundMicros) {
      Story.Around.push_back(std::move(Line));
    }
  }
  return Story;
}

void printStory(const request_story &Story, std::string_view RequestId,
                std::ostream &Out) {
  const auto Spans = spansOf(Story.Lines);
  Out << "request " << RequestId << "\n";
  if (Story.Lines.empty()) {
    Out << "  no line: it reached no router whose log was given, or its lines "
           "were left out under load (log_lines_left_out)\n";
  }
  printLines(Story.Lines, Spans, Out);
  if (Story.Unreadable > 0) {
    Out << "  " << Story.Unreadable << " lines that name it are cut\n";
  }
  if (!Story.Around.empty()) {
    Out << "on the same VMs from 1 s before to 1 s after\n";
    printLines(Story.Around, Spans, Out);
  }
}

} // namespace arbutus::cli
