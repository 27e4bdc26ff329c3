#ifndef ARBUTUS_TOOLS_SERVICE_SERVICE_API_H
#define ARBUTUS_TOOLS_SERVICE_SERVICE_API_H

#include "common/http_server.h"
#include "common/lagged.h"
#include "common/service/execution_log.h"
#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>

namespace arbutus::tools {

enum class service_kind { Ledger, Shop };

struct service_faults {
  /// Executes, then closes the connection without an answer.
  std::int64_t CloseAfterExecutePercent = 0;
  std::int64_t DelayAnswerMs = 0;
  /// Answers 503 before executing.
  std::int64_t FailPercent = 0;
};

struct service_options {
  service_kind Kind = service_kind::Ledger;
  std::uint16_t Port = 0;
  std::uint64_t Seed = 0;
  std::string Record;
  duration WorkTime{};
  /// Requests that are worked on together; the others wait in order.
  int Slots = 64;
  duration LoadLag{};
  service_faults Faults;
};

/// HTTP interface of a plain service that records every execution.
class service_api {
public:
  service_api(http_server &Server, const service_options &Options);

  [[nodiscard]] bool valid() const noexcept { return Log.valid(); }

  void handle(const http_request &Request,
              const std::shared_ptr<http_exchange> &Exchange);

private:
  struct job {
    http_request Request;
    std::shared_ptr<http_exchange> Exchange;
  };

  struct answer {
    int Status;
    std::string Body;
  };

  struct load_sample {
    int Running = 0;
    int Waiting = 0;
    int MaxRunning = 0;
    std::int64_t Completed = 0;
    std::int64_t Refused = 0;
  };

  void start(job Job);
  void finish(const job &Job);
  void send(const job &Job, answer Answer);
  [[nodiscard]] answer execute(const http_request &Request);
  [[nodiscard]] answer executePost(const http_request &Request);
  [[nodiscard]] answer lookUp(const http_request &Request);
  void admin(const http_request &Request, http_exchange &Exchange);
  void answerLoad(http_exchange &Exchange);
  [[nodiscard]] bool draw(std::int64_t Percent);
  void recordLoad();

  http_server &Server;
  service_options Options;
  execution_log Log;
  std::mt19937_64 Random;
  std::deque<job> Queue;
  load_sample Load;
  lagged<load_sample> Loads;
  std::int64_t Incarnation;
};

} // namespace arbutus::tools

#endif
