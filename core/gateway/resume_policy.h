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
  /** Whether the gateway has run and listed versions since then, so that the
   * streams that it began itself are of these. */
  bool hasRunSince = false;
  /** Whether its knowledge of the registry since then has no gap, up to a
   * moment ago: no other version can have begun the stream before. */
  bool isVersionListComplete = false;
};

/** What is known besides of all that may have begun a stream. */
struct OriginCoverage
{
  /** The versions are as of after the question, by the store's word. */
  bool isCurrent = false;
  /** All gateways that may have begun the stream have answered. */
  bool haveAllAnswered = false;
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
 * What the gateways say is combined: a record goes first. Without one, a single
 * version is taken if all saw only that one, and either one of them has
 * followed the registry the whole time and the store has confirmed it since the
 * question, or all gateways that may have begun the stream have answered.
 * Backend servers don't check the version themselves.
 */
ResumeTarget ResolveOrigin(std::span<const OriginKnowledge> aKnowledge,
                           const OriginCoverage& aCoverage,
                           std::string_view aService);
/** Whether a fresh read of the registry may show where the stream goes on. */
bool NeedsCurrentRegistry(std::span<const OriginKnowledge> aKnowledge);

std::string_view NameOf(OriginSource aSource);

} // namespace gypsum
