#include <spdlog/spdlog.h>

#include <iostream>

#include "server/server.h"
#include "startup/startup.h"

int main() {
  try {
    spdlog::set_pattern("%H:%M:%S.%e %L %v");
    spdlog::flush_on(spdlog::level::info);
    gulltrestle::server::Server server(gulltrestle::startup::readStart());
    server.run();
    return 0;
  } catch (const std::exception& bad) {
    std::cerr << "gulltrestle: " << bad.what() << std::endl;
    return 1;
  }
}
