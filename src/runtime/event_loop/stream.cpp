#include "runtime/event_loop/stream.h"

#include <sys/epoll.h>

#include "runtime/event_loop/event_loop.h"

namespace gulltrestle::event_loop {

namespace {

constexpr std::uint32_t kReadable = EPOLLIN | EPOLLRDHUP, kWritable = EPOLLOUT;
constexpr std::uint32_t kBroken = EPOLLHUP | EPOLLERR;  // reported whether asked for or not

}  // namespace

Stream::Stream(EventLoop& loop, Descriptor descriptor) : loop_(loop), descriptor_(std::move(descriptor)) {
  loop_.add(*this);
}

Stream::~Stream() { loop_.remove(*this); }

std::uint32_t Stream::wanted() const { return (canRead_ ? 0 : kReadable) | (canWrite_ ? 0 : kWritable); }

std::uint32_t Stream::reported(std::uint32_t events) {
  std::uint32_t known = 0;
  // A first report of what can be read is mostly followed by a read: only a second one costs a call.
  if (canRead_) known |= events & kReadable;
  if (hungUp_) known |= events & kBroken;
  // An error or a hang-up shows in the next read or write, too.
  if (events & kBroken) hungUp_ = true;
  if (events & (EPOLLRDHUP | kBroken)) readEnds_ = true;
  if (events & (kReadable | kBroken)) canRead_ = true;
  if (events & (kWritable | kBroken)) canWrite_ = true;
  return known | (events & kWritable);
}

IoResult Stream::read(std::span<char> buffer) {
  const IoResult got = readInto(descriptor(), buffer);
  // Less than there was room for was mostly all, and is reported again where it was not; an end that epoll
  // has reported already is still to be read.
  const bool allTaken = got.how == Io::some && got.size < buffer.size() && !readEnds_;
  if (got.how == Io::wouldBlock || allTaken) readBlocked();
  if (got.how != Io::noMemory) return got;
  readBlocked();
  pauseReports();
  return {Io::wouldBlock};
}

IoResult Stream::write(std::span<const std::string_view> parts) {
  std::size_t all = 0;
  for (const auto part : parts) all += part.size();
  const IoResult done = writeFrom(descriptor(), parts);
  const bool wasShort = done.how == Io::some && done.size < all;
  if (done.how == Io::wouldBlock || wasShort) writeBlocked();
  if (done.how != Io::noMemory) return done;
  writeBlocked();
  pauseReports();
  return {Io::wouldBlock};
}

Io Stream::accept(Descriptor& taken) {
  const Io how = event_loop::accept(descriptor(), taken);
  if (how == Io::wouldBlock) readBlocked();
  return how;
}

void Stream::readBlocked() {
  canRead_ = false;
  if ((armed_ & kReadable) != kReadable) loop_.settleLater(*this);
}

void Stream::writeBlocked() {
  canWrite_ = false;
  if ((armed_ & kWritable) == 0) loop_.settleLater(*this);
}

// Level-triggered reports of what can't be read for want of memory would come without a pause.
void Stream::pauseReports() {
  paused_ = true;
  loop_.pauseReports(*this);
}

void Stream::await(std::coroutine_handle<> handle) {
  if (std::exchange(woken_, false))
    loop_.resume(handle);
  else
    waiter_ = handle;
}

void Stream::wake() {
  if (!waiter_)
    woken_ = true;
  else if (comesFirst_)
    loop_.resumeFirst(std::exchange(waiter_, {}));
  else
    loop_.resume(std::exchange(waiter_, {}));
}

void Stream::wakeAt(Instant at) { loop_.wakeAt(*this, at); }

}  // namespace gulltrestle::event_loop
