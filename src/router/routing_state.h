#ifndef ARBUTUS_ROUTER_ROUTING_STATE_H
#define ARBUTUS_ROUTER_ROUTING_STATE_H

#include "membership/node_session.h"
#include "store/config_view.h"

#include <memory>
#include <vector>

namespace arbutus::router {

/// State that the request path reads under RCU: the active configuration and
/// the live nodes. A request keeps a reference to the view, so that names and
/// addresses stay valid until it ends.
struct routing_state {
  std::shared_ptr<const store::config_view> View =
      std::make_shared<const store::config_view>();
  std::shared_ptr<const std::vector<membership::live_node>> Nodes =
      std::make_shared<const std::vector<membership::live_node>>();
};

} // namespace arbutus::router

#endif
