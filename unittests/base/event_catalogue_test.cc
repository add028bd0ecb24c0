#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace skylarkshunt {
namespace {

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::set<std::string> FindEvents(const std::string& text,
                                 const std::regex& pattern) {
  std::set<std::string> events;
  for (std::sregex_iterator it(text.begin(), text.end(), pattern), end;
       it != end; ++it) {
    events.insert((*it)[1].str() + " " + (*it)[2].str());
  }
  return events;
}

std::set<std::string> EventsInCode() {
  const std::regex pattern(R"(EventId\s+k\w+\{\s*(\d{4}),\s*"(\w+)\"\s*\})");
  std::set<std::string> events;
  const std::filesystem::path root(SKYLARKSHUNT_SOURCE_DIR);
  for (const char* folder :
       {"include", "lib", "platform", "tools", "standins"}) {
    if (!std::filesystem::exists(root / folder))
      continue;
    for (const auto& file :
         std::filesystem::recursive_directory_iterator(root / folder)) {
      if (file.is_regular_file())
        events.merge(FindEvents(ReadFile(file.path()), pattern));
    }
  }
  return events;
}

class EventCatalogueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventCatalogueTest);
  CPPUNIT_TEST(CatalogueAndCodeAgree);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an event that operators cannot look up, and against one
  // number used for two events.
  void CatalogueAndCodeAgree() {
    const std::string page =
        ReadFile(std::string(SKYLARKSHUNT_SOURCE_DIR) + "/docs/events.md");
    const std::set<std::string> listed =
        FindEvents(page, std::regex(R"(\| SKS(\d{4}) \| `(\w+)` \|)"));
    const std::set<std::string> used = EventsInCode();
    for (const std::string& event : used)
      CPPUNIT_ASSERT_MESSAGE("not in docs/events.md: " + event,
                             listed.count(event) == 1);
    for (const std::string& event : listed)
      CPPUNIT_ASSERT_MESSAGE("not in the code: " + event,
                             used.count(event) == 1);
    std::set<std::string> numbers;
    for (const std::string& event : used)
      CPPUNIT_ASSERT_MESSAGE("number used twice: " + event,
                             numbers.insert(event.substr(0, 4)).second);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventCatalogueTest);

}  // namespace
}  // namespace skylarkshunt
