#ifndef ARBUTUS_SETTINGS_NEAREST_H
#define ARBUTUS_SETTINGS_NEAREST_H

#include <string>
#include <string_view>
#include <vector>

namespace arbutus::settings {

/// Returns the candidate with the least edit distance to `Word`, or an empty
/// text when none is close enough to be a likely typing error. Case and the
/// difference between `-` and `_` do not count.
[[nodiscard]] std::string nearest(std::string_view Word,
                                  const std::vector<std::string> &Candidates);

} // namespace arbutus::settings

#endif
