#include "skylarkshunt/net/loop_thread.h"

#include <cassert>
#include <utility>

namespace skylarkshunt {

LoopThread::~LoopThread() {
  Stop();
}

void LoopThread::Stop() {
  if (!thread_.joinable())
    return;
  stop_.store(true);
  wakeup_.Notify();
  thread_.join();
}

void LoopThread::Start(std::function<void()> step) {
  assert(!thread_.joinable() && "a loop thread starts once");
  thread_ = std::thread([this, run = std::move(step)] {
    while (!stop_.load())
      run();
  });
}

}  // namespace skylarkshunt
