// Tests of the degradation levels: the controller alone, their effect on the router, the configuration and
// the status document, and minutes of varying load on a small simulated fleet. Run as `levels CASE
// [MINUTES]`; prints a trace that is compared with levels/CASE.txt.
#include <cstdlib>
#include <string>

#include "levels/cases.h"

int main(int argc, char** argv) {
  using namespace gulltrestle::levels_test;
  const std::string name = argc > 1 ? argv[1] : "";
  if (name == "steps") return steps(), 0;
  if (name == "load-near-bound") return loadNearBound(), 0;
  if (name == "causes") return causes(), 0;
  if (name == "tables") return tables(), 0;
  if (name == "admission") return admission(), 0;
  if (name == "configurations") return configurations(), 0;
  if (name == "status") return status(), 0;
  if (name == "faults") return faultScenarios(), 0;
  if (name == "varying-load") {
    if (argc > 2)
      varyingLoad(std::atoi(argv[2]), {1, 4, 40});
    else
      varyingLoad(2, {1, 4});
    return 0;
  }
  return 2;
}
