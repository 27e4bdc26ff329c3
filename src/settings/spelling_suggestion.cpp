#include "settings/spelling_suggestion.h"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace arbutus::settings {

namespace {

constexpr std::size_t MinPrefixLength = 3;

std::string foldCase(std::string_view Text) {
  std::string Folded(Text);
  for (char &Character : Folded) {
    Character = Character == '-' ? '_'
                                 : static_cast<char>(std::tolower(
                                       static_cast<unsigned char>(Character)));
  }
  return Folded;
}

/// Damerau-Levenshtein distance: the number of insertions, deletions,
/// replacements and swaps of adjacent characters.
std::size_t editDistance(std::string_view Left, std::string_view Right) {
  std::vector<std::size_t> BeforeLast(Right.size() + 1);
  std::vector<std::size_t> Last(Right.size() + 1);
  std::vector<std::size_t> Row(Right.size() + 1);
  std::iota(Row.begin(), Row.end(), std::size_t{0});
  for (std::size_t I = 1; I <= Left.size(); ++I) {
    BeforeLast.swap(Last);
    Last.swap(Row);
    Row[0] = I;
    for (std::size_t J = 1; J <= Right.size(); ++J) {
      const bool Equal = Left[I - 1] == Right[J - 1];
      Row[J] = std::min(
          {Last[J - 1] + (Equal ? 0 : 1), Last[J] + 1, Row[J - 1] + 1});
      if (I > 1 && J > 1 && Left[I - 1] == Right[J - 2] &&
          Left[I - 2] == Right[J - 1]) {
        Row[J] = std::min(Row[J], BeforeLast[J - 2] + 1);
      }
    }
  }
  return Row.back();
}

/// Edit distance, but a prefix of the candidate counts as one error.
std::size_t distance(std::string_view Word, std::string_view Candidate) {
  if (Word.size() >= MinPrefixLength && Candidate.rfind(Word, 0) == 0) {
    return Word.size() == Candidate.size() ? 0 : 1;
  }
  return editDistance(Word, Candidate);
}

} // namespace

std::string suggestSpelling(std::string_view Word,
                            const std::vector<std::string> &Candidates) {
  // With more than a third of the word wrong, a suggestion would mislead.
  const std::size_t MaxErrors = std::max<std::size_t>(1, Word.size() / 3);
  std::size_t MinErrors = MaxErrors + 1;
  std::string Suggestion;
  const std::string Folded = foldCase(Word);
  for (const auto &Candidate : Candidates) {
    const std::size_t Errors = distance(Folded, foldCase(Candidate));
    if (Errors < MinErrors) {
      MinErrors = Errors;
      Suggestion = Candidate;
    }
  }
  return Suggestion;
}

} // namespace arbutus::settings
