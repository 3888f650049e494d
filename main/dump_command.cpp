#include "main/dump_command.h"

#include "core/configuration/section_reader.h"
#include "drivers/http/http_client.h"
#include "main/commands.h"

#include <iostream>

namespace gypsum {

namespace {

constexpr unsigned kOk = 200;
constexpr std::chrono::seconds kDumpTimeout{ 10 };

} // namespace

int RunDumpCommand(Arguments aArguments)
{
  TCLAP::CmdLine line("Prints the state of a process.", ' ', kVersion);
  TCLAP::SwitchArg json("j", "json", "print JSON", line);
  TCLAP::UnlabeledValueArg<std::string> address(
    "address", "HTTP address of the process", true, "", "IPv4:PORT", line);
  Parse(line, aArguments);
  if (!IsAddress(address.getValue())) {
    throw TCLAP::ArgParseException(
      "expected IPv4:PORT, got '" + address.getValue() + "'", "address");
  }
  HttpClient client(address.getValue());
  HttpRequest request{ "GET", "/dump", {}, {}, {} };
  request.query = json.getValue() ? "format=json" : "";
  const auto result = client.Call(request, ConnectionUse::Fresh, kDumpTimeout);
  if (!result.reply) {
    std::cerr << address.getValue() << ": no dump: " << result.failure << "\n";
    return kExitFailure;
  }
  if (result.reply->status != kOk) {
    std::cerr << address.getValue() << ": no dump: expected status 200, got "
              << result.reply->status << "\n";
    return kExitFailure;
  }
  std::cout << result.reply->body;
  return kExitOk;
}

} // namespace gypsum
