#include "store/nearest_name.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace arbutus::store {

namespace {

/// Longer names are not compared, because the cost is quadratic.
constexpr std::size_t MaxCompared = 64;

std::size_t editDistance(std::string_view Left, std::string_view Right) {
  std::vector<std::size_t> Row(Right.size() + 1);
  std::iota(Row.begin(), Row.end(), 0);
  for (std::size_t I = 1; I <= Left.size(); ++I) {
    std::size_t Diagonal = Row[0];
    Row[0] = I;
    for (std::size_t J = 1; J <= Right.size(); ++J) {
      const std::size_t Above = Row[J];
      const std::size_t Replaced = Left[I - 1] == Right[J - 1] ? 0 : 1;
      Row[J] = std::min({Above + 1, Row[J - 1] + 1, Diagonal + Replaced});
      Diagonal = Above;
    }
  }
  return Row.back();
}

} // namespace

std::string_view nearestName(std::string_view Name,
                             const std::vector<std::string_view> &Known) {
  std::string_view Best;
  std::size_t BestDistance = std::max<std::size_t>(2, Name.size() / 3) + 1;
  if (Name.size() > MaxCompared) {
    return Best;
  }
  for (const auto Candidate : Known) {
    const std::size_t Distance = editDistance(Name, Candidate);
    if (Distance < BestDistance) {
      BestDistance = Distance;
      Best = Candidate;
    }
  }
  return Best;
}

std::string suggestion(std::string_view Name,
                       const std::vector<std::string_view> &Known) {
  const auto Nearest = nearestName(Name, Known);
  if (Nearest.empty()) {
    return {};
  }
  return "; did you mean \"" + std::string(Nearest) + "\"?";
}

} // namespace arbutus::store
