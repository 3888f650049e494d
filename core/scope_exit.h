#pragma once

#include <utility>

namespace gypsum {

/** Calls a function at the end of its scope, however that is left. */
template<typename Function>
class ScopeExit
{
public:
  explicit ScopeExit(Function aFunction)
    : function_(std::move(aFunction))
  {
  }
  ~ScopeExit() { function_(); }
  ScopeExit(const ScopeExit&) = delete;
  ScopeExit& operator=(const ScopeExit&) = delete;

private:
  Function function_;
};

} // namespace gypsum
