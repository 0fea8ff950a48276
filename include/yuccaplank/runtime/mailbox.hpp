// Typed message queue between tasks of one process.
#pragma once

#include "yuccaplank/runtime/executor.hpp"

#include <deque>
#include <functional>
#include <memory>

namespace yuccaplank::runtime {

/// Delivers posted messages in order on the executor, never from within post().
template <typename Message> class mailbox {
public:
  mailbox(executor &Executor, std::function<void(Message)> Handler)
      : Executor(Executor), State(std::make_shared<state>()) {
    State->Handler = std::move(Handler);
  }
  mailbox(const mailbox &) = delete;
  mailbox &operator=(const mailbox &) = delete;
  ~mailbox() { State->Handler = nullptr; }

  /// Queues a message; dropped when the mailbox is destroyed before the delivery.
  void post(Message Item) {
    State->Queue.push_back(std::move(Item));
    if (State->Queue.size() > 1)
      return;
    Executor.post([State = State] { deliver(*State); });
  }

private:
  struct state {
    std::deque<Message> Queue;
    std::function<void(Message)> Handler;
  };
  static void deliver(state &State) {
    std::deque<Message> Batch;
    Batch.swap(State.Queue);
    for (auto &Item : Batch)
      if (State.Handler)
        State.Handler(std::move(Item));
  }

  executor &Executor;
  std::shared_ptr<state> State;
};

} // namespace yuccaplank::runtime
