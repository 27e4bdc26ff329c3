#include "base/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <algorithm>

namespace arbutus {

std::uint64_t hash64(std::string_view Bytes, std::uint64_t Seed) noexcept {
  return XXH64(Bytes.data(), Bytes.size(), Seed);
}

std::string sha256Hex(std::string_view Bytes) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Digest{};
  SHA256(reinterpret_cast<const unsigned char *>(Bytes.data()), Bytes.size(),
         Digest.data());
  std::string Text;
  Text.reserve(Digest.size() * 2);
  for (const unsigned char Byte : Digest) {
    Text += Digits[Byte >> 4U];
    Text += Digits[Byte & 15U];
  }
  return Text;
}

message_mac hmac(std::string_view Key, std::string_view Bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Digest{};
  unsigned int Length = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
       reinterpret_cast<const unsigned char *>(Bytes.data()), Bytes.size(),
       Digest.data(), &Length);
  message_mac Mac{};
  std::copy_n(Digest.begin(), Mac.size(), Mac.begin());
  return Mac;
}

bool equalConstantTime(std::string_view Left, std::string_view Right) noexcept {
  return Left.size() == Right.size() &&
         CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

} // namespace arbutus
