// Case 3: the platform's front and the discovery agent of a router that starts for the first time.
// `front DISCOVERY_PORT ROUTER_PORT silent|answers`
//
// The front asks the router whether it is ready, as the protocol page has it: the startup message, then an
// empty query. It waits for the answer and keeps its connection. The agent accepts calls; while discovery is
// down it says nothing. Writes one line per event to standard output, and ends when the router's connection
// does.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

namespace {

const auto startedAt = std::chrono::steady_clock::now();

void record(const std::string& text) {
  const std::chrono::duration<double> seconds = std::chrono::steady_clock::now() - startedAt;
  std::printf("%8.3f %s\n", seconds.count(), text.c_str());
  std::fflush(stdout);
}

sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<unsigned short>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int listenOn(int port) {
  const int listener = socket(AF_INET, SOCK_STREAM, 0), enabled = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  const sockaddr_in address = loopback(port);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      listen(listener, 64) != 0) {
    record("the port of discovery is taken");
    std::exit(2);
  }
  return listener;
}

int connectTo(int port) {
  const sockaddr_in address = loopback(port);
  for (int attempt = 0; attempt < 100; ++attempt) {
    const int connection = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
      return connection;
    close(connection);
    usleep(50'000);
  }
  record("the router does not listen");
  std::exit(2);
}

std::string bigEndian(std::size_t value) {
  std::string bytes;
  for (int shift = 24; shift >= 0; shift -= 8) bytes += static_cast<char>(value >> shift & 0xFF);
  return bytes;
}

void sendAll(int connection, const std::string& bytes) {
  if (send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(bytes.size()))
    record("a write failed");
}

// The whole list, or a watch without changes.
std::string agentAnswer(const std::string& request) {
  if (request.find("stream=1") != std::string::npos)
    return "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\n\n\r\n";
  const std::string list =
      R"({"version":41,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:9","zone":"yard-office",)"
      R"("kind":"std-5core","cell":1,"state":"up","weight":1.0,"started_ms":0,"part":"master"}]})";
  return "HTTP/1.1 200 OK\r\ncontent-length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
}

// Records the messages at the start of `bytes` that are complete, and removes them.
void takeMessages(std::string& bytes) {
  while (bytes.size() >= 5) {
    std::size_t length = 0;
    for (std::size_t i = 1; i < 5; ++i) length = length << 8 | static_cast<unsigned char>(bytes[i]);
    if (bytes.size() < length + 1) return;
    if (bytes[0] == 'I') record("front: EmptyQueryResponse: the router is ready");
    if (bytes[0] == 'E') record("front: an error");
    bytes.erase(0, length + 1);
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) return 2;
  const bool isSilent = std::strcmp(argv[3], "silent") == 0;
  const int listener = listenOn(std::atoi(argv[1]));
  record(isSilent ? "agent: discovery is down, nothing is said" : "agent: answers with its list");

  const int front = connectTo(std::atoi(argv[2]));
  const std::string user = std::string("user\0worker\0database\0catalog\0\0", 30);
  sendAll(front, bigEndian(user.size() + 8) + bigEndian(3 << 16) + user);
  sendAll(front, "Q" + bigEndian(5) + std::string(1, '\0'));
  record("front: sent the startup message and an empty query");

  std::string received;
  std::vector<pollfd> polled{{listener, POLLIN, 0}, {front, POLLIN, 0}};
  for (;;) {
    poll(polled.data(), polled.size(), -1);
    if (polled[0].revents != 0) polled.push_back({accept(listener, nullptr, nullptr), POLLIN, 0});
    char bytes[4096];
    if (polled[1].revents != 0) {
      const ssize_t size = recv(front, bytes, sizeof bytes, 0);
      if (size <= 0) {
        record("front: the router has closed the connection");
        return 0;
      }
      received.append(bytes, static_cast<std::size_t>(size));
      takeMessages(received);
    }
    for (std::size_t i = 2; i < polled.size(); ++i) {
      if (polled[i].revents == 0) continue;
      const ssize_t size = recv(polled[i].fd, bytes, sizeof bytes, 0);
      if (size > 0 && !isSilent)
        sendAll(polled[i].fd, agentAnswer(std::string(bytes, static_cast<std::size_t>(size))));
      if (size <= 0) {
        close(polled[i].fd);
        polled[i].fd = -1;
      }
    }
  }
}
