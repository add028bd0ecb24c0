#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>

#include "absl/strings/str_cat.h"
#include "platform/configuration_document.h"
#include "platform/endpoints.h"
#include "platform/node_settings.h"
#include "platform/packet_format.h"
#include "platform/store_wire.h"
#include "skylarkshunt/net/poller.h"

namespace skylarkshunt {
namespace {

/// The example of an opening packet in the platform's protocol documentation.
const std::vector<uint8_t> kPublishedOpening = {
    0x00, 0x00, 0x00, 0x00, 0x41, 0x9c, 0x07, 0x00, 0x40, 0x64, 0xbb,
    0x01, 0x01, 0x00, 0x12, 0xc6, 0x00, 0x00, 0x44, 0x33, 0x22, 0x11,
    0x00, 0x00, 0x00, 0x00, 0xd5, 0xc3, 0xb2, 0xa1, 0x10};
const std::vector<uint8_t> kPublishedReset = {
    0x00, 0x00, 0x00, 0x00, 0xbb, 0x01, 0x01, 0x00, 0x12, 0xc6, 0x41,
    0x9c, 0x07, 0x00, 0x40, 0x64, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x01};

constexpr char kConfiguration[] = R"({"version":7,"routes":[
 {"name":"a","host":"198.18.0.1","path-prefix":"/8443/","kind":"idempotent",
  "timeout-ms":2500,"target-latency-ms":150,"priority":2,
  "split":[{"service":"x","weight":90},{"service":"y","weight":10}]},
 {"name":"b","host":"198.18.0.1","path-prefix":"/8080/",
  "kind":"non_idempotent","timeout-ms":3000,"priority":1,"service":"x"}],
 "services":[{"name":"x","health-path":"/health","max-conns":2000}],
 "limits":{"idle-timeout-ms":15000}})";

constexpr char kReport[] =
    R"({"service":"x","addr":"10.0.0.9:80","zone":"z","version":"v1",
        "slots":7,"state":"ready","warmup-left-ms":1500,"seq":4,
        "born":1770748307450})";

constexpr char kSettings[] =
    "node-name=side-1\nmachine-class=side\nip=10.1.0.13\nzone=z\n"
    "listen.data-addr=10.1.0.13:8172\nlisten.outbound=10.1.0.13:8162\n"
    "listen.readiness-addr=10.1.0.13:8167\nlisten.control=10.1.0.13:8166\n"
    "internal-port-range=7720,7735\nseeds=10.1.0.10:8166,nonsense\n"
    "app=10.1.0.13:8165\nservice=x\nplatform.addr=10.200.1.7:8169\n"
    "heartbeat-ms=1200\nunknown.key=1\n";

