#include "pg_node.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <system_error>

#include "protocol/postgres/messages.h"
#include "protocol/postgres/statement.h"
#include "streams.h"

namespace gulltrestle::fleet {

namespace {

std::string number(std::uint32_t n, int bytes) {
  std::string made;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) made += static_cast<char>(n >> shift & 0xFF);
  return made;
}
std::string status(std::string_view name, std::string_view value) {
  return postgres::message('S', std::string(name) + '\0' + std::string(value) + '\0');
}
std::string row(const std::string& value) {
  const std::string column = std::string("body") + '\0' + number(0, 4) + number(0, 2) + number(17, 4) +
                             number(0xFFFF, 2) + number(0xFFFFFFFF, 4) + number(0, 2);
  return postgres::message('T', number(1, 2) + column) +
         postgres::message('D', number(1, 2) + number(static_cast<std::uint32_t>(value.size()), 4) + value) +
         postgres::message('C', std::string("INSERT 0 1") + '\0');
}

std::uint64_t sizeOf(const std::vector<std::string>& ids) {
  std::uint64_t size = 0;
  for (const auto& id : ids) size += id.size() + 1;
  return size;
}

}  // namespace

std::vector<std::string> readLog(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::vector<std::string> ids;
  for (std::string line; std::getline(in, line);)
    if (!in.eof()) ids.push_back(line);
  return ids;
}

PgNode::PgNode(event_loop::EventLoop& loop, const std::string& host, unsigned short port,
               const std::string& file, Syncs syncs)
    : loop_(loop), file_(file), syncs_(syncs), ran_(readLog(file)) {
  log_ = event_loop::Descriptor(::open(file.c_str(), O_WRONLY | O_CREAT, 0600));
  if (!log_ || ftruncate(log_.number(), static_cast<off_t>(sizeOf(ran_))) != 0 ||
      lseek(log_.number(), 0, SEEK_END) < 0)
    throw std::system_error(errno, std::generic_category(), file);
  event_loop::Descriptor listener = event_loop::listenOn(host, port);
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(listener.number(), reinterpret_cast<sockaddr*>(&address), &size);
  address_ = host + ":" + std::to_string(ntohs(address.sin_port));
  loop_.spawn(accept(std::move(listener)));
}

event_loop::Task PgNode::accept(event_loop::Descriptor descriptor) {
  event_loop::Stream listener(loop_, std::move(descriptor));
  for (;;) {
    event_loop::Descriptor taken;
    if (listener.accept(taken) == event_loop::Io::some)
      loop_.spawn(serve(std::move(taken)));
    else
      co_await listener.changed();
  }
}

// False: the log could not be written, and nothing is answered.
bool PgNode::log(const std::string& id) {
  const std::string line = id + "\n";
  if (::write(log_.number(), line.data(), line.size()) != static_cast<ssize_t>(line.size())) return false;
  if (syncs_ != Syncs::always) return true;
  if (fsync(log_.number()) != 0) return false;
  // Beside, and renamed: it is read after this process was killed.
  std::ofstream(file_ + ".synced.new", std::ios::trunc) << sizeOf(ran_);
  std::filesystem::rename(file_ + ".synced.new", file_ + ".synced");
  return true;
}

event_loop::Task PgNode::serve(event_loop::Descriptor descriptor) {
  event_loop::Stream stream(loop_, std::move(descriptor));
  std::string kept, unsent;
  bool started = false;
  while (readAll(stream, kept)) {
    std::string_view bytes = kept;
    if (!started && (started = postgres::takeOpening(bytes).has_value())) unsent += postgres::welcome();
    while (started) {
      const auto message = postgres::takeMessage(bytes, kLongest);
      if (!message) break;
      if (message->type == 'X') co_return;
      if (message->type != 'Q') continue;
      auto body = message->body;
      const std::string text(postgres::takeText(body));
      const std::string position = std::to_string(loop_.now().inMicros() / 1000 + 1);
      const std::string told =
          status("part", "master") + status("caught_up_to", position) + postgres::readyForQuery();
      if (postgres::isBlank(text) || text == "SELECT 1") {
        unsent += postgres::isBlank(text) ? postgres::emptyQueryResponse() + postgres::readyForQuery()
                                          : row("1") + told;
        continue;
      }
      if (text.starts_with("SHOW")) {
        unsent += row("x0=" + std::to_string((loop_.now() - Instant()).inSeconds()) + ",x1=1") + told;
        continue;
      }
      const std::string id(postgres::readStatement(text).id);
      ran_.push_back(id);
      if (!log(id)) co_return;
      if (onWrite) onWrite(id);
      if (swallowAnswers) co_return;
      unsent += row("value of " + id) + told;
    }
    kept.erase(0, kept.size() - bytes.size());
    if (!write(stream, unsent)) co_return;
    co_await stream.changed();
  }
}

}  // namespace gulltrestle::fleet
