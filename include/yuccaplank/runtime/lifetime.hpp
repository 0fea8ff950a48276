// Drops functions that run later than the object that they refer to lives.
#pragma once

#include <memory>
#include <utility>

namespace yuccaplank::runtime {

/// A member of an object whose functions are handed to an executor or to a callback.
class lifetime {
public:
  lifetime() = default;
  lifetime(const lifetime &) = delete;
  lifetime &operator=(const lifetime &) = delete;
  ~lifetime() = default;

  /// The function, which does nothing once this lifetime has ended or has begun anew.
  template <typename Function> auto guard(Function Guarded) const {
    return [Weak = std::weak_ptr<int>(Token), Guarded = std::move(Guarded)](auto &&...Arguments) mutable {
      if (!Weak.expired())
        Guarded(std::forward<decltype(Arguments)>(Arguments)...);
    };
  }

  /// Functions guarded so far do nothing any more.
  void renew() { Token = std::make_shared<int>(0); }

private:
  std::shared_ptr<int> Token = std::make_shared<int>(0);
};

} // namespace yuccaplank::runtime
