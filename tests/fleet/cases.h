// Cases of the rig that stand in files of their own. Each prints what must hold on every run.
#pragma once

namespace gulltrestle::fleet {

// An old primary that comes back first, and an older list that names it. Each returns the exit code.
int returns();

// The same id at two external processors; and, a measurement and no test, the time of a once-only txn.
int grants();
int price();

}  // namespace gulltrestle::fleet
