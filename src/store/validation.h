#ifndef ARBUTUS_STORE_VALIDATION_H
#define ARBUTUS_STORE_VALIDATION_H

#include "store/field_error.h"
#include "store/resource.h"

#include <string_view>
#include <vector>

namespace arbutus::store {

/// Largest length of a request id, in bytes.
inline constexpr std::size_t MaxRequestIdBytes = 128;

/// Every fault of a name and of the values of a spec, without regard to other
/// objects. Paths start with `name` or `spec.`.
[[nodiscard]] std::vector<field_error> checkValues(std::string_view Name,
                                                   const resource_spec &Spec);

/// The fault of a request id, or none.
[[nodiscard]] std::vector<field_error>
checkRequestId(std::string_view RequestId);

} // namespace arbutus::store

#endif
