// A node as a process of its own: `fleet_node HOST PORT LOG always|lies`.
#include <exception>
#include <iostream>

#include "pg_node.h"

int main(int count, char** words) {
  using namespace gulltrestle;
  if (count != 5) return 2;
  try {
    event_loop::EventLoop loop;
    fleet::PgNode node(loop, words[1], static_cast<unsigned short>(std::stoul(words[2])), words[3],
                       std::string(words[4]) == "lies" ? fleet::Syncs::lies : fleet::Syncs::always);
    loop.run([](Instant) { return Instant(); },
             [](std::exception_ptr failure) { std::rethrow_exception(failure); });
    return 0;
  } catch (const std::exception& bad) {
    std::cerr << "fleet_node: " << bad.what() << "\n";
    return 1;
  }
}
