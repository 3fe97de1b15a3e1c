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

std::string bigEndian(std::uint32_t value, int bytes) {
  std::string encoded;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
    encoded += static_cast<char>(value >> shift & 0xFF);
  return encoded;
}
std::string parameterStatus(std::string_view name, std::string_view value) {
  return postgres::message('S', std::string(name) + '\0' + std::string(value) + '\0');
}
std::string resultRow(const std::string& value) {
  const std::string column = std::string("body") + '\0' + bigEndian(0, 4) + bigEndian(0, 2) +
                             bigEndian(17, 4) + bigEndian(0xFFFF, 2) + bigEndian(0xFFFFFFFF, 4) +
                             bigEndian(0, 2);
  return postgres::message('T', bigEndian(1, 2) + column) +
         postgres::message('D',
                           bigEndian(1, 2) + bigEndian(static_cast<std::uint32_t>(value.size()), 4) + value) +
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
               const std::string& file, SyncMode syncMode)
    : loop_(loop), file_(file), syncMode_(syncMode), executedIds_(readLog(file)) {
  logFile_ = event_loop::Descriptor(::open(file.c_str(), O_WRONLY | O_CREAT, 0600));
  if (!logFile_ || ftruncate(logFile_.number(), static_cast<off_t>(sizeOf(executedIds_))) != 0 ||
      lseek(logFile_.number(), 0, SEEK_END) < 0)
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
    event_loop::Descriptor accepted;
    if (listener.accept(accepted) == event_loop::IoStatus::ok)
      loop_.spawn(serve(std::move(accepted)));
    else
      co_await listener.changed();
  }
}

// False: the log could not be written, and the transaction must not be answered.
bool PgNode::log(const std::string& id) {
  const std::string line = id + "\n";
  if (::write(logFile_.number(), line.data(), line.size()) != static_cast<ssize_t>(line.size())) return false;
  if (syncMode_ != SyncMode::always) return true;
  if (fsync(logFile_.number()) != 0) return false;
  // Written to another file and renamed, as it is read after this process was killed.
  std::ofstream(file_ + ".synced.new", std::ios::trunc) << sizeOf(executedIds_);
  std::filesystem::rename(file_ + ".synced.new", file_ + ".synced");
  return true;
}

event_loop::Task PgNode::serve(event_loop::Descriptor descriptor) {
  event_loop::Stream stream(loop_, std::move(descriptor));
  std::string received, unsent;
  bool isStarted = false;
  while (readAll(stream, received)) {
    std::string_view bytes = received;
    if (!isStarted && (isStarted = postgres::takeStartupMessage(bytes).has_value()))
      unsent += postgres::startupAnswer();
    while (isStarted) {
      const auto message = postgres::takeMessage(bytes, kMaxBufferedBytes);
      if (!message) break;
      if (message->type == 'X') co_return;
      if (message->type != 'Q') continue;
      auto body = message->body;
      const std::string text(postgres::takeString(body));
      const std::string position = std::to_string(loop_.now().inMicros() / 1000 + 1);
      const std::string statusMessages = parameterStatus("part", "master") +
                                         parameterStatus("caught_up_to", position) +
                                         postgres::readyForQuery();
      if (postgres::isBlank(text) || text == "SELECT 1") {
        unsent += postgres::isBlank(text) ? postgres::emptyQueryResponse() + postgres::readyForQuery()
                                          : resultRow("1") + statusMessages;
        continue;
      }
      if (text.starts_with("SHOW")) {
        unsent += resultRow("x0=" + std::to_string((loop_.now() - Instant()).inSeconds()) + ",x1=1") +
                  statusMessages;
        continue;
      }
      const std::string id(postgres::readStatement(text).id);
      executedIds_.push_back(id);
      if (!log(id)) co_return;
      if (onWrite) onWrite(id);
      if (dropAnswers) co_return;
      unsent += resultRow("value of " + id) + statusMessages;
    }
    received.erase(0, received.size() - bytes.size());
    if (!write(stream, unsent)) co_return;
    co_await stream.changed();
  }
}

}  // namespace gulltrestle::fleet
