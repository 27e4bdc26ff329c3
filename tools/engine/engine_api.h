#ifndef ARBUTUS_TOOLS_ENGINE_ENGINE_API_H
#define ARBUTUS_TOOLS_ENGINE_ENGINE_API_H

#include "common/engine/engine_core.h"
#include "common/http_server.h"
#include "common/lagged.h"
#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace arbutus::tools {

struct engine_api_options {
  duration LoadLag{};
  duration CacheLag{};
  double CacheGapPercent = 0;
};

/// HTTP interface of the engine, in the shape of public model APIs.
class engine_api {
public:
  engine_api(http_server &Server, const engine_options &Options,
             engine_api_options Api);

  /// Sets a fault from `KIND=VALUE`; false if the item is malformed.
  [[nodiscard]] bool setFault(const std::string &Item);

  void handle(const http_request &Request,
              const std::shared_ptr<http_exchange> &Exchange);

private:
  /// An answer that is being produced.
  struct answer {
    std::shared_ptr<http_exchange> Exchange;
    std::string RequestId;
    std::string Model;
    bool Stream = false;
    int MaxTokens = 0;
    admission Admission{};
    std::string Content;
  };

  struct chat_body {
    chat_request Request;
    bool Stream = false;
  };

  void chat(const http_request &Request,
            const std::shared_ptr<http_exchange> &Exchange);
  void beginAnswer(const chat_body &Body, const admission &Admission,
                   const std::shared_ptr<http_exchange> &Exchange);
  void admin(const http_request &Request, http_exchange &Exchange);
  void order(const nlohmann::json &Body, http_exchange &Exchange);
  void answerLoad(http_exchange &Exchange);
  void answerCacheEvents(const http_request &Request, http_exchange &Exchange);
  void exportCache(const nlohmann::json &Body, http_exchange &Exchange);
  void importCache(const nlohmann::json &Body, http_exchange &Exchange);

  /// Writes out the core's events and schedules its next wake-up.
  void pump();
  void carryOut(const engine_event &Event);
  void writeToken(answer &Answer, const engine_event &Event);
  static void complete(answer &Answer);

  [[nodiscard]] nlohmann::json loadJson(const engine_load &Load,
                                        duration Age) const;

  http_server &Server;
  engine_options Options;
  engine_api_options Api;
  engine_core Core;
  lagged<engine_load> Loads;
  std::map<generation_id, answer> Answers;
  std::optional<instant> WakeAt;
  std::int64_t Incarnation;
  std::uint64_t LastGeneratedId = 0;
};

} // namespace arbutus::tools

#endif
