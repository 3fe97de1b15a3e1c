// `gulltrestle status FILE`: what a running router's status document says of the return of service.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>
#include <iosfwd>

namespace gulltrestle::cli {

// Exit codes: 0: all is let in everywhere; 3: something is awaited; 1: the document can't be read.
void addStatus(CLI::App& app, std::ostream& out, std::function<int()>& todo);

}  // namespace gulltrestle::cli
