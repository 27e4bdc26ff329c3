#include "pool/team_queue.h"

#include <algorithm>

namespace arbutus::pool {

namespace {

/// Number of requests from the head that are matched to upstreams. It bounds
/// the work per grant and how far a request can be overtaken.
constexpr std::size_t MatchWindow = 16;
/// Times that a request may be overtaken by later ones.
constexpr std::uint32_t MaxSkips = 8;
constexpr std::size_t MaxPreferred = 4;

} // namespace

bool excludes(const pending_request &Request, upstream_id Upstream) {
  const auto &List = Request.Excluded;
  return std::find(List.begin(), List.end(), Upstream) != List.end();
}

std::optional<pending_request> team_queue::remove(std::uint64_t RequestId) {
  for (std::size_t I = 0; I < Queue.size(); ++I) {
    if (Queue[I].Request.RequestId == RequestId) {
      return removeAt(I);
    }
  }
  return std::nullopt;
}

std::optional<pending_request> team_queue::popFor(upstream_id Upstream,
                                                  instant Now) {
  std::optional<std::size_t> Chosen;
  for (std::size_t I = 0; I < matchWindowSize(); ++I) {
    const auto &[Request, SkipCount] = Queue[I];
    if (Request.Deadline <= Now || excludes(Request, Upstream)) {
      continue;
    }
    const bool Prefers = Request.Preferred == Upstream;
    if (!Chosen || Prefers) {
      Chosen = I;
    }
    if (Prefers || SkipCount >= MaxSkips) {
      break;
    }
  }
  if (!Chosen) {
    return std::nullopt;
  }
  for (std::size_t I = 0; I < *Chosen; ++I) {
    ++Queue[I].SkipCount;
  }
  return removeAt(*Chosen);
}

std::optional<upstream_id> team_queue::firstFit(
    const std::function<std::optional<upstream_id>(const pending_request &)>
        &Choose,
    instant Now) const {
  for (std::size_t I = 0; I < matchWindowSize(); ++I) {
    if (Queue[I].Request.Deadline > Now) {
      if (const auto Upstream = Choose(Queue[I].Request)) {
        return Upstream;
      }
    }
  }
  return std::nullopt;
}

std::vector<std::uint32_t> team_queue::commonExclusions() const {
  std::vector<std::uint32_t> List;
  if (Queue.empty()) {
    return List;
  }
  for (const auto Candidate : Queue.front().Request.Excluded) {
    const auto End =
        Queue.begin() + static_cast<std::ptrdiff_t>(matchWindowSize());
    if (std::all_of(Queue.begin(), End, [&](const auto &Pending) {
          return excludes(Pending.Request, Candidate);
        })) {
      List.push_back(number(Candidate));
    }
  }
  return List;
}

std::vector<std::uint32_t> team_queue::preferred() const {
  std::vector<std::uint32_t> List;
  for (std::size_t I = 0; I < matchWindowSize() && List.size() < MaxPreferred;
       ++I) {
    if (Queue[I].Request.Preferred) {
      List.push_back(number(*Queue[I].Request.Preferred));
    }
  }
  return List;
}

double team_queue::meanEstimate() const {
  double Sum = 0;
  for (std::size_t I = 0; I < matchWindowSize(); ++I) {
    Sum += Queue[I].Request.EstimatedCost;
  }
  return Queue.empty() ? 0 : Sum / static_cast<double>(matchWindowSize());
}

std::size_t team_queue::matchWindowSize() const noexcept {
  return std::min(MatchWindow, Queue.size());
}

pending_request team_queue::removeAt(std::size_t Position) {
  const auto At = Queue.begin() + static_cast<std::ptrdiff_t>(Position);
  auto Request = std::move(At->Request);
  Queue.erase(At);
  return Request;
}

} // namespace arbutus::pool
