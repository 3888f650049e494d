#pragma once

#include "core/gateway/stream_origins.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gypsum {

/** What one gateway knows of the origin of a stream. */
struct OriginKnowledge
{
  std::optional<ExpiringOrigin> origin;
  /** Versions of the service that the registry has listed since the stream can
   * have begun. */
  std::vector<std::string> versions;
  /** Whether no other version can have begun it. */
  bool isVersionListComplete = false;
};

/** A stream that a client resumes, as far as the request tells. */
struct ResumeQuestion
{
  std::string attempt; ///< That began the stream; may be empty.
  std::string service;
  Duration maxAge{}; ///< The stream began at most this long ago.
};

/** How the origin of a stream was found. */
enum class OriginSource
{
  Unknown,
  Record,      ///< A gateway remembers it.
  OnlyVersion, ///< No other version has served.
};

/** The software at which a stream may go on. */
struct ResumeTarget
{
  OriginSource source = OriginSource::Unknown;
  std::string service;
  std::string version;
};

/**
 * Decides where a stream may go on that a client takes up.
 *
 * What the gateways say is combined: a record goes first; without one, a
 * single version is taken if all saw only that one and one of them has seen
 * the whole time. Backend servers don't check the version themselves.
 */
ResumeTarget ResolveOrigin(std::span<const OriginKnowledge> aKnowledge,
                           std::string_view aService);

std::string_view NameOf(OriginSource aSource);

} // namespace gypsum
