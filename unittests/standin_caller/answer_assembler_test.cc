#include "standins/caller/answer_assembler.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

#include "standins/work/work_order.h"

namespace skylarkshunt {
namespace {

constexpr RequestId kId{1, 2};
using Added = AnswerAssembler::Added;

std::vector<Answer> Split(const std::string& whole) {
  std::vector<Answer> chunks;
  for (size_t at = 0; at < whole.size(); at += kChunkBytes) {
    Answer chunk;
    chunk.request_id = kId;
    chunk.chunk_index = static_cast<uint32_t>(chunks.size());
    chunk.total_bytes = whole.size();
    chunk.chunk_count =
        static_cast<uint32_t>((whole.size() + kChunkBytes - 1) / kChunkBytes);
    chunk.body = whole.substr(at, kChunkBytes);
    chunks.push_back(chunk);
  }
  return chunks;
}

class AnswerAssemblerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnswerAssemblerTest);
  CPPUNIT_TEST(AnyOrderWithDuplicates);
  CPPUNIT_TEST(ContradictingTotalsAreRejected);
  CPPUNIT_TEST(MissingRangesAreNamed);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against answers mixed up by the fabric's reordering and duplicates.
  void AnyOrderWithDuplicates() {
    const std::string whole = MakeAnswer(kId, 40'500);
    std::vector<Answer> chunks = Split(whole);
    std::mt19937 random(7);
    std::shuffle(chunks.begin(), chunks.end(), random);
    AnswerAssembler assembler;
    for (const Answer& chunk : chunks) {
      CPPUNIT_ASSERT(!assembler.whole());
      CPPUNIT_ASSERT(assembler.Add(chunk) == Added::kNew);
      CPPUNIT_ASSERT(assembler.Add(chunk) == Added::kDuplicate);
    }
    CPPUNIT_ASSERT(assembler.whole());
    CPPUNIT_ASSERT(assembler.body() == whole);
  }

  // Guards against an answer made of parts of two answers.
  void ContradictingTotalsAreRejected() {
    std::vector<Answer> chunks = Split(MakeAnswer(kId, 3'500));
    AnswerAssembler assembler;
    CPPUNIT_ASSERT(assembler.Add(chunks[0]) == Added::kNew);
    Answer other_total = chunks[1];
    other_total.total_bytes = 3'600;
    CPPUNIT_ASSERT(assembler.Add(other_total) == Added::kRejected);
    Answer other_count = chunks[1];
    other_count.chunk_count = 5;
    CPPUNIT_ASSERT(assembler.Add(other_count) == Added::kRejected);
    Answer beyond = chunks[1];
    beyond.chunk_index = 4;
    CPPUNIT_ASSERT(assembler.Add(beyond) == Added::kRejected);
    Answer truncated = chunks[1];
    truncated.body.pop_back();
    CPPUNIT_ASSERT(assembler.Add(truncated) == Added::kRejected);
    CPPUNIT_ASSERT(assembler.Add(chunks[1]) == Added::kNew);
  }

  void MissingRangesAreNamed() {
    const std::vector<Answer> chunks = Split(MakeAnswer(kId, 40'000));
    AnswerAssembler assembler;
    for (size_t index : {0, 1, 2, 5, 39})
      assembler.Add(chunks[index]);
    CPPUNIT_ASSERT_EQUAL(uint32_t{3}, assembler.FirstMissing().first);
    CPPUNIT_ASSERT_EQUAL(uint32_t{2}, assembler.FirstMissing().count);
    assembler.Add(chunks[3]);
    assembler.Add(chunks[4]);
    CPPUNIT_ASSERT_EQUAL(uint32_t{6}, assembler.FirstMissing().first);
    CPPUNIT_ASSERT_EQUAL(kMaxChunksPerFetch, assembler.FirstMissing().count);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerAssemblerTest);

}  // namespace
}  // namespace skylarkshunt
