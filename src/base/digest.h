#ifndef ARBUTUS_BASE_DIGEST_H
#define ARBUTUS_BASE_DIGEST_H

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace arbutus {

/// First 16 bytes of an HMAC-SHA256.
using message_mac = std::array<unsigned char, 16>;

/// XXH64 hash for placement and tables; not cryptographic.
[[nodiscard]] std::uint64_t hash64(std::string_view Bytes,
                                   std::uint64_t Seed = 0) noexcept;

/// Lower-case hexadecimal SHA-256.
[[nodiscard]] std::string sha256Hex(std::string_view Bytes);

/// Returns the first 16 bytes of the HMAC-SHA256 of `Bytes`.
[[nodiscard]] message_mac hmac(std::string_view Key, std::string_view Bytes);

/// Compares in a time that depends on the length of the inputs alone, for
/// secrets.
[[nodiscard]] bool equalConstantTime(std::string_view Left,
                                     std::string_view Right) noexcept;

} // namespace arbutus

#endif
