#include "core/gateway/store_list.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

namespace gypsum::tests {

namespace {

using State = StoreList::State;

/** A list of a store that decodes the key for the next page to another one. */
struct StoreListFixture
{
  State ReadAll()
  {
    while (list.GetState() == State::Reading) {
      const auto decoded = decodedTo.find(list.After());
      std::string after =
        decoded == decodedTo.end() ? list.After() : decoded->second;
      auto next = keys.upper_bound(after);
      if (next == keys.end()) {
        return list.OnPage({});
      }
      const bool hasMore = std::next(next) != keys.end();
      list.OnPage({ next->first, 1, hasMore });
    }
    return list.GetState();
  }

  std::map<std::string, int> keys{ { "a", 1 }, { "b", 1 }, { "c", 1 } };
  std::map<std::string, std::string> decodedTo;
  StoreList list;
};

} // namespace

TEST_CASE_FIXTURE(StoreListFixture,
                  "[StoreList] a list whose pages advance is complete after "
                  "the last one")
{
  CHECK(ReadAll() == State::Complete);
  CHECK(list.Pages() == keys.size());
  CHECK(list.Items() == keys.size());
  CHECK(list.After() == "b");
}

TEST_CASE_FIXTURE(StoreListFixture,
                  "[StoreList] a list that comes back to a page ends")
{
  SUBCASE("to the same one")
  {
    decodedTo["b"] = "a";
  }
  SUBCASE("to one before it")
  {
    decodedTo["b"] = "";
  }
  CHECK(ReadAll() == State::NotAdvancing);
  CHECK(list.Pages() <= 2 * keys.size());
}

TEST_CASE_FIXTURE(StoreListFixture,
                  "[StoreList] an empty page with a next one does not advance")
{
  CHECK(list.OnPage({ "a", 1, true }) == State::Reading);
  CHECK(list.OnPage({ "", 0, true }) == State::NotAdvancing);
  CHECK(list.After() == "a");
}

TEST_CASE_FIXTURE(StoreListFixture,
                  "[StoreList] pages whose keys lie in another order than that "
                  "of their bytes advance")
{
  CHECK(list.OnPage({ "\xEF\xBF\xBD", 1, true }) == State::Reading);
  CHECK(list.OnPage({ "\x80", 1, true }) == State::Reading);
  CHECK(list.OnPage({ "a", 1, false }) == State::Complete);
}

TEST_CASE_FIXTURE(StoreListFixture,
                  "[StoreList] a list with too many pages or items ends")
{
  int number = 0;
  std::size_t itemsPerPage = 1;
  SUBCASE("pages") {}
  SUBCASE("items")
  {
    itemsPerPage = 500;
  }
  while (list.GetState() == State::Reading) {
    list.OnPage({ std::to_string(++number), itemsPerPage, true });
  }
  CHECK(list.GetState() == State::TooLong);
  CHECK(list.Pages() <= StoreList::kMaxPages);
  CHECK(list.Items() <= StoreList::kMaxItems);
}

} // namespace gypsum::tests
