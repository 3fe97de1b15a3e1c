// Tests the wire encoding of the messages between routers and voters: the exact bytes of each message, that
// decoding and encoding again gives the same bytes, and how malformed bytes are rejected. Routers of
// different versions exchange these messages, so the bytes in the expected output must never change. Run as
// `peer_messages CASE`: prints the case's trace.
#include <cstdint>
#include <functional>
#include <iostream>
#include <string>
#include <string_view>

#include "cluster/messages.h"

using namespace gulltrestle;
using namespace gulltrestle::cluster;

namespace {

std::string hexOf(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    text += kDigits[value / 16];
    text += kDigits[value % 16];
  }
  return text;
}

std::string bytesOf(std::string_view hex) {
  std::string bytes;
  for (std::size_t at = 0; at + 1 < hex.size(); at += 2)
    bytes += static_cast<char>(std::stoi(std::string(hex.substr(at, 2)), nullptr, 16));
  return bytes;
}

void show(std::string_view name, std::string_view bytes, std::string_view reencoded) {
  std::cout << name << ": " << hexOf(bytes) << (bytes == reencoded ? "" : " REENCODED DIFFERENTLY") << "\n";
}

void showMessage(std::string_view name, const PeerMessage& message) {
  const std::string bytes = encoded(message);
  show(name, bytes, encoded(readMessage(bytes)));
}

void showReply(std::string_view name, const PeerReply& reply) {
  const std::string bytes = encoded(reply);
  show(name, bytes, encoded(readReply(bytes)));
}

// Every field has a distinct value, so that swapped fields show in the output.
const maintenance::AcceptedValue kAccepted{{0x21, 0x22}, {0x23, 0x24}, "a plan"};
const DrainUpdates kDrains{{"n1", 0x31, true}, {"n2", 0x32, false}};
const PrimaryUpdates kPrimaries{{0x41, {"n3", 0x42}}, {0x43, {"n4", 0x44}}};

void messages() {
  showMessage("greeting of a voter", Greeting{"r1", "1: r1 r2 r3", 0x11, {0x12, 0x13}});
  showMessage("greeting of another router", Greeting{"r4", "1: r1 r2 r3", 0x14, {}});
  showMessage("claim", Claim{"a key", 0x15});
  showMessage("release", Release{"a key", 0x16});
  showMessage("committed", Committed{"a key", 0x17, "a value"});
  showMessage("drain updates", kDrains);
  showMessage("no drain updates", DrainUpdates{});
  showMessage("primary updates", kPrimaries);
  showMessage("join request", JoinRequest{0x18});
  showMessage("heartbeat", Heartbeat{0x19, {0x1a, 0x1b, 0x1c}});
  showMessage("prepare request", PrepareRequest{{0x1d, 0x1e}});
  showMessage("accept request", AcceptRequest{kAccepted});
}

void replies() {
  using Reply = maintenance::Acceptor::AcceptorReply;
  using idempotency::Vote;
  using membership::Liveness;
  showReply("greeting reply", GreetingReply{0x51, {0x52, 0x53}, {0x54, 0x55}});
  showReply("vote, granted", VoteReply{0x56, {Vote::Kind::granted, false, ""}});
  showReply("vote, taken by another", VoteReply{0x57, {Vote::Kind::takenByOther, true, "a value"}});
  showReply("vote, abstained", VoteReply{0x58, {Vote::Kind::abstained, false, ""}});
  showReply("drain updates", kDrains);
  showReply("primary updates", kPrimaries);
  showReply("observations",
            ObservationReport{{{"n1", Instant::atMicros(0x61), Role::primary, Instant::atMicros(0x62),
                                Duration::micros(0x63)},
                               {"n2", Instant::atMicros(-2), Role::replica, std::nullopt, Duration()},
                               {"n3", Instant(), Role::unknown, std::nullopt, Duration::micros(0x64)}},
                              true});
  showReply("no observations", ObservationReport{{}, false});
  showReply("join reply", JoinReply{{0x65, 0x66}});
  showReply("heartbeat reply", HeartbeatReply{{{"r1", {0x71, 0x72}, Liveness::awaited, {0x73, 0x74, 0x75}},
                                               {"r2", {0x76, 0x77}, Liveness::alive, {0x78, 0x79, 0x7a}},
                                               {"r3", {0x7b, 0x7c}, Liveness::silent, {}},
                                               {"r4", {0x7d, 0x7e}, Liveness::removed, {}}},
                                              0x7f,
                                              true});
  showReply("heartbeat reply without reports", HeartbeatReply{{}, 0x81, false});
  showReply("promise", ProposalReply{Reply{Reply::Kind::promised, {0x82, 0x83}, {}, kAccepted}});
  showReply("accepted", ProposalReply{Reply{Reply::Kind::accepted, {0x84, 0x85}, {}, {}}});
  showReply("rejected", ProposalReply{Reply{Reply::Kind::rejected, {0x86, 0x87}, {0x88, 0x89}, {}}});
  showReply("plan update", PlanUpdate{kAccepted});
}

void showRejection(std::string_view name, std::string_view hex,
                   const std::function<void(std::string_view bytes)>& read) {
  std::cout << name << ": ";
  try {
    read(bytesOf(hex));
    std::cout << "accepted\n";
  } catch (const MalformedMessage& bad) { std::cout << bad.what() << "\n"; }
}

void malformed() {
  const auto asMessage = [](std::string_view bytes) { (void)readMessage(bytes); };
  const auto asReply = [](std::string_view bytes) { (void)readReply(bytes); };
  showRejection("an empty message", "", asMessage);
  showRejection("a truncated message", "0a05", asMessage);
  showRejection("a message of an unknown type", "5a00", asMessage);
  showRejection("a claim without its fields", "1200", asMessage);
  showRejection("a claim with a field of a later version", "1205ba01020102", asMessage);
  showRejection("a greeting whose router name is not UTF-8", "0a030a01ff", asMessage);
  showRejection("an empty reply", "", asReply);
  showRejection("a truncated reply", "0a05", asReply);
  showRejection("a reply of an unknown type", "5a00", asReply);
  showRejection("a report of a router whose name is not UTF-8", "3a050a030a01ff", asReply);
  showRejection("a report of the last known liveness", "3a040a021803", asReply);
  showRejection("a report of an unknown liveness", "3a040a021804", asReply);
  showRejection("a report of a negative liveness", "3a0d0a0b18ffffffffffffffffff01", asReply);
  showRejection("an acceptor's reply of the last known kind", "42020802", asReply);
  showRejection("an acceptor's reply of an unknown kind", "42020803", asReply);
  showRejection("a vote of an unknown kind", "12021003", asReply);
}

}  // namespace

int main(int argumentCount, char** arguments) {
  const std::string name = argumentCount > 1 ? arguments[1] : "";
  if (name == "messages")
    messages();
  else if (name == "replies")
    replies();
  else if (name == "malformed")
    malformed();
  else
    return 2;
}
