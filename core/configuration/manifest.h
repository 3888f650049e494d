#pragma once

#include "core/configuration/fault.h"
#include "core/identity.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace gypsum {

enum class ServiceKind
{
  Engine, ///< A model engine that batches.
  Plain,  ///< An ordinary service, such as bookings.
};

/** A slot for one backend server with its agent. */
struct Replica
{
  std::string name;
  std::string service;
  std::string zone;
  std::string address; ///< `IPv4:port` of the agent's peer socket.
};

/** The slots that owned the keys of a service, up to some revision. */
struct OwnerSet
{
  Revision revision = 0;
  std::vector<Slot> slots;
};

/** A set of interchangeable replicas. */
struct ServiceSpec
{
  std::string name;
  ServiceKind kind = ServiceKind::Plain;
  std::uint32_t concurrency = 1; ///< Calls at once in one backend server.
  std::string model;             ///< Model version that engines must hold.
  std::vector<std::string> replicas;
  std::vector<OwnerSet> formerOwners; ///< Whose VMs may still run.
  std::vector<Slot> destroyedSlots;   ///< Whose VMs never run again.
};

/** One step of a pipeline. */
struct StageSpec
{
  std::string name;
  std::string service;
  std::string operation; ///< HTTP path at the backend server.
  bool isRepeatable = true;
};

/** What callers ask for by name. */
struct Pipeline
{
  std::string name;
  Duration deadline{};
  std::uint32_t priority = 1; ///< Zero is the most urgent class.
  std::vector<StageSpec> stages;
};

struct Customer
{
  std::string name;
  std::uint32_t weight = 1;
};

/**
 * The whole configuration of a fleet, as the users' build pipeline makes it.
 *
 * Immutable once parsed; shared between threads as `ManifestPtr`.
 */
struct Manifest
{
  Revision revision = 0;
  std::string name;
  std::map<std::string, std::string, std::less<>> zones; ///< To data centre.
  std::map<std::string, ServiceSpec, std::less<>> services;
  std::map<std::string, Replica, std::less<>> replicas;
  std::map<std::string, Pipeline, std::less<>> pipelines;
  std::map<std::string, Customer, std::less<>> customers;
  std::string text; ///< As published, to hand to peers.

  const ServiceSpec* FindService(std::string_view aName) const;
  const Replica* FindReplica(std::string_view aName) const;
  const Pipeline* FindPipeline(std::string_view aName) const;
  const Customer* FindCustomer(std::string_view aName) const;
};

using ManifestPtr = std::shared_ptr<const Manifest>;

/** The slots that own the keys of a service by this manifest. */
OwnerSet CurrentOwners(const Manifest& aManifest, const ServiceSpec& aService);

/** Parses and validates a whole manifest; reports every fault it has. */
std::variant<ManifestPtr, Faults> ParseManifest(std::string_view aText);

} // namespace gypsum
