// Files that a router exchanges with its operators: a folder of requests and answers, and files that are
// replaced atomically (written under a temporary name and renamed), so that readers always see complete ones.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gulltrestle::cluster {

// Replaces the file atomically. Returns false if it could not be written.
[[nodiscard]] bool replaceFile(const std::string& path, const std::string& content);

// Returns the nodes that the maintenance plan of that version excludes, as a JSON object for the system that
// feeds discovery.
std::string announcementOf(std::uint64_t version, const std::set<std::string>& excludedNodes);

// The folder of requests: NAME.ask.json is a request, NAME.answer.json its answer. The request file is
// deleted once its answer is written. The name identifies the request: a file that is found again after a
// crash is the same request.
class RequestDirectory {
 public:
  explicit RequestDirectory(std::string folder) : folder_(std::move(folder)) {}

  struct RequestFile {
    std::string name, text;
  };
  // Returns new requests, a limited number per call.
  std::vector<RequestFile> takeNew();
  // Writes the answer to a request. `rejection`: reason of the rejection; empty: the request was applied.
  void answer(const std::string& name, const std::string& rejection);
  // Returns a description of a failed file operation, once for each lasting failure; empty: no new failure.
  std::string takeFault();

 private:
  std::string folder_, fault_;
  bool isFailing_ = false;
  std::set<std::string> unanswered_;  // names of requests that were returned by takeNew()
};

}  // namespace gulltrestle::cluster
