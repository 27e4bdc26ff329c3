#include "net/http_message.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace arbutus::net {

namespace {

std::string percentDecoded(std::string_view Text) {
  std::string Decoded;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    unsigned int Code = 0;
    if (Text[I] == '%' && I + 2 < Text.size() &&
        std::from_chars(&Text[I + 1], &Text[I + 1] + 2, Code, 16).ptr ==
            &Text[I + 1] + 2) {
      Decoded += static_cast<char>(Code);
      I += 2;
    } else {
      Decoded += Text[I] == '+' ? ' ' : Text[I];
    }
  }
  return Decoded;
}

} // namespace

bool sameHeaderName(std::string_view Left, std::string_view Right) noexcept {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](unsigned char A, unsigned char B) {
                      return std::tolower(A) == std::tolower(B);
                    });
}

std::string_view headerOf(const http_headers &Headers,
                          std::string_view Name) noexcept {
  for (const auto &[Key, Value] : Headers) {
    if (sameHeaderName(Key, Name)) {
      return Value;
    }
  }
  return {};
}

std::string_view pathOf(std::string_view Target) noexcept {
  return Target.substr(0, Target.find('?'));
}

std::string queryValue(std::string_view Target, std::string_view Name) {
  const auto Start = Target.find('?');
  if (Start == std::string_view::npos) {
    return {};
  }
  std::string_view Rest = Target.substr(Start + 1);
  while (!Rest.empty()) {
    const std::string_view Pair = Rest.substr(0, Rest.find('&'));
    Rest.remove_prefix(std::min(Rest.size(), Pair.size() + 1));
    const auto Equal = Pair.find('=');
    if (Pair.substr(0, Equal) == Name) {
      return Equal == std::string_view::npos
                 ? std::string()
                 : percentDecoded(Pair.substr(Equal + 1));
    }
  }
  return {};
}

} // namespace arbutus::net
