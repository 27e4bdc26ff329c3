#include "common/flags.h"
#include "common/http_server.h"
#include "common/lagged.h"
#include "common/vm_list.h"

#include <cstdio>
#include <memory>

namespace {

using namespace arbutus;
using namespace arbutus::tools;

constexpr const char *Usage = R"(Stand-in for the platform's list of VMs.

Usage: tool_vmlist --port=PORT [options]

Options:
  --port=PORT   Port on 127.0.0.1.
  --vms=LIST    First list: ADDRESS=FAILURE_DOMAIN, by comma.
  --lag-ms=MS   Lag of the list. [default: 0]
)";

} // namespace

int main(int Count, char **Arguments) {
  const flags Flags(Usage, Count, Arguments);
  const auto First = vmsFromFlag(Flags.list("--vms"));
  if (!First) {
    std::fprintf(stderr, "--vms: %s\n", First.error().Message.c_str());
    return 2;
  }
  http_server Server(Flags.port("--port"));
  lagged<std::string> List(Flags.millis("--lag-ms"));
  List.record(monotonic_clock::now(), vmsToJson(First.value()));
  return Server.run([&List](const http_request &Request,
                            const std::shared_ptr<http_exchange> &Exchange) {
    const auto Now = monotonic_clock::now();
    if (Request.Path != "/vms") {
      Exchange->respondJson(404, R"({"error":{"type":"not_found"}})");
    } else if (Request.Method == "GET") {
      Exchange->respondJson(200, List.at(Now));
    } else if (const auto Next = vmsFromJson(Request.Body); !Next) {
      Exchange->respondJson(400, errorJson(Next.error()));
    } else {
      List.record(Now, vmsToJson(Next.value()));
      Exchange->respondJson(200, "{}");
    }
  });
}
