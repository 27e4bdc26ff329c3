#ifndef ARBUTUS_STORE_ENTRY_MEMORY_H
#define ARBUTUS_STORE_ENTRY_MEMORY_H

#include <cstddef>

namespace arbutus::store {

/// Bounds the memory of the entries that the lists of one text become. An entry
/// takes the memory of all its fields, however few of them the text names.
class entry_memory {
public:
  explicit entry_memory(std::size_t MaxBytes) noexcept : MaxBytes(MaxBytes) {}

  /// Takes the memory of one more entry. Returns false, also for all later
  /// ones, once they need more than the limit.
  template <class Entry> [[nodiscard]] bool take() noexcept {
    UsedBytes += Copies * sizeof(Entry);
    return UsedBytes <= MaxBytes;
  }

private:
  /// A vector that grows holds its entries in the old and in a new block of
  /// twice the size, and the text that is sent on takes as much as an entry.
  static constexpr std::size_t Copies = 4;

  std::size_t MaxBytes;
  std::size_t UsedBytes = 0;
};

} // namespace arbutus::store

#endif
