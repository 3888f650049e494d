#include "main/trace_files.h"

#include "main/command_support.h"

#include <filesystem>
#include <utility>
#include <variant>

namespace gypsum {

namespace {

/** Returns the parsed value; prints the faults if parsing failed. */
template<typename Value>
std::optional<Value> Accept(const std::string& aPath,
                            std::variant<Value, Faults> aResult)
{
  if (const auto* const faults = std::get_if<Faults>(&aResult)) {
    PrintFaults(aPath, *faults);
    return std::nullopt;
  }
  return std::get<Value>(std::move(aResult));
}

} // namespace

std::optional<TraceFiles> ReadTraceFiles(const std::string& aPath)
{
  const auto text = ReadFile(aPath);
  auto trace = text ? Accept(aPath, ParseTrace(*text)) : std::nullopt;
  if (!trace) {
    return std::nullopt;
  }
  const std::string manifestPath =
    (std::filesystem::path(aPath).parent_path() / trace->manifest).string();
  const auto manifestText = ReadFile(manifestPath);
  auto manifest = manifestText
                    ? Accept(manifestPath, ParseManifest(*manifestText))
                    : std::nullopt;
  if (!manifest) {
    return std::nullopt;
  }
  return TraceFiles{ std::move(*trace), std::move(*manifest) };
}

} // namespace gypsum
