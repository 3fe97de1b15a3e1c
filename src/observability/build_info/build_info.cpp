#include "observability/build_info/build_info.h"

namespace gulltrestle::build_info {

std::string_view version() { return GULLTRESTLE_VERSION; }

bool hasExternalProcessor() {
#ifdef GULLTRESTLE_EXT_PROC
  return true;
#else
  return false;
#endif
}

bool hasFleet() {
#ifdef GULLTRESTLE_FLEET
  return true;
#else
  return false;
#endif
}

std::string partsBuiltIn() {
  std::string out;
  if (hasExternalProcessor()) out += "ext_proc";
  if (hasFleet()) out += out.empty() ? "fleet" : ",fleet";
  return out.empty() ? "none" : out;
}

}  // namespace gulltrestle::build_info
