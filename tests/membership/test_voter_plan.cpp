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

struct contact {
  std::uint32_t Node;
  std::uint64_t DirectoryId;
  int SilenceMs;
};

cluster_membership
makeMembership(const std::vector<std::pair<int, int>> &Voters,
               const std::vector<std::pair<int, int>> &Learners) {
  cluster_membership Membership;
  for (const auto &[Node, DirectoryId] : Voters) {
    Membership.Voters.emplace_back(node_id(Node),
                                   data_directory_id(DirectoryId));
  }
  for (const auto &[Node, DirectoryId] : Learners) {
    Membership.Learners.emplace_back(node_id(Node),
                                     data_directory_id(DirectoryId));
  }
  return Membership;
}

std::string describeChange(const cluster_membership &Membership,
                           const std::vector<contact> &Contacts) {
  std::vector<voter_candidate> Nodes;
  Nodes.reserve(Contacts.size());
  for (const auto &Contact : Contacts) {
    Nodes.push_back({node_id{Contact.Node},
                     data_directory_id{Contact.DirectoryId},
                     Now - std::chrono::milliseconds(Contact.SilenceMs)});
  }
  const auto Change = planVoterChange(Membership, Nodes, Now);
  if (!Change) {
    return "none";
  }
  return std::string(nameOf(Change->Kind)) + " " +
         std::to_string(number(Change->Node)) + "/" +
         std::to_string(number(Change->DirectoryId));
}

} // namespace

// Guards against a fleet that stays without its full number of voters after a
// lost data directory or a replaced VM, and against the removal of a voter
// that only pauses.
TEST_CASE("the next change of voters follows from the last contacts") {
  struct row {
    std::string What;
    cluster_membership Membership;
    std::vector<contact> Contacts;
    std::string Expected;
  };
  const auto Three = makeMembership({{1, 0}, {2, 0}, {3, 0}}, {});
  const std::vector<row> Rows = {
      {"all live", Three, {{1, 0, 0}, {2, 0, 0}, {3, 0, 0}}, "none"},
      {"a lost data directory",
       Three,
       {{1, 0, 0}, {2, 9, 0}, {3, 0, 0}},
       "add_learner 2/9"},
      {"its learner is promoted",
       makeMembership({{1, 0}, {3, 0}}, {{2, 9}}),
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
      {"the lost voter is removed once its successor votes",
       makeMembership({{1, 0}, {2, 0}, {3, 0}, {4, 7}}, {}),
       {{1, 0, 0}, {2, 0, 9000}, {3, 0, 0}, {4, 7, 0}},
       "remove 2/0"},
      {"a lost learner is removed",
       makeMembership({{1, 0}, {2, 0}, {3, 0}}, {{4, 7}}),
       {{1, 0, 0}, {2, 0, 0}, {3, 0, 0}, {4, 7, 9000}},
       "remove 4/0"},
      {"a learner with another new data directory is replaced",
       makeMembership({{1, 0}, {3, 0}}, {{2, 9}}),
       {{1, 0, 0}, {2, 10, 0}, {3, 0, 0}},
       "add_learner 2/10"},
      {"six nodes with data directories make five voters",
       Three,
       {{1, 0, 0}, {2, 0, 0}, {3, 0, 0}, {4, 7, 0}, {5, 8, 0}, {6, 9, 0}},
       "add_learner 4/7"},
      {"five voters stay five while two have no contact",
       makeMembership({{1, 0}, {2, 0}, {3, 0}, {4, 7}, {5, 8}}, {}),
       {{1, 0, 0}, {2, 0, 9000}, {3, 0, 0}, {4, 7, 9000}, {5, 8, 0}},
       "none"},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.What);
    CHECK(describeChange(Row.Membership, Row.Contacts) == Row.Expected);
  }
}
