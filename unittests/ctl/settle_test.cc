#include "settle.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

namespace skylarkshunt {
namespace {

constexpr char kMine[] = "{\"apply_id\":\"mine\"}";
constexpr char kOther[] = "{\"apply_id\":\"other\"}";

Error MakeUnavailable() {
  return MakeError(ErrorKind::kUnavailable, "down", "wait");
}

Error MakeNotFound() {
  return MakeError(ErrorKind::kNotFound, "no object", "check");
}

/// Loses the answer of every change and answers reads from a script, whose last
/// element repeats.
class LossyClient : public PlatformClient {
 public:
  explicit LossyClient(std::deque<Result<ConfigRecord>> reads)
      : reads_(std::move(reads)) {}

  Result<ConfigRecord> Read(absl::string_view) override {
    Result<ConfigRecord> read = reads_.front();
    if (reads_.size() > 1)
      reads_.pop_front();
    return read;
  }
  Result<ObjectList> List(absl::string_view, ReadFreshness) override {
    return MakeUnavailable();
  }
  Result<Revision> Write(absl::string_view,
                         absl::string_view,
                         Revision) override {
    ++changes_;
    return MakeError(ErrorKind::kOutcomeUnknown, "lost", "read back");
  }
  Result<Revision> Remove(absl::string_view, Revision) override {
    ++changes_;
    return MakeError(ErrorKind::kOutcomeUnknown, "lost", "read back");
  }
  Result<WatchBatch> Watch(absl::string_view,
                           Revision,
                           absl::Duration) override {
    return MakeUnavailable();
  }

  int changes() const { return changes_; }

 private:
  std::deque<Result<ConfigRecord>> reads_;
  int changes_ = 0;
};

ConfigRecord Record(uint64_t revision, const char* body) {
  return ConfigRecord{"services/x", Revision{revision}, false, body};
}

class SettleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettleTest);
  CPPUNIT_TEST(OutageDuringReadBackIsWaitedOut);
  CPPUNIT_TEST(UnchangedObjectProvesNothing);
  CPPUNIT_TEST(OtherChangeIsConflict);
  CPPUNIT_TEST(RemovalIsSettledByAbsence);
  CPPUNIT_TEST(ReissuedRevisionIsAnotherChange);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OutageDuringReadBackIsWaitedOut() {
    LossyClient client(
        {MakeUnavailable(), Record(7, kOther), Record(8, kMine)});
    const Result<Revision> settled = Write(client, 7, absl::Seconds(60));
    CPPUNIT_ASSERT(settled.value() == Revision{8});
    CPPUNIT_ASSERT_EQUAL(1, client.changes());
  }

  // A slow platform may apply the write later, so "not run" would be a guess.
  void UnchangedObjectProvesNothing() {
    LossyClient unchanged({Record(7, kOther)});
    CPPUNIT_ASSERT(Write(unchanged, 7, absl::Milliseconds(1)).error().kind ==
                   ErrorKind::kOutcomeUnknown);
    LossyClient absent({MakeNotFound()});
    CPPUNIT_ASSERT(Write(absent, 0, absl::Milliseconds(1)).error().kind ==
                   ErrorKind::kOutcomeUnknown);
    CPPUNIT_ASSERT_EQUAL(1, absent.changes());
  }

  void OtherChangeIsConflict() {
    LossyClient changed({Record(9, kOther)});
    CPPUNIT_ASSERT(Write(changed, 7, absl::Seconds(60)).error().kind ==
                   ErrorKind::kConflict);
    LossyClient removed({MakeNotFound()});
    CPPUNIT_ASSERT(Write(removed, 7, absl::Seconds(60)).error().kind ==
                   ErrorKind::kConflict);
  }

  void RemovalIsSettledByAbsence() {
    LossyClient client({Record(7, kMine), MakeNotFound()});
    CPPUNIT_ASSERT(
        RemoveSettled(client, "services/x", Revision{7}, absl::Seconds(60))
            .has_value());
    CPPUNIT_ASSERT_EQUAL(1, client.changes());
    LossyClient recreated({Record(9, kOther)});
    CPPUNIT_ASSERT(
        RemoveSettled(recreated, "services/x", Revision{7}, absl::Seconds(60))
            .error()
            .kind == ErrorKind::kConflict);
  }

  // Guards against waiting for a change that can no longer take effect, since a
  // restored store gave its condition to another change.
  void ReissuedRevisionIsAnotherChange() {
    const Revision before = MakeRevision(Epoch{1}, 7);
    const Revision reissued = MakeRevision(Epoch{2}, 7);
    LossyClient changed({ConfigRecord{"services/x", reissued, false, kOther}});
    CPPUNIT_ASSERT(
        Write(changed, ToNumber(before), absl::Seconds(60)).error().kind ==
        ErrorKind::kConflict);
    CPPUNIT_ASSERT(
        RemoveSettled(changed, "services/x", before, absl::Seconds(60))
            .error()
            .kind == ErrorKind::kConflict);
    LossyClient done({ConfigRecord{"services/x", reissued, false, kMine}});
    CPPUNIT_ASSERT(Write(done, ToNumber(before), absl::Seconds(60)).value() ==
                   reissued);
  }

 private:
  static Result<Revision> Write(PlatformClient& client,
                                uint64_t expected,
                                absl::Duration limit) {
    return WriteSettled(
        client, {"services/x", kMine, Revision{expected}, "mine"}, limit);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettleTest);

}  // namespace
}  // namespace skylarkshunt
