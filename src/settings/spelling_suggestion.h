#ifndef ARBUTUS_SETTINGS_SPELLING_SUGGESTION_H
#define ARBUTUS_SETTINGS_SPELLING_SUGGESTION_H

#include <string>
#include <string_view>
#include <vector>

namespace arbutus::settings {

/// Returns the candidate with the smallest edit distance to `Word`, or an empty
/// string when `Word` is unlikely to be a typing error of any of them. Ignores
/// case and treats `-` and `_` as equal.
[[nodiscard]] std::string
suggestSpelling(std::string_view Word,
                const std::vector<std::string> &Candidates);

} // namespace arbutus::settings

#endif
