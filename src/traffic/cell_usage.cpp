#include "traffic/cell_usage.h"

#include <algorithm>

namespace arbutus::traffic {

namespace {

constexpr duration IntervalLength = 1s;
/// Enough to compare the teams that compete for a cell.
constexpr std::size_t MaxReportedTeams = 6;

} // namespace

std::vector<std::pair<std::string, team_usage>>
cell_usage::endInterval(instant Now) {
  if (Now - IntervalStart < IntervalLength) {
    return {};
  }
  IntervalStart = Now;
  std::vector<std::pair<std::string, team_usage>> Reported(Teams.begin(),
                                                           Teams.end());
  Teams.clear();
  const bool Contended =
      std::any_of(Reported.begin(), Reported.end(), [](const auto &Entry) {
        return Entry.second.Refused + Entry.second.Expired != 0;
      });
  if (!Contended) {
    return {};
  }
  std::sort(Reported.begin(), Reported.end(),
            [](const auto &Left, const auto &Right) {
              return Left.second.AskedCost > Right.second.AskedCost;
            });
  Reported.resize(std::min(Reported.size(), MaxReportedTeams));
  return Reported;
}

team_usage &cell_usage::usageOf(std::string_view Team) {
  const auto Found = Teams.find(Team);
  return Found != Teams.end()
             ? Found->second
             : Teams.emplace(std::string(Team), team_usage()).first->second;
}

} // namespace arbutus::traffic
