// Cases of the rig that stand in files of their own. Each prints what must hold on every run.
#pragma once

namespace gulltrestle::fleet {

// An old primary that comes back first, and an older list that names it. Returns the exit code.
int returns();

}  // namespace gulltrestle::fleet
