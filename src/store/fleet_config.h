#ifndef ARBUTUS_STORE_FLEET_CONFIG_H
#define ARBUTUS_STORE_FLEET_CONFIG_H

#include "base/name_table.h"
#include "store/request_kind.h"
#include "store/service_profile.h"
#include "store/traffic_limits.h"
#include "store/traffic_route.h"
#include "store/traffic_team.h"
#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutus::store {

/// Name of the only configuration object.
inline constexpr std::string_view FleetConfigName = "fleet";

/// The traffic that the fleet routes by host and path, as one document that is
/// replaced whole. Of two documents the one with the higher version is in
/// force, in whatever order they arrive.
struct fleet_config {
  /// Chosen by the operator; larger for a newer document.
  std::uint64_t Version = 0;
  std::vector<traffic_route> Routes;
  std::vector<service_profile> Services;
  /// Teams and their API keys. With any, requests need a key.
  std::vector<traffic_team> Teams;
  traffic_limits Limits;
  /// The document as the operator wrote it, which is returned on reads.
  std::string Document;
  /// Requests need a key also while there is no team: the operator has taken
  /// away the last one.
  bool RequiresKeys = false;

  /// Calls `Visit` with the name and the value of every field.
  template <class Self, class Visitor>
  static void visitFields(Self &Spec, Visitor &Visit) {
    Visit.required("version", Spec.Version);
    Visit.required("routes", Spec.Routes);
    Visit.required("services", Spec.Services);
    Visit.optional("teams", Spec.Teams);
    Visit.optional("limits", Spec.Limits);
    Visit.optional("document", Spec.Document);
    Visit.optional("requires_keys", Spec.RequiresKeys);
  }
  bool operator==(const fleet_config &) const = default;
  MSGPACK_DEFINE(Version, Routes, Services, Teams, Limits, Document,
                 RequiresKeys)
};

} // namespace arbutus::store

#endif
