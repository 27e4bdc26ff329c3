#ifndef ARBUTUS_STORE_FIELD_ERROR_H
#define ARBUTUS_STORE_FIELD_ERROR_H

#include "base/name_table.h"
#include <msgpack.hpp>

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace arbutus::store {

/// Faults of one object that are reported. A text can have more faults than
/// bytes, and the answer to a write is remembered for a day.
inline constexpr std::size_t MaxFieldErrors = 100;

/// What is wrong with one field. The numbers are part of the log format.
enum class field_code : int {
  Missing = 0,
  UnknownField = 1,
  WrongType = 2,
  OutOfRange = 3,
  BadFormat = 4,
  UnknownValue = 5,
  Duplicate = 6,
  NoSuchObject = 7,
  NotAllowed = 8,
  Malformed = 9,
};

/// One fault of a submitted object.
struct field_error {
  /// Path of the field, for example `spec.routes[1].method`.
  std::string Path;
  field_code Code = field_code::Missing;
  std::string Message;

  bool operator==(const field_error &) const = default;
  MSGPACK_DEFINE(Path, Code, Message)
};

/// Adds a fault, unless there are as many already as are reported.
inline void addFault(std::vector<field_error> &Errors, field_error Fault) {
  if (Errors.size() < MaxFieldErrors) {
    Errors.push_back(std::move(Fault));
  }
}

} // namespace arbutus::store

namespace arbutus {

template <> struct name_table<store::field_code> {
  static constexpr name_row<store::field_code> Rows[] = {
      {store::field_code::Missing, "missing"},
      {store::field_code::UnknownField, "unknown_field"},
      {store::field_code::WrongType, "wrong_type"},
      {store::field_code::OutOfRange, "out_of_range"},
      {store::field_code::BadFormat, "bad_format"},
      {store::field_code::UnknownValue, "unknown_value"},
      {store::field_code::Duplicate, "duplicate"},
      {store::field_code::NoSuchObject, "no_such_object"},
      {store::field_code::NotAllowed, "not_allowed"},
      {store::field_code::Malformed, "malformed"},
  };
};

} // namespace arbutus

MSGPACK_ADD_ENUM(arbutus::store::field_code)

#endif
