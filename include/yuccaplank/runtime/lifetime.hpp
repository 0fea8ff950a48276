// Disables deferred functions once the object that they refer to no longer exists.
#pragma once

#include <memory>
#include <utility>

namespace yuccaplank::runtime {

/// Member of an object that passes functions referring to itself to executors or as callbacks.
class lifetime {
public:
  lifetime() = default;
  lifetime(const lifetime &) = delete;
  lifetime &operator=(const lifetime &) = delete;
  ~lifetime() = default;

  /// Wraps a function so that it does nothing once this lifetime has ended or has been renewed.
  template <typename Function> auto guard(Function Guarded) const {
    return [Weak = std::weak_ptr<int>(Token), Guarded = std::move(Guarded)](auto &&...Arguments) mutable {
      if (!Weak.expired())
        Guarded(std::forward<decltype(Arguments)>(Arguments)...);
    };
  }

  /// Disables all functions guarded so far.
  void renew() { Token = std::make_shared<int>(0); }

private:
  std::shared_ptr<int> Token = std::make_shared<int>(0);
};

} // namespace yuccaplank::runtime
