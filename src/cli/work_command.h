// `gulltrestle work`: what operators ask of routers that settle work on machines among themselves.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>
#include <iosfwd>

namespace gulltrestle::cli {

// Exit codes: 0: carried out; 1: refused, or it can't be read; 3: no answer yet, and the request stays; list:
// 3: something is in work or waits.
void addWork(CLI::App& app, std::ostream& out, std::function<int()>& todo);

}  // namespace gulltrestle::cli
