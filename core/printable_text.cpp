#include "core/printable_text.h"

#include <algorithm>

namespace gypsum {

std::string ToPrintable(std::string_view aText)
{
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  constexpr unsigned kDigitBits = 4;
  constexpr unsigned kDigitMask = 0xF;
  std::string printable;
  std::ranges::for_each(aText.substr(0, kMaxPrintedBytes),
                        [&](unsigned char aByte) {
                          if (aByte >= ' ' && aByte <= '~') {
                            printable.push_back(static_cast<char>(aByte));
                            return;
                          }
                          printable.push_back('%');
                          printable.push_back(kDigits[aByte >> kDigitBits]);
                          printable.push_back(kDigits[aByte & kDigitMask]);
                        });
  if (aText.size() > kMaxPrintedBytes) {
    printable.append("...");
  }
  return printable;
}

} // namespace gypsum
