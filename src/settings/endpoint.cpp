#include "settings/endpoint.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace arbutus::settings {

namespace {

bool isAddress(int Family, const std::string &Text) noexcept {
  std::array<unsigned char, sizeof(in6_addr)> Parsed{};
  return inet_pton(Family, Text.c_str(), Parsed.data()) == 1;
}

std::optional<std::uint16_t> parsePort(std::string_view Text) noexcept {
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Error] = std::from_chars(Text.data(), End, Port);
  if (Text.empty() || Error != std::errc() || Stop != End) {
    return std::nullopt;
  }
  return Port;
}

} // namespace

std::string endpoint::toString() const {
  if (empty()) {
    return {};
  }
  const bool IsV6 = Ip.find(':') != std::string::npos;
  return (IsV6 ? "[" + Ip + "]" : Ip) + ":" + std::to_string(Port);
}

std::optional<endpoint> parseEndpoint(std::string_view Text) {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos) {
    return std::nullopt;
  }
  const auto Port = parsePort(Text.substr(Colon + 1));
  std::string Ip(Text.substr(0, Colon));
  const bool Bracketed = Ip.size() > 2 && Ip.front() == '[' && Ip.back() == ']';
  if (Bracketed) {
    Ip = Ip.substr(1, Ip.size() - 2);
  }
  if (!Port || !isAddress(Bracketed ? AF_INET6 : AF_INET, Ip)) {
    return std::nullopt;
  }
  return endpoint{std::move(Ip), *Port};
}

std::optional<node_id> nodeIdFromAddress(std::string_view Ip) {
  in_addr Address{};
  if (inet_pton(AF_INET, std::string(Ip).c_str(), &Address) != 1) {
    return std::nullopt;
  }
  return node_id{ntohl(Address.s_addr)};
}

std::string nodeIdToAddress(node_id Node) {
  const in_addr Address{htonl(number(Node))};
  std::array<char, INET_ADDRSTRLEN> Text{};
  inet_ntop(AF_INET, &Address, Text.data(), Text.size());
  return Text.data();
}

} // namespace arbutus::settings
