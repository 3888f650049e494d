#include "drivers/log.h"

#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <array>
#include <cstddef>
#include <iostream>
#include <string>

namespace gypsum {

namespace {

namespace expressions = boost::log::expressions;
namespace keywords = boost::log::keywords;

constexpr std::array<std::string_view, 4> kLevels{ "debug",
                                                   "info",
                                                   "warning",
                                                   "error" };

/** Set once before the threads start. */
Severity minSeverity = Severity::Debug;

using Logger = boost::log::sources::severity_logger_mt<Severity>;

Logger& SharedLogger()
{
  static Logger logger;
  return logger;
}

} // namespace

void StartLog(std::string_view aProcess, Severity aLevel)
{
  boost::log::add_common_attributes();
  boost::log::add_console_log(
    std::clog,
    keywords::format =
      (expressions::stream
       << expressions::format_date_time<boost::posix_time::ptime>(
            "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
       << " " << std::string(aProcess) << " " << expressions::smessage),
    keywords::auto_flush = true);
  boost::log::core::get()->set_filter(expressions::attr<Severity>("Severity") >=
                                      aLevel);
  minSeverity = aLevel;
}

bool IsLogged(Severity aSeverity)
{
  return aSeverity >= minSeverity;
}

void Log(const LogLine& aLine)
{
  Log(aLine.severity, aLine.component, aLine.text);
}

void Log(Severity aSeverity,
         std::string_view aComponent,
         std::string_view aText)
{
  BOOST_LOG_SEV(SharedLogger(), aSeverity)
    << kLevels[static_cast<std::size_t>(aSeverity)] << " [" << aComponent
    << "] " << aText;
}

} // namespace gypsum
