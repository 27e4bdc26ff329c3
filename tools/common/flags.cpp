#include "common/flags.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <cstdlib>

namespace arbutus::tools {

namespace {

[[noreturn]] void refuse(const std::string &Name, const std::string &Value,
                         const char *Expected) {
  std::fprintf(stderr, "%s: '%s' is not %s\n", Name.c_str(), Value.c_str(),
               Expected);
  std::exit(2);
}

} // namespace

flags::flags(const char *Usage, int Count, char **Arguments)
    : Values(docopt::docopt(
          Usage, std::vector<std::string>(Arguments + 1, Arguments + Count))) {}

bool flags::given(const std::string &Name) const {
  const auto Found = Values.find(Name);
  if (Found == Values.end() || !Found->second) {
    return false;
  }
  return !Found->second.isBool() || Found->second.asBool();
}

std::string flags::text(const std::string &Name) const {
  return given(Name) ? Values.at(Name).asString() : std::string();
}

std::int64_t flags::integer(const std::string &Name) const {
  const std::string Value = text(Name);
  std::int64_t Result = 0;
  const char *Last = Value.data() + Value.size();
  const auto [End, Error] = std::from_chars(Value.data(), Last, Result);
  if (Error != std::errc() || End != Last || Result < 0) {
    refuse(Name, Value, "a whole number of at least 0");
  }
  return Result;
}

double flags::real(const std::string &Name) const {
  const std::string Value = text(Name);
  char *End = nullptr;
  const double Result = std::strtod(Value.c_str(), &End);
  if (Value.empty() || *End != '\0' || !std::isfinite(Result) || Result < 0) {
    refuse(Name, Value, "a number of at least 0");
  }
  return Result;
}

double flags::percent(const std::string &Name) const {
  const double Result = real(Name);
  if (Result > 100) {
    refuse(Name, text(Name), "a number from 0 to 100");
  }
  return Result;
}

std::uint16_t flags::port(const std::string &Name) const {
  const auto Result = integer(Name);
  if (Result < 1 || Result > 65535) {
    refuse(Name, text(Name), "a port number");
  }
  return static_cast<std::uint16_t>(Result);
}

duration flags::millis(const std::string &Name) const {
  return duration(std::llround(real(Name) * 1e3));
}

duration flags::seconds(const std::string &Name) const {
  return duration(std::llround(real(Name) * 1e6));
}

std::size_t flags::choice(const std::string &Name,
                          const std::vector<std::string> &Allowed) const {
  const auto Found = std::find(Allowed.begin(), Allowed.end(), text(Name));
  if (Found == Allowed.end()) {
    refuse(Name, text(Name), "one of the allowed values");
  }
  return static_cast<std::size_t>(Found - Allowed.begin());
}

std::vector<std::string> flags::list(const std::string &Name) const {
  return splitList(text(Name), ',');
}

std::vector<std::string> splitList(std::string_view Text, char Separator) {
  std::vector<std::string> Items;
  while (!Text.empty()) {
    const auto End = Text.find(Separator);
    if (const auto Item = Text.substr(0, End); !Item.empty()) {
      Items.emplace_back(Item);
    }
    Text = End == std::string_view::npos ? std::string_view()
                                         : Text.substr(End + 1);
  }
  return Items;
}

} // namespace arbutus::tools
