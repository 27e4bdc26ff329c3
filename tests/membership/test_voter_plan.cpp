#include "membership/voter_plan.h"
#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

using namespace arbutus;
using namespace arbutus::membership;
using consensus::cluster_membership;
using consensus::data_directory_id;

namespace {

constexpr instant Now(60s);

struct heard {
  std::uint32_t Node;
  std::uint64_t Disk;
  int SilentMs;
};

cluster_membership setOf(const std::vector<std::pair<int, int>> &Voters,
                         const std::vector<std::pair<int, int>> &Learners) {
  cluster_membership Set;
  for (const auto &[Node, Disk] : Voters) {
    Set.Voters.emplace_back(node_id(Node), data_directory_id(Disk));
  }
  for (const auto &[Node, Disk] : Learners) {
    Set.Learners.emplace_back(node_id(Node), data_directory_id(Disk));
  }
  return Set;
}

std::string planned(const cluster_membership &Set,
                    const std::vector<heard> &Heard) {
  std::vector<voter_candidate> Nodes;
  Nodes.reserve(Heard.size());
  for (const auto &One : Heard) {
    Nodes.push_back({node_id{One.Node}, data_directory_id{One.Disk},
                     Now - std::chrono::milliseconds(One.SilentMs)});
  }
  const auto Change = planVoterChange(Set, Nodes, Now);
  if (!Change) {
    return "none";
  }
  return std::string(nameOf(Change->Kind)) + " " +
         std::to_string(number(Change->Node)) + "/" +
         std::to_string(number(Change->DirectoryId));
}

} // namespace

// Guards against a fleet that stays without its full number of voters after a
// lost disk or a replaced VM, and against the removal of a voter that only
// pauses.
TEST_CASE("the next change of voters follows from who is heard") {
  struct row {
    std::string What;
    cluster_membership Set;
    std::vector<heard> Heard;
    std::string Expected;
  };
  const auto Three = setOf({{1, 0}, {2, 0}, {3, 0}}, {});
  const std::vector<row> Rows = {
      {"all live", Three, {{1, 0, 0}, {2, 0, 0}, {3, 0, 0}}, "none"},
      {"a lost disk",
       Three,
       {{1, 0, 0}, {2, 9, 0}, {3, 0, 0}},
       "add_learner 2/9"},
      {"its learner is promoted",
       setOf({{1, 0}, {3, 0}}, {{2, 9}}),
       {{1, 0, 0}, {2, 9, 0}, {3, 0, 0}},
       "promote 2/0"},
      {"a voter that pauses stays",
       Three,
       {{1, 0, 0}, {2, 0, 4000}, {3, 0, 0}},
       "none"},
      {"a lost voter without a successor stays",
       Three,
       {{1, 0, 0}, {2, 0, 9000}, {3, 0, 0}},
       "none"},
      {"a successor joins for a lost voter",
       Three,
       {{1, 0, 0}, {2, 0, 9000}, {3, 0, 0}, {4, 7, 0}},
       "add_learner 4/7"},
      {"no fourth voter without need",
       Three,
       {{1, 0, 0}, {2, 0, 0}, {3, 0, 0}, {4, 7, 0}},
       "none"},
      {"the lost voter goes once its successor votes",
       setOf({{1, 0}, {2, 0}, {3, 0}, {4, 7}}, {}),
       {{1, 0, 0}, {2, 0, 9000}, {3, 0, 0}, {4, 7, 0}},
       "remove 2/0"},
      {"a learner that is gone is dropped",
       setOf({{1, 0}, {2, 0}, {3, 0}}, {{4, 7}}),
       {{1, 0, 0}, {2, 0, 0}, {3, 0, 0}, {4, 7, 9000}},
       "remove 4/0"},
      {"a learner with yet another disk is replaced",
       setOf({{1, 0}, {3, 0}}, {{2, 9}}),
       {{1, 0, 0}, {2, 10, 0}, {3, 0, 0}},
       "add_learner 2/10"},
      {"six nodes with disks make five voters",
       Three,
       {{1, 0, 0}, {2, 0, 0}, {3, 0, 0}, {4, 7, 0}, {5, 8, 0}, {6, 9, 0}},
       "add_learner 4/7"},
      {"five voters stay five while two are silent",
       setOf({{1, 0}, {2, 0}, {3, 0}, {4, 7}, {5, 8}}, {}),
       {{1, 0, 0}, {2, 0, 9000}, {3, 0, 0}, {4, 7, 9000}, {5, 8, 0}},
       "none"},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.What);
    CHECK(planned(Row.Set, Row.Heard) == Row.Expected);
  }
}
