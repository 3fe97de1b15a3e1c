// The cases of the degradation levels. Each prints a trace.
#pragma once

#include <cstddef>
#include <vector>

namespace gulltrestle::levels_test {

// controller.cpp
void steps();
void loadNearBound();
void causes();
void tables();

// service.cpp
void admission();
void configurations();
void status();

// varying_load.cpp
void faultScenarios();
void varyingLoad(int minutes, const std::vector<std::size_t>& routerCounts);

}  // namespace gulltrestle::levels_test
