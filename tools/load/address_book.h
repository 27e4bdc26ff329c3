#ifndef ARBUTUS_TOOLS_LOAD_ADDRESS_BOOK_H
#define ARBUTUS_TOOLS_LOAD_ADDRESS_BOOK_H

#include <algorithm>
#include <cstddef>
#include <random>
#include <string>
#include <vector>

namespace arbutus::tools {

/// Addresses that one team uses. Fixed targets are drawn by their shares;
/// an asked order is followed from its start, moving on after failures.
class address_book {
public:
  /// Draws by `Shares`, which are repeated or cut to the number of targets;
  /// empty shares are even.
  static address_book fixed(std::vector<std::string> Targets,
                            const std::vector<double> &Shares) {
    address_book Book;
    std::vector<double> Weights(Targets.size(), 1.0);
    for (std::size_t Index = 0; Index < Weights.size() && !Shares.empty();
         ++Index) {
      Weights[Index] = Shares[Index % Shares.size()];
    }
    Book.Addresses = std::move(Targets);
    Book.Draw = {Weights.begin(), Weights.end()};
    return Book;
  }

  /// Follows an order from its first address.
  static address_book ordered(std::vector<std::string> Addresses) {
    address_book Book;
    Book.Addresses = std::move(Addresses);
    Book.Ordered = true;
    return Book;
  }

  [[nodiscard]] std::size_t size() const noexcept { return Addresses.size(); }
  [[nodiscard]] bool isOrdered() const noexcept { return Ordered; }

  /// Address for the next request; requires `size() > 0`.
  template <class Random>
  [[nodiscard]] const std::string &pick(Random &Source) {
    return Addresses[Ordered ? Current : Draw(Source)];
  }

  /// Another address than `Used` if there is one.
  template <class Random>
  [[nodiscard]] const std::string &pickOther(const std::string &Used,
                                             Random &Source) {
    const auto Start = Source() % Addresses.size();
    for (std::size_t Index = 0; Index < Addresses.size(); ++Index) {
      const auto &Item = Addresses[(Start + Index) % Addresses.size()];
      if (Item != Used) {
        return Item;
      }
    }
    return Addresses[Start];
  }

  /// Moves on after a failure at `Failed`, unless that has happened already.
  void moveOn(const std::string &Failed) noexcept {
    if (Ordered && Addresses[Current] == Failed) {
      Current = (Current + 1) % Addresses.size();
    }
  }

private:
  std::vector<std::string> Addresses;
  std::discrete_distribution<std::size_t> Draw;
  std::size_t Current = 0;
  bool Ordered = false;
};

} // namespace arbutus::tools

#endif
