#ifndef ARBUTUS_TRAFFIC_CELL_USAGE_H
#define ARBUTUS_TRAFFIC_CELL_USAGE_H

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace arbutus::traffic {

/// What one team asked of a cell and received there in an interval.
struct team_usage {
  double AskedCost = 0;
  double SentCost = 0;
  std::uint32_t SentRequests = 0;
  /// Requests that were refused on arrival.
  std::uint32_t Refused = 0;
  /// Requests that were queued and not sent in time.
  std::uint32_t Expired = 0;
};

/// Counts per team what a cell is asked for and what it sends, to show in the
/// log how its capacity was divided. Not thread-safe; the current time is
/// always an argument.
class cell_usage {
public:
  void recordAsked(std::string_view Team, double Cost) {
    usageOf(Team).AskedCost += Cost;
  }
  void recordSent(std::string_view Team, double Cost) {
    auto &Usage = usageOf(Team);
    Usage.SentCost += Cost;
    ++Usage.SentRequests;
  }
  void recordRefused(std::string_view Team) { ++usageOf(Team).Refused; }
  void recordExpired(std::string_view Team) { ++usageOf(Team).Expired; }

  /// Ends the interval once it has lasted a second. Returns the teams with the
  /// highest costs asked for, highest first, if a request was refused or
  /// expired in the interval; else nothing.
  [[nodiscard]] std::vector<std::pair<std::string, team_usage>>
  endInterval(instant Now);

private:
  team_usage &usageOf(std::string_view Team);

  std::map<std::string, team_usage, std::less<>> Teams;
  instant IntervalStart{};
};

} // namespace arbutus::traffic

#endif
