#include "signals.h"

#include <csignal>
#include <ctime>

namespace skylarkshunt {
namespace {

sigset_t HandledSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

}  // namespace

void BlockHandledSignals() {
  const sigset_t signals = HandledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

int WaitForSignal(absl::Duration wait) {
  const sigset_t signals = HandledSignals();
  const timespec time = absl::ToTimespec(wait);
  const int signal = sigtimedwait(&signals, nullptr, &time);
  return signal > 0 ? signal : 0;
}

}  // namespace skylarkshunt
