// Files between a router and its operators: requests that are put into a folder and their answers, and files
// that are written beside and renamed, so that whoever reads finds a whole one.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gulltrestle::cluster {

// False: it could not be written.
bool replaceFile(const std::string& path, const std::string& content);

// Nodes that are out, as a JSON object, for whoever feeds discovery.
std::string announced(std::uint64_t version, const std::set<std::string>& out);

// NAME.ask.json is a request, NAME.answer.json its answer; the request goes once it has one. The name is that
// of the request: one that is found again after a crash is the same.
class RequestDirectory {
 public:
  explicit RequestDirectory(std::string folder) : folder_(std::move(folder)) {}

  // Names and texts of those that are new, some at a time.
  std::vector<std::pair<std::string, std::string>> take();
  // Empty: it was carried out; else why not.
  void answer(const std::string& name, const std::string& why);
  // Kind went wrong with the folder, once.
  std::string takeFault();

 private:
  std::string folder_, fault_;
  bool faulty_ = false;
  std::set<std::string> open_;
};

}  // namespace gulltrestle::cluster
