#include "pool/team_queue.h"

#include <algorithm>

namespace arbutus::pool {

namespace {

/// Requests from the head that are matched. It bounds the work per grant and
/// how far a request can be passed.
constexpr std::size_t MatchWindow = 16;
/// Times that later requests may go first.
constexpr std::uint32_t MostPassed = 8;
constexpr std::size_t MostPreferred = 4;

} // namespace

bool excludes(const pending_request &Request, upstream_id Upstream) {
  const auto &List = Request.Excluded;
  return std::find(List.begin(), List.end(), Upstream) != List.end();
}

std::optional<pending_request> team_queue::remove(std::uint64_t RequestId) {
  for (std::size_t I = 0; I < Queue.size(); ++I) {
    if (Queue[I].Request.RequestId == RequestId) {
      return takeAt(I);
    }
  }
  return std::nullopt;
}

std::optional<pending_request> team_queue::take(upstream_id Upstream,
                                                instant Now) {
  std::optional<std::size_t> Chosen;
  for (std::size_t I = 0; I < seen(); ++I) {
    const auto &[Request, Passed] = Queue[I];
    if (Request.Deadline <= Now || excludes(Request, Upstream)) {
      continue;
    }
    const bool Prefers = Request.Preferred == Upstream;
    if (!Chosen || Prefers) {
      Chosen = I;
    }
    if (Prefers || Passed >= MostPassed) {
      break;
    }
  }
  if (!Chosen) {
    return std::nullopt;
  }
  for (std::size_t I = 0; I < *Chosen; ++I) {
    ++Queue[I].Passed;
  }
  return takeAt(*Chosen);
}

std::optional<upstream_id> team_queue::firstFit(
    const std::function<std::optional<upstream_id>(const pending_request &)>
        &Choose,
    instant Now) const {
  for (std::size_t I = 0; I < seen(); ++I) {
    if (Queue[I].Request.Deadline > Now) {
      if (const auto Upstream = Choose(Queue[I].Request)) {
        return Upstream;
      }
    }
  }
  return std::nullopt;
}

std::vector<std::uint32_t> team_queue::avoided() const {
  std::vector<std::uint32_t> List;
  if (Queue.empty()) {
    return List;
  }
  for (const auto Candidate : Queue.front().Request.Excluded) {
    const auto End = Queue.begin() + static_cast<std::ptrdiff_t>(seen());
    if (std::all_of(Queue.begin(), End, [&](const auto &Waiter) {
          return excludes(Waiter.Request, Candidate);
        })) {
      List.push_back(number(Candidate));
    }
  }
  return List;
}

std::vector<std::uint32_t> team_queue::preferred() const {
  std::vector<std::uint32_t> List;
  for (std::size_t I = 0; I < seen() && List.size() < MostPreferred; ++I) {
    if (Queue[I].Request.Preferred) {
      List.push_back(number(*Queue[I].Request.Preferred));
    }
  }
  return List;
}

double team_queue::meanEstimate() const {
  double Sum = 0;
  for (std::size_t I = 0; I < seen(); ++I) {
    Sum += Queue[I].Request.EstimatedCost;
  }
  return Queue.empty() ? 0 : Sum / static_cast<double>(seen());
}

std::size_t team_queue::seen() const noexcept {
  return std::min(MatchWindow, Queue.size());
}

pending_request team_queue::takeAt(std::size_t Position) {
  const auto At = Queue.begin() + static_cast<std::ptrdiff_t>(Position);
  auto Request = std::move(At->Request);
  Queue.erase(At);
  return Request;
}

} // namespace arbutus::pool
