#ifndef ARBUTUS_BASE_RESULT_H
#define ARBUTUS_BASE_RESULT_H

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

namespace arbutus {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// A value or a typed error. Reading the wrong side throws
/// `outcome::bad_result_access`, which is a fault of the caller.
template <class T, class E> using result = outcome::checked<T, E>;

} // namespace arbutus

#endif
