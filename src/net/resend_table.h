#ifndef ARBUTUS_NET_RESEND_TABLE_H
#define ARBUTUS_NET_RESEND_TABLE_H

#include "base/clock.h"
#include "net/request_numbers.h"
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace arbutus::net {

/// Messages over an unreliable link that are sent again until they are answered
/// or their deadline passes. Used on the thread that runs the io_context only.
template <class Message> class resend_table {
public:
  using send_function = std::function<void(std::uint64_t, const Message &)>;
  /// Takes a message that got no answer in time.
  using expire_function = std::function<void(Message)>;

  /// Unanswered messages are sent again each `Period`.
  resend_table(asio::io_context &Io, std::chrono::milliseconds Period,
               send_function Send, expire_function Expire)
      : Timer(Io), Period(Period), Send(std::move(Send)),
        Expire(std::move(Expire)) {}
  resend_table(const resend_table &) = delete;
  resend_table &operator=(const resend_table &) = delete;
  ~resend_table() = default;

  /// Sends a message at once. Returns its number, which the answer names and
  /// which no other process of this node uses.
  std::uint64_t add(Message Content, instant Deadline) {
    const std::uint64_t Number = ++LastNumber;
    Send(Number, Content);
    Open.emplace(Number, entry{std::move(Content), Deadline});
    arm();
    return Number;
  }

  /// Takes out the message that an answer belongs to; empty if it was answered
  /// before, has expired or is not known.
  [[nodiscard]] std::optional<Message> extract(std::uint64_t Number) {
    auto Taken = Open.extract(Number);
    if (Taken.empty()) {
      return std::nullopt;
    }
    return std::move(Taken.mapped().Content);
  }

  /// Messages without an answer so far.
  [[nodiscard]] std::size_t size() const noexcept { return Open.size(); }

private:
  struct entry {
    Message Content;
    instant Deadline;
  };

  void arm() {
    if (Armed || Open.empty()) {
      return;
    }
    Armed = true;
    Timer.expires_after(Period);
    Timer.async_wait([this](const asio::error_code &Error) {
      if (!Error) {
        Armed = false;
        resend(monotonic_clock::now());
        arm();
      }
    });
  }

  void resend(instant Now) {
    std::vector<Message> Expired;
    for (auto It = Open.begin(); It != Open.end();) {
      if (It->second.Deadline <= Now) {
        Expired.push_back(std::move(It->second.Content));
        It = Open.erase(It);
        continue;
      }
      Send(It->first, It->second.Content);
      ++It;
    }
    for (auto &Content : Expired) {
      Expire(std::move(Content));
    }
  }

  asio::steady_timer Timer;
  std::chrono::milliseconds Period;
  send_function Send;
  expire_function Expire;
  std::uint64_t LastNumber = randomSequenceStart();
  std::map<std::uint64_t, entry> Open;
  bool Armed = false;
};

} // namespace arbutus::net

#endif