/// Calls `read` with randomly edited copies of `text`. Any result is accepted,
/// but the process must not crash.
template <typename Read>
void Fuzz(const std::string& text, const Read& read) {
  std::mt19937 random(7);
  for (int i = 0; i < 5'000; ++i) {
    std::string edited = text;
    for (uint32_t edits = 1 + random() % 4; edits > 0; --edits) {
      const size_t at = random() % edited.size();
      switch (random() % 3) {
        case 0:
          edited[at] = static_cast<char>(random());
          break;
        case 1:
          edited.erase(at, 1 + random() % 8);
          break;
        default:
          edited.insert(at, edited.substr(random() % edited.size(), 9));
      }
      if (edited.empty())
        edited = "{";
    }
    read(edited);
  }
  read(std::string(100'000, '['));
  read(std::string(100'000, '{'));
  read("");
}

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

class PlatformAdapterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformAdapterTest);
  CPPUNIT_TEST(PublishedPacketsAreParsed);
  CPPUNIT_TEST(SetReturnTokenChangesNoOtherField);
  CPPUNIT_TEST(MalformedPacketsAreRejected);
  CPPUNIT_TEST(ConfigurationIsRead);
  CPPUNIT_TEST(WarmupIsRead);
  CPPUNIT_TEST(MalformedConfigurationsAreRejected);
  CPPUNIT_TEST(UnknownKindsRunAtMostOnce);
  CPPUNIT_TEST(UnreadablePartsLeaveTheRestInUse);
  CPPUNIT_TEST(ManyUnreadableRoutesAreCountedInBoundedText);
  CPPUNIT_TEST(DeepNestingInARouteLeavesTheRestInUse);
  CPPUNIT_TEST(StatusReportIsRead);
  CPPUNIT_TEST(MalformedStatusReportsAreRejected);
  CPPUNIT_TEST(EndpointsAnswer);
  CPPUNIT_TEST(SettingsAreRead);
  CPPUNIT_TEST(ErrorOfInvalidSettingsNamesTheKey);
  CPPUNIT_TEST(MalformedStoreAnswersAreRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PublishedPacketsAreParsed() {
    const PacketHeader header = format_->Read(kPublishedOpening).value();
    CPPUNIT_ASSERT_EQUAL(std::string("100.64.0.7:40001>198.18.0.1:443"),
                         header.flow_from_client().ToString());
    CPPUNIT_ASSERT(header.opening && !header.reset && !header.returned);
    CPPUNIT_ASSERT_EQUAL(uint32_t{0x11223344}, header.sequence);
    CPPUNIT_ASSERT(header.opening_time_left == absl::Milliseconds(1400));
    CPPUNIT_ASSERT(format_->MakeReset(header.flow_from_client(), 0) ==
                   kPublishedReset);
    CPPUNIT_ASSERT_EQUAL(uint8_t{0}, header.opening_copy);
    CPPUNIT_ASSERT(header.opening_next_age == absl::Milliseconds(200));
    std::vector<uint8_t> copy = kPublishedOpening;
    copy[22] = 1;
    const PacketHeader second = format_->Read(copy).value();
    CPPUNIT_ASSERT_EQUAL(uint8_t{1}, second.opening_copy);
    CPPUNIT_ASSERT(second.opening_next_age == absl::Milliseconds(600));
    copy[22] = 2;
    const PacketHeader last = format_->Read(copy).value();
    CPPUNIT_ASSERT(last.opening_age == absl::Milliseconds(600));
    CPPUNIT_ASSERT_EQUAL(uint8_t{2}, last.opening_copy);
    CPPUNIT_ASSERT(last.opening_next_age == absl::InfiniteDuration());
  }

  // Guards against changes of other fields: a target rejects packets that
  // differ from what the client sent.
  void SetReturnTokenChangesNoOtherField() {
    std::vector<uint8_t> packet = kPublishedOpening;
    packet[30] |= 8;
    CPPUNIT_ASSERT(format_->Read(packet).value().returned);
    format_->SetReturnToken(absl::MakeSpan(packet), 0x01020304);
    CPPUNIT_ASSERT_EQUAL(uint32_t{0x01020304},
                         format_->Read(packet).value().return_token);
    constexpr size_t kTokenBytes = 4;
    CPPUNIT_ASSERT(absl::MakeSpan(packet).subspan(kTokenBytes) ==
                   absl::MakeSpan(kPublishedOpening).subspan(kTokenBytes));
    format_->SetReturnToken(absl::MakeSpan(packet), 0);
    CPPUNIT_ASSERT(packet == kPublishedOpening);
  }

  void MalformedPacketsAreRejected() {
    for (size_t size = 0; size < kPublishedOpening.size(); ++size) {
      CPPUNIT_ASSERT(
          !format_->Read(absl::MakeConstSpan(kPublishedOpening.data(), size))
               .has_value());
    }
    std::vector<uint8_t> longer = kPublishedOpening;
    longer.push_back(0);
    CPPUNIT_ASSERT(!format_->Read(longer).has_value());
  }

  void ConfigurationIsRead() {
    const RouteTable table = ParseConfiguration(kConfiguration).value();
    CPPUNIT_ASSERT_EQUAL(uint64_t{7}, table.version);
    const Route* split = table.Find(Endpoint::Parse("198.18.0.1:8443").value());
    CPPUNIT_ASSERT(split != nullptr && split->shares.size() == 2);
    CPPUNIT_ASSERT(split->latency_objective == absl::Milliseconds(150));
    const Route* route = table.Find(Endpoint::Parse("198.18.0.1:8080").value());
    CPPUNIT_ASSERT(route != nullptr &&
                   route->kind == RequestKind::kNonIdempotent);
    CPPUNIT_ASSERT(route->latency_objective == absl::InfiniteDuration());
    CPPUNIT_ASSERT(table.idle_timeout == absl::Seconds(15));
    CPPUNIT_ASSERT_EQUAL(std::string("/health"),
                         table.services.at(MakeServiceUid("x")).health_path);
    CPPUNIT_ASSERT_EQUAL(
        0.0, table.services.at(MakeServiceUid("x")).warmup_per_second);
  }

  void WarmupIsRead() {
    const std::string text =
        Replaced(kConfiguration, "\"max-conns\":2000",
                 R"("max-conns":2000,"warmup-s":7.5,"warmup-per-s":0.25)");
    const ServiceSettings settings =
        ParseConfiguration(text).value().services.at(MakeServiceUid("x"));
    CPPUNIT_ASSERT(settings.warmup == absl::Milliseconds(7500));
    CPPUNIT_ASSERT_EQUAL(0.25, settings.warmup_per_second);
    for (const char* value : {"-1", "\"20\"", "[]", "true"}) {
      const RouteTable table =
          ParseConfiguration(Replaced(text, "0.25", value)).value();
      CPPUNIT_ASSERT_EQUAL(
          0.0, table.services.at(MakeServiceUid("x")).warmup_per_second);
      CPPUNIT_ASSERT_EQUAL(size_t{1}, table.ignored.count);
    }
  }

  void MalformedConfigurationsAreRejected() {
    const std::string good = kConfiguration;
    for (const std::string& text :
         {Replaced(good, "\"version\":7", "\"version\":\"7\""),
          Replaced(good, "\"version\":7", "\"version\":0"),
          Replaced(good, "\"version\":7,", ""), std::string("[]"),
          std::string("null"), good.substr(0, good.size() - 1),
          std::string("{\"version\":1}"),
          std::string("{\"version\":1,\"routes\":{\"a\":1}}"),
          std::string("{\"version\":1,\"routes\":3}")}) {
      CPPUNIT_ASSERT_MESSAGE(text, !ParseConfiguration(text).has_value());
    }
    Fuzz(good, [](const std::string& text) {
      static_cast<void>(ParseConfiguration(text));
    });
  }

  // Guards against a configuration that is rejected because of one kind that
  // this release does not know, and against repeating such requests.
  void UnknownKindsRunAtMostOnce() {
    const std::string good = kConfiguration;
    const auto kind_of = [](const RouteTable& table) {
      return table.Find(Endpoint::Parse("198.18.0.1:8443").value())->kind;
    };
    const RouteTable upload =
        ParseConfiguration(
            Replaced(good, "\"kind\":\"idempotent\"", "\"kind\":\"upload\""))
            .value();
    CPPUNIT_ASSERT(kind_of(upload) == RequestKind::kNonIdempotent);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, upload.ignored.count);
    for (const char* kind : {"\"odd\"", "7", "null", "[\"idempotent\"]"}) {
      const RouteTable table =
          ParseConfiguration(Replaced(good, "\"idempotent\"", kind)).value();
      CPPUNIT_ASSERT(kind_of(table) == RequestKind::kNonIdempotent);
      CPPUNIT_ASSERT_EQUAL(size_t{1}, table.ignored.count);
      CPPUNIT_ASSERT_EQUAL(size_t{2}, table.routes.size());
    }
  }

  // Guards against one unreadable route or value that closes other addresses,
  // and against one that is left out without a report.
  void UnreadablePartsLeaveTheRestInUse() {
    const std::string good = kConfiguration;
    struct Case {
      std::string text;
      size_t routes;
      size_t ignored;
    };
    for (const Case& part : std::vector<Case>{
             {good, 2, 0},
             {Replaced(good, "/8443/", "/x/"), 1, 1},
             {Replaced(good, "\"198.18.0.1\"", "[]"), 1, 1},
             {Replaced(good, ",\"service\":\"x\"}]", "}]"), 1, 1},
             {Replaced(good, "\"split\":[", "\"split\":{},\"x\":["), 1, 2},
             {Replaced(good, "{\"service\":\"x\",\"weight\":90}", "9"), 2, 1},
             {Replaced(good, "90", "-90"), 2, 1},
             {Replaced(good, "2500", "\"soon\""), 2, 1},
             {Replaced(good, "2500", "2500.0"), 2, 0},
             {Replaced(good, "\"routes\":[", "\"routes\":[7,null,[],{},"), 2,
              4},
             {Replaced(good, "[{\"name\":\"x\"", "[1,{\"name\":\"x\""), 2, 1},
             {Replaced(good, "{\"idle-timeout-ms\":15000}", "[]"), 2, 0},
             {Replaced(good, "15000", "{}"), 2, 1}}) {
      const Result<RouteTable> table = ParseConfiguration(part.text);
      CPPUNIT_ASSERT_MESSAGE(part.text, table.has_value());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(part.text, part.routes,
                                   table.value().routes.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(part.text, part.ignored,
                                   table.value().ignored.count);
      CPPUNIT_ASSERT(part.ignored > 0 || table.value().ignored.first.empty());
    }
    // A weight beyond the type of the field must not become a share of 0.
    const RouteTable large =
        ParseConfiguration(Replaced(good, "90", "4294967296")).value();
    CPPUNIT_ASSERT_EQUAL(uint32_t{0xffffffff},
                         large.Find(Endpoint::Parse("198.18.0.1:8443").value())
                             ->shares.front()
                             .weight);
  }

  // Guards against a text that grows with a configuration of another writer.
  void ManyUnreadableRoutesAreCountedInBoundedText() {
    constexpr size_t kUnreadable = 20'000;
    std::string odd = "\"routes\":[{\"name\":\"" + std::string(5'000, 'n') +
                      "\",\"host\":\"nowhere\"},";
    for (size_t i = 1; i < kUnreadable; ++i)
      odd += "{\"host\":\"198.18.0.2\",\"path-prefix\":\"/80/\"},";
    const RouteTable table =
        ParseConfiguration(Replaced(kConfiguration, "\"routes\":[", odd))
            .value();
    CPPUNIT_ASSERT_EQUAL(kUnreadable, table.ignored.count);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, table.routes.size());
    CPPUNIT_ASSERT_EQUAL(kMaxIgnoredTextBytes, table.ignored.first.size());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, table.ignored.first.find("routes[0] 'nnn"));
  }

  // Guards against a stack that overflows on a deeply nested value.
  void DeepNestingInARouteLeavesTheRestInUse() {
    const std::string deep =
        std::string(250'000, '[') + std::string(250'000, ']');
    const RouteTable table =
        ParseConfiguration(Replaced(kConfiguration, "\"198.18.0.1\"", deep))
            .value();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, table.routes.size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, table.ignored.count);
  }

  void StatusReportIsRead() {
    const TargetReport report = ParseStatusReport("i-1", kReport).value();
    CPPUNIT_ASSERT_EQUAL(uint32_t{7}, report.slots);
    CPPUNIT_ASSERT_EQUAL(uint64_t{4}, report.sequence);
    CPPUNIT_ASSERT_EQUAL(int64_t{1770748307450}, report.started_unix_ms);
    CPPUNIT_ASSERT(report.warmup_left == absl::Milliseconds(1500));
    CPPUNIT_ASSERT(!report.draining);
  }

  void MalformedStatusReportsAreRejected() {
    const std::string good = kReport;
    for (const std::string& text :
         {Replaced(good, "\"ready\"", "\"resting\""),
          Replaced(good, "\"slots\":7", "\"slots\":\"7\""),
          Replaced(good, "\"seq\":4,", ""), Replaced(good, ":7,", ":70000,"),
          Replaced(good, "1770748307450", "1.5"), Replaced(good, "\"x\"", "17"),
          std::string(5'000, ' ') + good}) {
      CPPUNIT_ASSERT_MESSAGE(text, !ParseStatusReport("i-1", text).has_value());
    }
    CPPUNIT_ASSERT(!ParseStatusReport("", good).has_value());
    Fuzz(good, [](const std::string& text) {
      static_cast<void>(ParseStatusReport("i-1", text));
    });
  }

  void EndpointsAnswer() {
    bool ready = false;
    std::string reported;
    absl::Time started;
    std::string left;
    int64_t left_started = -1;
    NodeHooks hooks;
    hooks.is_ready = [&] { return ready; };
    hooks.on_target_report = [&](const TargetReport& report) {
      reported = report.id;
      started = report.started;
      return true;
    };
    hooks.on_target_left = [&](absl::string_view id, int64_t started_unix_ms) {
      left = std::string(id);
      left_started = started_unix_ms;
      return true;
    };
    const HttpServer::Handler readiness = MakeReadinessHandler(hooks);
    CPPUNIT_ASSERT_EQUAL(503,
                         readiness({"GET", "/skylarkshunt/ready", ""}).status);
    ready = true;
    CPPUNIT_ASSERT_EQUAL(200,
                         readiness({"GET", "/skylarkshunt/ready", ""}).status);
    CPPUNIT_ASSERT_EQUAL(404, readiness({"GET", "/else", ""}).status);
    const HttpServer::Handler reports = MakeStatusReportHandler(hooks);
    const absl::string_view path = "/skylarkshunt/Instances.Heartbeat/i-1";
    CPPUNIT_ASSERT_EQUAL(200, reports({"POST", path, kReport}).status);
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), reported);
    // Far in the past; the clocks differ by a step at most.
    CPPUNIT_ASSERT(started < MonotonicNow() - absl::Hours(1));
    CPPUNIT_ASSERT(started > absl::InfinitePast());
    const std::string future =
        Replaced(kReport, "1770748307450", "9000000000000000");
    CPPUNIT_ASSERT_EQUAL(200, reports({"POST", path, future}).status);
    // Not the infinite past, which stands for an unknown start.
    CPPUNIT_ASSERT(started > MonotonicNow() + absl::Hours(1));
    CPPUNIT_ASSERT_EQUAL(400, reports({"POST", path, "{}"}).status);
    reports({"POST", "/skylarkshunt/Instances.Leave/i-2", ""});
    CPPUNIT_ASSERT_EQUAL(std::string("i-2"), left);
    for (const char* body :
         {"", "[]", "7", "{\"born\":\"7\"}", "{\"born\":-7}"}) {
      left_started = -1;
      reports({"POST", "/skylarkshunt/Instances.Leave/i-2", body});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(body, int64_t{0}, left_started);
    }
    reports({"POST", "/skylarkshunt/Instances.Leave/i-2", "{\"born\":7}"});
    CPPUNIT_ASSERT_EQUAL(int64_t{7}, left_started);
  }

  void SettingsAreRead() {
    const NodeOptions options = ParseNodeSettings(kSettings).value();
    CPPUNIT_ASSERT(options.role == Role::kAgent);
    CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.13:7720"),
                         options.peers.ToString());
    CPPUNIT_ASSERT_EQUAL(uint16_t{8172}, options.client_port);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, options.seeds.size());
    CPPUNIT_ASSERT(options.target_report_interval == absl::Milliseconds(1200));
    CPPUNIT_ASSERT(options.change_limit == absl::Seconds(3));
    const std::string settings = absl::StrCat(
        kSettings,
        "\nbounds.config-apply-ms=6000\nbounds.stable-window-ms=5000");
    CPPUNIT_ASSERT(ParseNodeSettings(settings).value().change_limit ==
                   absl::Seconds(5));
    CPPUNIT_ASSERT(
        ParseNodeSettings(settings + "\nbounds.config-apply-ms=0").has_value());
    CPPUNIT_ASSERT(options.evacuation_limit == absl::ZeroDuration());
    CPPUNIT_ASSERT(ParseNodeSettings(settings + "\nbounds.evacuate-ms=5000")
                       .value()
                       .evacuation_limit == absl::Seconds(5));
    CPPUNIT_ASSERT_EQUAL(0.0, options.warmup_excess + options.warmup_slack);
    const NodeOptions limited =
        ParseNodeSettings(absl::StrCat(kSettings,
                                       "bounds.warmup-excess=1.5\n"
                                       "bounds.warmup-slack=5\n"))
            .value();
    CPPUNIT_ASSERT_EQUAL(1.5, limited.warmup_excess);
    CPPUNIT_ASSERT_EQUAL(5.0, limited.warmup_slack);
    for (const char* value : {"-1", "inf", "nan", "much"}) {
      CPPUNIT_ASSERT(
          !ParseNodeSettings(
               absl::StrCat(kSettings, "bounds.warmup-excess=", value))
               .has_value());
    }
  }

  void ErrorOfInvalidSettingsNamesTheKey() {
    for (const char* key : {"node-name", "ip", "app", "service",
                            "platform.addr", "internal-port-range"}) {
      const std::string line = std::string(key) + "=";
      const Result<NodeOptions> options =
          ParseNodeSettings(Replaced(kSettings, line, "was-" + line));
      CPPUNIT_ASSERT_MESSAGE(key, !options.has_value());
      CPPUNIT_ASSERT(options.error().message.find(key) != std::string::npos);
    }
    Fuzz(kSettings, [](const std::string& text) {
      static_cast<void>(ParseNodeSettings(text));
    });
  }

  void MalformedStoreAnswersAreRejected() {
    const std::string page =
        R"({"items":[{"meta":{"name":"a","rev":3},"spec":{"x":1}}],
            "more":false,"current-rev":9})";
    CPPUNIT_ASSERT_EQUAL(
        std::string("kind/a"),
        ParsePage("kind", page, Epoch{}).value().objects[0].key);
    const std::string odd = Replaced(page, "\"rev\":3", "\"rev\":\"3\"");
    CPPUNIT_ASSERT(ParsePage("kind", odd, Epoch{}).value().objects.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         ParsePage("kind", odd, Epoch{}).value().ignored.count);
    CPPUNIT_ASSERT(!ParsePage("kind", Replaced(page, ":9}", ":\"9\"}"), Epoch{})
                        .has_value());
    const std::string events =
        R"({"events":[{"removed":true,"object":{"meta":{"name":"a","rev":3}}}],
            "current-rev":9})";
    CPPUNIT_ASSERT(
        ParseEvents("kind", events, Epoch{}).value().changes[0].deleted);
    Fuzz(page, [](const std::string& text) {
      static_cast<void>(ParsePage("kind", text, Epoch{}));
      static_cast<void>(ParseEvents("kind", text, Epoch{}));
      static_cast<void>(ParseObject("kind", text, Epoch{}));
    });
    Fuzz(events, [](const std::string& text) {
      static_cast<void>(ParseEvents("kind", text, Epoch{}));
    });
  }

 private:
  const std::shared_ptr<const PacketFormat> format_ =
      MakePlatformPacketFormat();
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformAdapterTest);

}  // namespace
}  // namespace skylarkshunt
