#include "store/request_table.h"

#include <utility>

namespace arbutus::store {

namespace {

std::size_t bytesOf(const request_record &Record) noexcept {
  return Record.Id.size() + Record.Answer.size();
}

} // namespace

const request_record *request_table::find(std::string_view Id) const {
  const auto Found = ById.find(Id);
  return Found == ById.end() ? nullptr : Found->second;
}

void request_table::add(request_record Record) {
  const auto &Added = Records.emplace_back(std::move(Record));
  ById.emplace(Added.Id, &Added);
  Bytes += bytesOf(Added);
  while (Records.size() > MaxRequestIds ||
         (Bytes > MaxRequestBytes && Records.size() > 1)) {
    dropOldest();
  }
}

void request_table::expire(std::int64_t NowMs) {
  while (!Records.empty() &&
         NowMs - Records.front().AtMs >= RequestRetentionMs) {
    dropOldest();
  }
}

bool request_table::rebuild() {
  for (const auto &Record : Records) {
    if (!ById.emplace(Record.Id, &Record).second) {
      return false;
    }
    Bytes += bytesOf(Record);
  }
  return Records.size() <= MaxRequestIds;
}

void request_table::dropOldest() {
  Bytes -= bytesOf(Records.front());
  ById.erase(Records.front().Id);
  Records.pop_front();
}

} // namespace arbutus::store
