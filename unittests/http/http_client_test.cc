#include "skylarkshunt/http/http_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace skylarkshunt {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr size_t kPieceBytes = 1'000;
constexpr int kPieces = 10;

/// Answers one call in pieces, with a pause before each piece.
class SlowServer {
 public:
  explicit SlowServer(absl::Duration pause)
      : acceptor_(context_, {asio::ip::make_address_v4("127.0.0.1"), 0}),
        thread_([this, pause] { Serve(pause); }) {}
  SlowServer(const SlowServer&) = delete;
  SlowServer& operator=(const SlowServer&) = delete;
  ~SlowServer() { thread_.join(); }

  Endpoint address() const {
    return {0x7f000001, acceptor_.local_endpoint().port()};
  }

 private:
  void Serve(absl::Duration pause) {
    boost::system::error_code error;
    tcp::socket socket = acceptor_.accept(error);
    const std::string head = absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ",
                                          kPieces * kPieceBytes, "\r\n\r\n");
    asio::write(socket, asio::buffer(head), error);
    const std::string piece(kPieceBytes, 'x');
    for (int i = 0; i < kPieces && !error; ++i) {
      absl::SleepFor(pause);
      asio::write(socket, asio::buffer(piece), error);
    }
  }

  asio::io_context context_;
  tcp::acceptor acceptor_;
  std::thread thread_;
};

class HttpClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpClientTest);
  CPPUNIT_TEST(LongAnswerWithProgressOutlastsTheTimeout);
  CPPUNIT_TEST(StalledAnswerTimesOut);
  CPPUNIT_TEST(TricklingAnswerTimesOut);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a document that never arrives because the timeout of the
  // call is shorter than its transfer over a slow link.
  void LongAnswerWithProgressOutlastsTheTimeout() {
    const SlowServer server(absl::Milliseconds(50));
    HttpCall call;
    call.server = server.address();
    call.timeout = absl::Milliseconds(200);
    call.progress_timeout = absl::Seconds(10);
    const Result<HttpAnswer> answer = Call(call);
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(kPieces * kPieceBytes, answer.value().body.size());
  }

  // Guards against taking an incomplete answer as complete, and against waiting
  // forever for its rest.
  void StalledAnswerTimesOut() {
    const SlowServer server(absl::Seconds(1));
    HttpCall call;
    call.server = server.address();
    call.timeout = absl::Milliseconds(100);
    call.progress_timeout = absl::Milliseconds(100);
    const Result<HttpAnswer> answer = Call(call);
    CPPUNIT_ASSERT(!answer.has_value());
    CPPUNIT_ASSERT(answer.error().kind == ErrorKind::kOutcomeUnknown);
  }

  // Guards against a call that holds back a configuration change for up to the
  // transfer limit, because its answer comes a few bytes at a time.
  void TricklingAnswerTimesOut() {
    const SlowServer server(absl::Milliseconds(50));
    HttpCall call;
    call.server = server.address();
    call.timeout = absl::Milliseconds(200);
    call.progress_timeout = absl::Seconds(10);
    call.progress_bytes = kPieces * kPieceBytes;
    const Result<HttpAnswer> answer = Call(call);
    CPPUNIT_ASSERT(!answer.has_value());
    CPPUNIT_ASSERT(answer.error().kind == ErrorKind::kOutcomeUnknown);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

}  // namespace
}  // namespace skylarkshunt
