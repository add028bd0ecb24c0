#include "platform/store_wire.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "platform/json_parts.h"

namespace skylarkshunt {
namespace {

std::string Nested(size_t depth) {
  return absl::StrCat(std::string(depth, '['), std::string(depth, ']'));
}

std::string Object(absl::string_view name, absl::string_view spec) {
  return absl::StrCat(R"({"meta":{"name":")", name, R"(","rev":7},"spec":)",
                      spec, R"(,"status":null})");
}

std::string Page(const std::vector<std::string>& objects,
                 absl::string_view more = "false") {
  std::string items;
  for (const std::string& object : objects)
    absl::StrAppend(&items, items.empty() ? "" : ",", object);
  return absl::StrCat(R"({"current-rev":9, "items":[)", items, R"(], "more":)",
                      more, "}");
}

std::string Events(const std::vector<std::string>& objects,
                   absl::string_view removed) {
  std::string events;
  for (const std::string& object : objects) {
    absl::StrAppend(&events, events.empty() ? "" : ",", R"({"object":)", object,
                    R"(,"removed":)", removed, "}");
  }
  return absl::StrCat(R"({"current-rev":9,"events":[)", events, "]}");
}

/// Objects that another writer may leave, each of which cannot be read.
std::vector<std::string> OddObjects() {
  return {
      Object("odd", Nested(kMaxJsonDepth + 1)),
      Object("odd", Nested(250'000)),
      Object("odd", R"({"weight":1e999})"),
      Object("odd", "-1e999"),
      Object("odd", "\"\xff\""),
      Object("odd", "tru"),
      Object("odd", "{1:2}"),
      R"({"meta":{"name":"odd","rev":-1},"spec":{}})",
      R"({"meta":{"name":"odd","rev":99999999999999999999},"spec":{}})",
      R"({"meta":{"name":7,"rev":1},"spec":{}})",
      R"({"meta":{"rev":1},"spec":{}})",
      R"({"meta":[],"spec":{}})",
      R"({"spec":{}})",
      "7",
      "null",
      "[]",
      absl::StrCat(R"({"meta":{"name":)", Nested(250'000), "}}"),
  };
}

/// Checks that `records` holds the objects a and z, and the odd one at most
/// without its content.
void ExpectSoundOnes(const std::vector<ConfigRecord>& records,
                     absl::string_view kind) {
  CPPUNIT_ASSERT(records.size() == 2 || records.size() == 3);
  CPPUNIT_ASSERT_EQUAL(absl::StrCat(kind, "/a"), records.front().key);
  CPPUNIT_ASSERT_EQUAL(std::string("1"), records.front().body);
  CPPUNIT_ASSERT_EQUAL(absl::StrCat(kind, "/z"), records.back().key);
  CPPUNIT_ASSERT_EQUAL(std::string("{}"), records.back().body);
  if (records.size() == 3)
    CPPUNIT_ASSERT_EQUAL(std::string("null"), records[1].body);
}

class StoreWireTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreWireTest);
  CPPUNIT_TEST(OddObjectLeavesTheOthersOfItsPageInUse);
  CPPUNIT_TEST(OddObjectLeavesTheOtherEventsInUse);
  CPPUNIT_TEST(RemovalOfAnOddObjectIsRead);
  CPPUNIT_TEST(PageOfOddObjectsIsContinued);
  CPPUNIT_TEST(BodiesKeepTheirText);
  CPPUNIT_TEST(DeepBodyIsNotWritten);
  CPPUNIT_TEST(MalformedAnswersAreRejected);
  CPPUNIT_TEST(RandomAnswersEndNoProcess);
  CPPUNIT_TEST(OddEpochsCountAsMissing);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against nodes that end, or that lose all objects of an answer,
  // because another writer left an object that cannot be read.
  void OddObjectLeavesTheOthersOfItsPageInUse() {
    for (const std::string& odd : OddObjects()) {
      const Result<StorePage> page = ParsePage(
          "nodes", Page({Object("a", "1"), odd, Object("z", "{}")}), Epoch{});
      CPPUNIT_ASSERT_MESSAGE(odd.substr(0, 60), page.has_value());
      ExpectSoundOnes(page.value().objects, "nodes");
      CPPUNIT_ASSERT_EQUAL(size_t{1}, page.value().ignored.count);
      CPPUNIT_ASSERT(!page.value().ignored.first.empty());
    }
  }

  void OddObjectLeavesTheOtherEventsInUse() {
    for (const std::string& odd : OddObjects()) {
      const Result<WatchBatch> batch = ParseEvents(
          "config", Events({Object("a", "1"), odd, Object("z", "{}")}, "false"),
          Epoch{});
      CPPUNIT_ASSERT_MESSAGE(odd.substr(0, 60), batch.has_value());
      ExpectSoundOnes(batch.value().changes, "config");
      CPPUNIT_ASSERT_EQUAL(size_t{1}, batch.value().ignored.count);
      CPPUNIT_ASSERT(batch.value().revision == Revision{9});
    }
  }

  void RemovalOfAnOddObjectIsRead() {
    const std::string odd = Object("odd", Nested(250'000));
    const WatchBatch batch =
        ParseEvents("nodes", Events({odd}, "true"), Epoch{}).value();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, batch.changes.size());
    CPPUNIT_ASSERT(batch.changes[0].deleted);
    CPPUNIT_ASSERT_EQUAL(std::string("nodes/odd"), batch.changes[0].key);
  }

  // Guards against a list that ends at a page of odd objects, or that asks for
  // the same page without end.
  void PageOfOddObjectsIsContinued() {
    const std::string odd = Object("odd", "1e999");
    const StorePage page =
        ParsePage("nodes", Page({Object("a", "1"), odd}, "true"), Epoch{})
            .value();
    CPPUNIT_ASSERT(page.more);
    CPPUNIT_ASSERT_EQUAL(std::string("nodes/odd"), page.objects.back().key);
    CPPUNIT_ASSERT(
        !ParsePage("nodes", Page({"7"}, "true"), Epoch{}).has_value());
  }

  void BodiesKeepTheirText() {
    const std::string spec =
        R"( {"a" : "b\"}\\", "c":[1, 2.5, {"d":null}], "e":"]" } )";
    const StorePage page =
        ParsePage("nodes", Page({Object("a", spec)}), Epoch{}).value();
    CPPUNIT_ASSERT_EQUAL(spec.substr(1, spec.size() - 2),
                         page.objects.at(0).body);
    const std::string deepest = Nested(kMaxJsonDepth);
    CPPUNIT_ASSERT_EQUAL(
        deepest,
        ParseObject("nodes", Object("a", deepest), Epoch{}).value().body);
    CPPUNIT_ASSERT_EQUAL(
        std::string("null"),
        ParseObject("nodes", R"({"meta":{"name":"a","rev":1}})", Epoch{})
            .value()
            .body);
  }

  void DeepBodyIsNotWritten() {
    CPPUNIT_ASSERT(WriteObject("a", Nested(250'000), {}).error().kind ==
                   ErrorKind::kInvalidArgument);
  }

  void MalformedAnswersAreRejected() {
    for (const char* text :
         {"", "{", "[]", "{}", R"({"current-rev":1})",
          R"({"current-rev":-1,"items":[]})", R"({"current-rev":1,"items":7})",
          R"({"current-rev":1,"items":[)", R"({"current-rev":1,"items":[]}x)",
          R"({"current-rev":1,"items":[],})", R"({"current-rev":1 "items":[]})",
          R"({"current-rev":"1","items":[]})"}) {
      const Result<StorePage> page = ParsePage("nodes", text, Epoch{});
      CPPUNIT_ASSERT_MESSAGE(text, !page.has_value());
      CPPUNIT_ASSERT(page.error().kind == ErrorKind::kMalformedMessage);
    }
  }

  // Guards against input that ends the process or is read beyond its end.
  void RandomAnswersEndNoProcess() {
    std::mt19937 random(1);
    const std::vector<std::string> odd = OddObjects();
    const absl::string_view bytes = "{}[]\",:\\0e9-tn \xff";
    for (int i = 0; i < 3000; ++i) {
      std::string text =
          i % 2 == 0 ? Page({Object("a", R"({"b":[1,"c"]})"), Object("d", "1")})
                     : Events({Object("a", R"({"b":[1,"c"]})")}, "false");
      const int changes = 1 + static_cast<int>(random() % 4);
      for (int change = 0; change < changes; ++change) {
        const size_t at = random() % text.size();
        switch (random() % 3) {
          case 0:
            text[at] = bytes[random() % bytes.size()];
            break;
          case 1:
            text.resize(at + 1);
            break;
          default:
            text.insert(at, odd[2 + random() % 12]);
        }
      }
      static_cast<void>(ParsePage("nodes", text, Epoch{}));
      static_cast<void>(ParseEvents("nodes", text, Epoch{}));
      static_cast<void>(ParseObject("nodes", text, Epoch{}));
    }
  }

  // Guards against a header of another writer that is taken for a restore, and
  // against a revision that reads as one of another epoch.
  void OddEpochsCountAsMissing() {
    CPPUNIT_ASSERT(ParseEpoch("7") == Epoch{7});
    CPPUNIT_ASSERT(ParseEpoch("65535") == Epoch{65535});
    for (const char* text :
         {"", " ", "x", "-1", "65536", "4294967297", "7.0", "7, 8", "0x7"})
      CPPUNIT_ASSERT(!ParseEpoch(text).has_value());
    const std::string page = R"({"current-rev":281474976710656,"items":[]})";
    CPPUNIT_ASSERT(!ParsePage("kind", page, Epoch{}).has_value());
    const Revision revision =
        ParsePage("kind", Page({}), Epoch{2}).value().revision;
    CPPUNIT_ASSERT_EQUAL(std::string("2:9"), ToText(revision));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreWireTest);

}  // namespace
}  // namespace skylarkshunt
