#include <iostream>

#include "wire/drill.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  return gulltrestle::wire::drill(std::cin, std::cout, std::cerr);
}
