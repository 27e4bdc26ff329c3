#ifndef ARBUTUS_STORE_NEAREST_NAME_H
#define ARBUTUS_STORE_NEAREST_NAME_H

#include <string>
#include <string_view>
#include <vector>

namespace arbutus::store {

/// The known name with the fewest edits from `Name`, or an empty one if more
/// than a third of the letters (at least two) would have to change.
[[nodiscard]] std::string_view
nearestName(std::string_view Name, const std::vector<std::string_view> &Known);

/// `; did you mean "x"?`, or an empty text if no known name is near.
[[nodiscard]] std::string
suggestion(std::string_view Name, const std::vector<std::string_view> &Known);

} // namespace arbutus::store

#endif
