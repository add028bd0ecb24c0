#include "skylarkshunt/process/watch_position.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkshunt {
namespace {

constexpr absl::Duration kSettleTime = absl::Milliseconds(1500);

absl::Time At(int ms) {
  return absl::FromUnixSeconds(1'000) + absl::Milliseconds(ms);
}

class WatchPositionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WatchPositionTest);
  CPPUNIT_TEST(RevisionOfAnEmptyAnswerIsNotUsedAtOnce);
  CPPUNIT_TEST(RevisionIsUsedOnceALaterAnswerConfirmsIt);
  CPPUNIT_TEST(ShortWatchesDoNotConfirmEarly);
  CPPUNIT_TEST(ChangeMovesThePositionToItselfOnly);
  CPPUNIT_TEST(RepeatedChangeDoesNotHoldThePosition);
  CPPUNIT_TEST(ChangeBeyondTheNamedRevisionIsNotBelieved);
  CPPUNIT_TEST(ListReplacesThePosition);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a change that is skipped, since a watch that did not see it
  // named a revision beyond it (issue 35).
  void RevisionOfAnEmptyAnswerIsNotUsedAtOnce() {
    position_.OnAnswered(Revision{12}, Revision{}, At(0));
    CPPUNIT_ASSERT(position_.revision() == Revision{10});
  }

  // Guards against a position that stays behind until the history is gone.
  void RevisionIsUsedOnceALaterAnswerConfirmsIt() {
    position_.OnAnswered(Revision{12}, Revision{}, At(0));
    position_.OnAnswered(Revision{15}, Revision{}, At(1500));
    CPPUNIT_ASSERT(position_.revision() == Revision{12});
    position_.OnAnswered(Revision{15}, Revision{}, At(3000));
    CPPUNIT_ASSERT(position_.revision() == Revision{15});
  }

  // Guards against watches in quick succession, after a lost one, that all miss
  // the same change.
  void ShortWatchesDoNotConfirmEarly() {
    for (int ms = 0; ms < 1500; ms += 100)
      position_.OnAnswered(Revision{12}, Revision{}, At(ms));
    CPPUNIT_ASSERT(position_.revision() == Revision{10});
  }

  // Guards against a change that is skipped, since it was made between those of
  // an answer and the revision that the answer names.
  void ChangeMovesThePositionToItselfOnly() {
    position_.OnAnswered(Revision{14}, Revision{12}, At(0));
    CPPUNIT_ASSERT(position_.revision() == Revision{12});
  }

  // Guards against watches that are answered at once without end, where the
  // event of a removal has the revision of the last change before it.
  void RepeatedChangeDoesNotHoldThePosition() {
    position_.OnAnswered(Revision{14}, Revision{9}, At(0));
    CPPUNIT_ASSERT(position_.revision() == Revision{14});
  }

  // Guards against a position beyond all later changes, taken from an object
  // whose revision another writer made up.
  void ChangeBeyondTheNamedRevisionIsNotBelieved() {
    position_.OnAnswered(Revision{14}, Revision{999'999}, At(0));
    CPPUNIT_ASSERT(position_.revision() == Revision{14});
  }

  void ListReplacesThePosition() {
    position_.OnAnswered(Revision{12}, Revision{}, At(0));
    position_.Reset(Revision{20});
    position_.OnAnswered(Revision{20}, Revision{}, At(1500));
    CPPUNIT_ASSERT(position_.revision() == Revision{20});
  }

 private:
  WatchPosition position_ = [] {
    WatchPosition position(kSettleTime);
    position.Reset(Revision{10});
    return position;
  }();
};

CPPUNIT_TEST_SUITE_REGISTRATION(WatchPositionTest);

}  // namespace
}  // namespace skylarkshunt
