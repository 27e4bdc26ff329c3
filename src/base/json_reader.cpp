#include "base/json_reader.h"

#include "base/log.h"
#include <nlohmann/json.hpp>

#include <atomic>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace arbutus {

namespace {

using nlohmann::json;

/// Heap blocks of the values with the header of the allocator, in bytes.
constexpr std::size_t ArrayBytes = 32;
constexpr std::size_t ObjectBytes = 64;
constexpr std::size_t StringBytes = 48;
/// A vector that grows holds its elements in the old and in a new block of
/// twice the size.
constexpr std::size_t ElementBytes = 3 * sizeof(json);
/// A node of the tree of members, and its place in the list by which the
/// library destroys an object.
constexpr std::size_t MemberBytes = 96 + sizeof(json);
/// Place in the list of open values, which grows like any vector.
constexpr std::size_t OpenBytes = 3 * sizeof(json *);
/// Longer strings have a heap block of their own.
constexpr std::size_t InlineStringBytes = 15;
constexpr std::size_t BlockOverheadBytes = 32;

std::atomic<std::size_t> ProcessMemoryBytes = DefaultJsonMemoryBytes;

std::size_t textBytes(const std::string &Text) noexcept {
  return Text.size() <= InlineStringBytes ? 0
                                          : Text.size() + BlockOverheadBytes;
}

/// Builds the value of a text from the events of the library's parser. Each
/// function returns false to end the parsing.
class json_builder {
public:
  json_builder(const json_limits &Limits, const json_list_receiver &Lists)
      : Limits(Limits), Lists(Lists) {}

  // The names of the functions are those that the library calls.
  // NOLINTBEGIN(readability-identifier-naming)
  bool null() { return addScalar(nullptr, 0); }
  bool boolean(bool Value) { return addScalar(Value, 0); }
  bool number_integer(json::number_integer_t Value) {
    return addScalar(Value, 0);
  }
  bool number_unsigned(json::number_unsigned_t Value) {
    return addScalar(Value, 0);
  }
  bool number_float(json::number_float_t Value, const std::string & /*Text*/) {
    return addScalar(Value, 0);
  }
  bool string(std::string &Value) {
    const std::size_t Bytes = StringBytes + textBytes(Value);
    return addScalar(std::move(Value), Bytes);
  }
  bool binary(json::binary_t & /*Value*/) {
    return fail(json_error::Malformed);
  }

  bool key(std::string &Name) {
    Key = std::move(Name);
    return take(textBytes(Key));
  }
  bool start_object(std::size_t /*Size*/) {
    return open(json::value_t::object, ObjectBytes);
  }
  bool end_object() { return close(); }
  bool start_array(std::size_t /*Size*/) {
    return open(json::value_t::array, ArrayBytes);
  }
  bool end_array() { return close(); }

  bool parse_error(std::size_t /*Position*/, const std::string & /*Token*/,
                   const json::exception & /*Error*/) {
    return fail(json_error::Malformed);
  }
  // NOLINTEND(readability-identifier-naming)

  [[nodiscard]] json takeRoot() { return std::move(Root); }
  /// Why the parsing has ended early.
  [[nodiscard]] json_error error() const noexcept {
    return Error.value_or(json_error::Malformed);
  }

private:
  bool fail(json_error Reason) {
    Error = Reason;
    return false;
  }

  bool take(std::size_t Bytes) {
    Used += Bytes;
    return Used <= Limits.MaxBytes || fail(json_error::TooLarge);
  }

  /// Bytes that a value takes in what contains it.
  std::size_t placeBytes() const {
    if (Open.empty()) {
      return 0;
    }
    return Open.back()->is_array() ? ElementBytes : MemberBytes;
  }

  /// Adds a value to what contains it. The result is valid until the next value
  /// is added there.
  json *add(json Value) {
    if (Open.empty()) {
      Root = std::move(Value);
      return &Root;
    }
    json &Parent = *Open.back();
    if (Parent.is_array()) {
      Parent.push_back(std::move(Value));
      return &Parent.back();
    }
    return &(Parent[Key] = std::move(Value));
  }

  template <class Value> bool addScalar(Value &&Held, std::size_t Bytes) {
    if (!take(placeBytes() + Bytes)) {
      return false;
    }
    add(json(std::forward<Value>(Held)));
    return passElement();
  }

  bool open(json::value_t Type, std::size_t Bytes) {
    if (Open.size() == Limits.MaxDepth) {
      return fail(json_error::TooDeep);
    }
    if (!take(placeBytes() + Bytes + OpenBytes)) {
      return false;
    }
    const bool IsList = Type == json::value_t::array && Open.size() == 1 &&
                        Root.is_object() && Lists.OnList;
    Open.push_back(add(json(Type)));
    if (IsList && Lists.OnList(Key)) {
      ListBytes = Used;
    }
    return true;
  }

  bool close() {
    Open.pop_back();
    if (Open.size() == 1) {
      ListBytes.reset();
    }
    return passElement();
  }

  /// Gives a complete element of a list that is received to the receiver, and
  /// frees it.
  bool passElement() {
    if (!ListBytes || Open.size() != 2) {
      return true;
    }
    json &List = *Open.back();
    const bool GoesOn = Lists.OnElement(List.back());
    List.clear();
    Used = *ListBytes;
    return GoesOn || fail(json_error::Rejected);
  }

  const json_limits &Limits;
  const json_list_receiver &Lists;
  json Root;
  /// The objects and arrays that are not complete, from the outermost on.
  std::vector<json *> Open;
  /// Name of the member whose value follows.
  std::string Key;
  std::size_t Used = 0;
  /// Bytes in use without the elements of the list that is received, if any.
  std::optional<std::size_t> ListBytes;
  std::optional<json_error> Error;
};

} // namespace

void setJsonMemory(std::size_t MaxBytes) noexcept {
  ProcessMemoryBytes.store(MaxBytes);
}

json_limits jsonLimits() noexcept {
  return {MaxJsonDepth, ProcessMemoryBytes.load()};
}

result<json, json_error> readJson(std::string_view Text,
                                  const json_limits &Limits,
                                  const json_list_receiver &Lists) {
  json_builder Builder(Limits, Lists);
  if (json::sax_parse(Text.begin(), Text.end(), &Builder)) {
    return outcome::success(Builder.takeRoot());
  }
  const auto Error = Builder.error();
  if (Error == json_error::TooDeep || Error == json_error::TooLarge) {
    logEvent(log_level::Warning, "json_refused",
             {{"reason", nameOf(Error)},
              {"text_bytes", Text.size()},
              {"memory_bytes", Limits.MaxBytes}});
  }
  return outcome::failure(Error);
}

json parseJson(std::string_view Text) {
  auto Read = readJson(Text, jsonLimits());
  return Read.has_value() ? std::move(Read).value()
                          : json(json::value_t::discarded);
}

} // namespace arbutus
