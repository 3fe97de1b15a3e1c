// The fake node as a process of its own: `fleet_node HOST PORT LOG always|faked`.
#include <exception>
#include <iostream>

#include "pg_node.h"

int main(int argc, char** argv) {
  using namespace gulltrestle;
  if (argc != 5) return 2;
  try {
    event_loop::EventLoop loop;
    fleet::PgNode node(loop, argv[1], static_cast<unsigned short>(std::stoul(argv[2])), argv[3],
                       std::string(argv[4]) == "faked" ? fleet::SyncMode::faked : fleet::SyncMode::always);
    loop.run([](Instant) { return Instant(); },
             [](std::exception_ptr failure) { std::rethrow_exception(failure); });
    return 0;
  } catch (const std::exception& bad) {
    std::cerr << "fleet_node: " << bad.what() << "\n";
    return 1;
  }
}
