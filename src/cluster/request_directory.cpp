#include "cluster/request_directory.h"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace gulltrestle::cluster {

using Json = nlohmann::ordered_json;

namespace {

constexpr std::string_view kRequestSuffix = ".ask.json", kAnswerSuffix = ".answer.json";
// Limits on the requests returned per call and on the size of a request file. They bound the duration of a
// turn when the folder has many files; the remaining requests are returned by later calls.
constexpr std::size_t kMaxRequestsTaken = 16;
constexpr std::uintmax_t kMaxRequestBytes = 256 * 1024;

}  // namespace

bool replaceFile(const std::string& path, const std::string& content) {
  const std::string temporary = path + ".new";
  std::ofstream file(temporary, std::ios::binary | std::ios::trunc);
  file << content;
  file.close();
  return file && std::rename(temporary.c_str(), path.c_str()) == 0;
}

std::string announcementOf(std::uint64_t version, const std::set<std::string>& excludedNodes) {
  const Json announcement{{"version", version}, {"out", excludedNodes}};
  return announcement.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

std::vector<RequestDirectory::RequestFile> RequestDirectory::takeNew() {
  std::vector<RequestFile> requests;
  std::error_code listing;
  std::filesystem::directory_iterator file(folder_, listing), end;
  for (; !listing && file != end && requests.size() < kMaxRequestsTaken; file.increment(listing)) {
    const std::string fileName = file->path().filename().string();
    if (!fileName.ends_with(kRequestSuffix)) continue;
    const std::string name = fileName.substr(0, fileName.size() - kRequestSuffix.size());
    if (name.empty() || unanswered_.contains(name)) continue;
    unanswered_.insert(name);
    std::error_code sizing;
    if (file->file_size(sizing) > kMaxRequestBytes || sizing) {
      answer(name, "the request is longer than 256 KiB, or can't be read");
      continue;
    }
    std::ifstream content(file->path(), std::ios::binary);
    requests.push_back({name, std::string(std::istreambuf_iterator<char>(content), {})});
  }
  if (listing && !isFailing_) fault_ = folder_ + ": " + listing.message();
  isFailing_ = static_cast<bool>(listing);
  return requests;
}

void RequestDirectory::answer(const std::string& name, const std::string& rejection) {
  const Json answer = rejection.empty() ? Json{{"done", true}} : Json{{"done", false}, {"why", rejection}};
  const std::string base = folder_ + "/" + name;
  if (!replaceFile(base + std::string(kAnswerSuffix), answer.dump() + "\n")) {
    if (!std::exchange(isFailing_, true)) fault_ = base + ": the answer can't be written";
    return;
  }
  std::remove((base + std::string(kRequestSuffix)).c_str());
  unanswered_.erase(name);
}

std::string RequestDirectory::takeFault() { return std::exchange(fault_, ""); }

}  // namespace gulltrestle::cluster
