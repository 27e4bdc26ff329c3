#ifndef ARBUTUS_BASE_RESULT_H
#define ARBUTUS_BASE_RESULT_H

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

namespace arbutus {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// A value or a typed error. Access to the side that is not set throws
/// `outcome::bad_result_access`, which indicates a bug in the calling code.
template <class T, class E> using result = outcome::checked<T, E>;

} // namespace arbutus

#endif
