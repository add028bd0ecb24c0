#include <cppunit/extensions/HelperMacros.h>

#include "skylarkshunt/serial/cbor_array.h"
#include "skylarkshunt/serial/json_object.h"

namespace skylarkshunt {
namespace {

constexpr ErrorKind kKind = ErrorKind::kInvalidSettings;

class SerialTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SerialTest);
  CPPUNIT_TEST(ReaderRejectsWrongTypesAndMissingFields);
  CPPUNIT_TEST(ReaderRejectsExtraFields);
  CPPUNIT_TEST(ParseRejectsTruncatedAndOversized);
  CPPUNIT_TEST(ParseRejectsDeepNestingAndHugeSizes);
  CPPUNIT_TEST(JsonRejectsDeepNesting);
  CPPUNIT_TEST(JsonRejectsRepeatedKey);
  CPPUNIT_TEST(JsonNamesKeyAndRemedy);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a document whose value exhausts the stack when an error
  // message quotes it.
  void JsonRejectsDeepNesting() {
    const std::string deep =
        "{\"a\":" + std::string(250'000, '[') + std::string(250'000, ']') + "}";
    const Result<nlohmann::json> value = ParseJsonObject(deep, "test", kKind);
    CPPUNIT_ASSERT(!value.has_value());
    CPPUNIT_ASSERT(value.error().kind == kKind);
  }

  void ReaderRejectsWrongTypesAndMissingFields() {
    const auto value = nlohmann::json::parse(R"([1,"x",-2,true])");
    CborArrayReader reader(value);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, reader.U64(5));
    CPPUNIT_ASSERT_EQUAL(std::string("x"), reader.Text(1));
    CPPUNIT_ASSERT_EQUAL(int64_t{-2}, reader.I64());
    CPPUNIT_ASSERT(reader.Bool());
    CPPUNIT_ASSERT(reader.Finish().has_value());
    reader.U64();
    CPPUNIT_ASSERT(!reader.Finish().has_value());
    CborArrayReader wrong(value);
    wrong.Text(1);
    CPPUNIT_ASSERT(!wrong.ok());
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, wrong.U64());
  }

  // Guards against silently ignoring fields of a newer protocol.
  void ReaderRejectsExtraFields() {
    const auto value = nlohmann::json::parse("[1,2]");
    CborArrayReader reader(value);
    reader.U64();
    CPPUNIT_ASSERT(!reader.Finish().has_value());
  }

  void ParseRejectsTruncatedAndOversized() {
    std::vector<uint8_t> bytes =
        CborArrayWriter().U64(7).Text("abc").Bytes("\xff").Encode(100).value();
    CPPUNIT_ASSERT(ParseCborArray(bytes, 100).has_value());
    CPPUNIT_ASSERT(ParseCborArray(bytes, 2).error().kind ==
                   ErrorKind::kOversizedMessage);
    for (size_t size = 0; size < bytes.size(); ++size) {
      CPPUNIT_ASSERT(
          !ParseCborArray(absl::MakeSpan(bytes.data(), size), 100).has_value());
    }
    CPPUNIT_ASSERT(!CborArrayWriter().Text("abc").Encode(3).has_value());
  }

  // Guards against a message that exhausts the stack (an array in an array,
  // many times) or declares more elements than memory holds.
  void ParseRejectsDeepNestingAndHugeSizes() {
    constexpr uint8_t kArrayOfOne = 0x81;
    constexpr size_t kLimit = 1 << 20;
    const std::vector<uint8_t> deep(kLimit, kArrayOfOne);
    CPPUNIT_ASSERT(!ParseCborArray(deep, kLimit).has_value());
    const std::vector<uint8_t> huge = {0x9b, 0x7f, 0xff, 0xff, 0xff,
                                       0xff, 0xff, 0xff, 0xff};
    CPPUNIT_ASSERT(!ParseCborArray(huge, kLimit).has_value());
  }

  void JsonRejectsRepeatedKey() {
    CPPUNIT_ASSERT(
        ParseJsonObject("{\"a\":{\"b\":1}, /*c*/ \"b\":2}", "f", kKind)
            .has_value());
    Result<nlohmann::json> repeated =
        ParseJsonObject("{\"a\":1,\"a\":2}", "f", kKind);
    CPPUNIT_ASSERT(!repeated.has_value());
    CPPUNIT_ASSERT(repeated.error().message.find("'a'") != std::string::npos);
    CPPUNIT_ASSERT(!ParseJsonObject("{\"a\":1", "f", kKind).has_value());
    CPPUNIT_ASSERT(!ParseJsonObject("[]", "f", kKind).has_value());
  }

  void JsonNamesKeyAndRemedy() {
    const auto value =
        ParseJsonObject("{\"n\":70000,\"x\":1}", "file.json", kKind).value();
    JsonObjectReader reader(value, "file.json", "top", kKind);
    reader.Integer("n", 0, 65535);
    const Error error = reader.Finish().error();
    CPPUNIT_ASSERT_EQUAL(std::string("file.json: 'top.n' is 70000"),
                         error.message);
    JsonObjectReader unknown(value, "file.json", "", kKind);
    unknown.Integer("n", 0, 100000);
    CPPUNIT_ASSERT_EQUAL(std::string("file.json: 'x' is not a known key"),
                         unknown.Finish().error().message);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SerialTest);

}  // namespace
}  // namespace skylarkshunt
