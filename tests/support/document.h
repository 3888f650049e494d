#pragma once

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

#include <algorithm>
#include <fstream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gypsum::tests {

/** Table rows of a Markdown page whose first cell is a name in backquotes:
 * the cells of each row by that name. */
inline std::map<std::string, std::vector<std::string>> TableRows(
  const std::string& aPath)
{
  std::map<std::string, std::vector<std::string>> rows;
  std::ifstream in(aPath);
  std::string line;
  while (std::getline(in, line)) {
    std::vector<std::string> cells;
    boost::split(cells, line, boost::is_any_of("|"));
    if (cells.size() < 3 || cells[1].find('`') == std::string::npos) {
      continue;
    }
    std::ranges::for_each(cells, [](std::string& aCell) {
      boost::trim_if(aCell, boost::is_any_of(" `"));
    });
    rows.emplace(cells[1],
                 std::vector<std::string>(cells.begin() + 1, cells.end() - 1));
  }
  return rows;
}

} // namespace gypsum::tests
