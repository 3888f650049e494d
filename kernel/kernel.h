#pragma once

#include <boost/json/fwd.hpp>

#include <concepts>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <typeindex>
#include <utility>
#include <vector>

namespace gypsum {

class Kernel;

/** Interface of a service: start, stop and a description of its state. */
template<typename T>
concept KernelService = requires(T& aService,
                                 const T& aConstService,
                                 Kernel& aKernel,
                                 boost::json::object& aState)
{
  aService.Start(aKernel);
  aService.Stop();
  aConstService.Describe(aState);
};

/** Thrown for an unknown service or for a name that is already registered. */
class KernelError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/**
 * Owns the services of one process; services look each other up by name.
 *
 * Services start in registration order and stop in reverse order.
 */
class Kernel
{
public:
  /** Adds a service; throws `KernelError` if the name is already in use. */
  template<KernelService T>
  T& Register(std::string aName, std::unique_ptr<T> aService);

  /** Looks up a service; throws `KernelError` if name or type do not match. */
  template<KernelService T>
  T& Find(std::string_view aName) const;

  void Start();
  void Stop();
  /** Describes every service; call on the control thread only. */
  void Describe(boost::json::object& aState) const;

private:
  struct Slot
  {
    std::string name;
    std::type_index type;
    std::shared_ptr<void> service;
    std::function<void(Kernel&)> start;
    std::function<void()> stop;
    std::function<void(boost::json::object&)> describe;
  };

  void Add(Slot aSlot);
  const Slot& FindSlot(std::string_view aName, std::type_index aType) const;

  std::vector<Slot> slots_;
};

template<KernelService T>
T& Kernel::Register(std::string aName, std::unique_ptr<T> aService)
{
  const std::shared_ptr<T> service(std::move(aService));
  T* const raw = service.get();
  Add({ std::move(aName),
        typeid(T),
        service,
        [raw](Kernel& aKernel) { raw->Start(aKernel); },
        [raw] { raw->Stop(); },
        [raw](boost::json::object& aState) { raw->Describe(aState); } });
  return *raw;
}

template<KernelService T>
T& Kernel::Find(std::string_view aName) const
{
  return *static_cast<T*>(FindSlot(aName, typeid(T)).service.get());
}

} // namespace gypsum
