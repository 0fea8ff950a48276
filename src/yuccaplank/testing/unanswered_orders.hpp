// Backend servers that never answer, for tests in which nothing runs.
#pragma once

#include "yuccaplank/dispatch/server_orders.hpp"

namespace yuccaplank::testing {

struct unanswered_orders final : dispatch::server_orders {
  void start(const dispatch::server_target &, dispatch::start_order,
             std::function<void(dispatch::order_reply)>) override {}
  void stop(const dispatch::server_target &, const dispatch::run_key &, std::uint64_t,
            std::function<void(dispatch::order_reply)>) override {}
  void hold(const dispatch::server_target &, const dispatch::hold_order &,
            std::function<void(dispatch::hold_reply)>) override {}
};

} // namespace yuccaplank::testing
