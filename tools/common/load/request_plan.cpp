#include "common/load/request_plan.h"

#include "base/digest.h"
#include "common/content.h"

namespace arbutus::tools {

namespace {

using nlohmann::json;

std::vector<double> weightsOf(const team_profile &Team) {
  std::vector<double> Weights;
  for (const auto &Template : Team.Mix) {
    Weights.push_back(Template.Weight);
  }
  return Weights;
}

} // namespace

request_planner::request_planner(const team_profile &Team, std::string IdPrefix,
                                 std::uint64_t Seed)
    : Team(Team), IdPrefix(std::move(IdPrefix)),
      Random(hash64(Team.Name, Seed)) {
  const auto Weights = weightsOf(Team);
  Mix = {Weights.begin(), Weights.end()};
}

request_plan request_planner::next(const std::string &KnownRef) {
  const auto &Template = Team.Mix[Mix(Random)];
  request_plan Plan;
  Plan.Kind = Template.Kind;
  Plan.Path = Template.Path;
  Plan.TimeoutMs = Template.TimeoutMs;
  Plan.RequestId = IdPrefix + "-" + Team.Name + "-" + std::to_string(++Count);
  if (Plan.Kind == request_kind::ChatStream ||
      Plan.Kind == request_kind::Chat) {
    planChat(Template, Plan);
  } else {
    planPlain(Template, KnownRef, Plan);
  }
  return Plan;
}

void request_planner::planChat(const request_template &Template,
                               request_plan &Plan) {
  const auto Bytes = static_cast<std::size_t>(draw(Template.PromptBytes));
  std::string Text;
  if (Template.SharedPrefixes > 0) {
    const int Prefix = draw({1, Template.SharedPrefixes});
    Text = filler(hash64(Team.Name, static_cast<std::uint64_t>(Prefix)),
                  static_cast<std::size_t>(Template.PrefixBytes));
  }
  Text += Plan.RequestId + " ";
  if (Text.size() < Bytes) {
    Text += filler(Random(), Bytes - Text.size());
  }
  const int MaxTokens = draw(Template.MaxTokens);
  json Messages = json::array({{{"role", "user"}, {"content", Text}}});
  const auto Prompt = promptText(Messages);
  Plan.PromptTokens = promptTokens(Prompt);
  Plan.ExpectedText = answerText(promptHash(Prompt), MaxTokens);
  Plan.Body = json{{"model", Template.Model},
                   {"messages", std::move(Messages)},
                   {"max_tokens", MaxTokens},
                   {"stream", Plan.Kind == request_kind::ChatStream}}
                  .dump();
}

void request_planner::planPlain(const request_template &Template,
                                const std::string &KnownRef,
                                request_plan &Plan) {
  const std::string Account =
      Team.Name + "-" + std::to_string(draw({0, Template.Accounts - 1}));
  const bool Post = Template.Kind == request_kind::Post;
  Plan.Ref = Post || KnownRef.empty() ? Plan.RequestId : KnownRef;
  Plan.WithKey = Post && Template.WithKey;
  const bool ByRef = Plan.Path.find("{ref}") != std::string::npos;
  const bool ByAccount = Plan.Path.find("{account}") != std::string::npos;
  if (Post || ByRef) {
    Plan.ExpectedField = "ref";
    Plan.ExpectedValue = Plan.Ref;
  } else if (ByAccount) {
    Plan.ExpectedField = "account";
    Plan.ExpectedValue = Account;
  }
  Plan.Path =
      substitute(substitute(Plan.Path, "ref", Plan.Ref), "account", Account);
  if (Post) {
    json Body = Template.Body;
    for (auto &Field : Body) {
      if (Field.is_string()) {
        Field =
            substitute(substitute(Field.get<std::string>(), "ref", Plan.Ref),
                       "account", Account);
      }
    }
    Plan.Body = Body.dump();
  }
}

int request_planner::draw(int_range Range) {
  return std::uniform_int_distribution<int>(Range.Least, Range.Most)(Random);
}

std::string request_planner::filler(std::uint64_t Seed,
                                    std::size_t Bytes) const {
  static constexpr std::string_view Letters = "etaoin shrdlucmfwypvbgk jqxz";
  std::minstd_rand Letter(static_cast<std::uint32_t>(Seed | 1U));
  std::string Result(Bytes, ' ');
  for (auto &Character : Result) {
    Character = Letters[Letter() % Letters.size()];
  }
  return Result;
}

std::string substitute(std::string Text, const std::string &Name,
                       const std::string &Value) {
  const std::string Marker = "{" + Name + "}";
  for (auto At = Text.find(Marker); At != std::string::npos;
       At = Text.find(Marker, At + Value.size())) {
    Text.replace(At, Marker.size(), Value);
  }
  return Text;
}

} // namespace arbutus::tools
