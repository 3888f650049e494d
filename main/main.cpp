#include "main/commands.h"

#include <string>
#include <vector>

int main(int aCount, char** aArguments)
{
  const std::vector<std::string> arguments(aArguments, aArguments + aCount);
  return gypsum::RunCommandLine(arguments);
}
