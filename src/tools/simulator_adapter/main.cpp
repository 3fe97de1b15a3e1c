#include <iostream>

#include "tools/simulator_adapter/adapter.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  return gulltrestle::simulator_adapter::runAdapter(std::cin, std::cout, std::cerr);
}
