#include "control/messages.h"

namespace arbutus::control {

wire_node toWire(const membership::live_node &Node) {
  wire_node Wire;
  Wire.Node = number(Node.Info.Node);
  Wire.Incarnation = number(Node.Incarnation);
  Wire.Name = Node.Info.Name;
  Wire.FailureDomain = Node.Info.FailureDomain;
  Wire.Region = Node.Info.Region;
  Wire.HttpAddress = Node.Info.HttpAddress;
  Wire.MeshAddress = Node.Info.MeshAddress;
  Wire.IsRouter = Node.Info.IsRouter;
  Wire.IsControl = Node.Info.IsControl;
  Wire.Suspected = Node.Suspected;
  Wire.Leaving = Node.Leaving;
  Wire.AppliedRevision = number(Node.AppliedRevision);
  Wire.TrafficAddress = Node.Info.TrafficAddress;
  return Wire;
}

membership::live_node fromWire(const wire_node &Wire) {
  membership::live_node Node;
  Node.Info.Node = node_id{Wire.Node};
  Node.Incarnation = incarnation{Wire.Incarnation};
  Node.Info.Name = Wire.Name;
  Node.Info.FailureDomain = Wire.FailureDomain;
  Node.Info.Region = Wire.Region;
  Node.Info.HttpAddress = Wire.HttpAddress;
  Node.Info.MeshAddress = Wire.MeshAddress;
  Node.Info.IsRouter = Wire.IsRouter;
  Node.Info.IsControl = Wire.IsControl;
  Node.Suspected = Wire.Suspected;
  Node.Leaving = Wire.Leaving;
  Node.AppliedRevision = revision{Wire.AppliedRevision};
  Node.Info.TrafficAddress = Wire.TrafficAddress;
  return Node;
}

} // namespace arbutus::control
