// Files between a router and its operators: a folder of requests and their answers, and files that are
// written beside and renamed, so that a reader always finds a complete one.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gulltrestle::cluster {

// Replaces the file atomically. False: it could not be written.
[[nodiscard]] bool replaceFile(const std::string& path, const std::string& content);

// The nodes that maintenance excludes by the plan of that version, as a JSON object for whoever feeds
// discovery.
std::string announcementOf(std::uint64_t version, const std::set<std::string>& excludedNodes);

// The folder of requests: NAME.ask.json is a request, NAME.answer.json its answer. The request's file is
// deleted once its answer is written. The name identifies the request: one that is found again after a crash
// is the same.
class RequestDirectory {
 public:
  explicit RequestDirectory(std::string folder) : folder_(std::move(folder)) {}

  struct RequestFile {
    std::string name, text;
  };
  // The requests that are new, some at a time.
  std::vector<RequestFile> takeNew();
  // `rejection`: why the request was rejected; empty: it was applied.
  void answer(const std::string& name, const std::string& rejection);
  // What failed in the folder, once for each failure that lasts; empty: nothing.
  std::string takeFault();

 private:
  std::string folder_, fault_;
  bool isFailing_ = false;
  std::set<std::string> unanswered_;  // names that were taken
};

}  // namespace gulltrestle::cluster
