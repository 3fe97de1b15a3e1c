#include "cluster/request_directory.h"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace gulltrestle::cluster {

using Json = nlohmann::ordered_json;

namespace {

constexpr std::string_view kAsk = ".ask.json", kAnswer = ".answer.json";
// At a look, and of one. Guards the turn against a folder that somebody fills; the rest waits.
constexpr std::size_t kMostAtOnce = 16;
constexpr std::uintmax_t kLongest = 256 * 1024;

}  // namespace

bool replaceFile(const std::string& path, const std::string& content) {
  const std::string beside = path + ".new";
  std::ofstream file(beside, std::ios::binary | std::ios::trunc);
  file << content;
  file.close();
  return file && std::rename(beside.c_str(), path.c_str()) == 0;
}

std::string announced(std::uint64_t version, const std::set<std::string>& out) {
  return Json{{"version", version}, {"out", out}}.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

std::vector<std::pair<std::string, std::string>> RequestDirectory::take() {
  std::vector<std::pair<std::string, std::string>> out;
  std::error_code code;
  std::filesystem::directory_iterator all(folder_, code), end;
  for (; !code && all != end && out.size() < kMostAtOnce; all.increment(code)) {
    const std::string file = all->path().filename().string();
    if (!file.ends_with(kAsk)) continue;
    const std::string name = file.substr(0, file.size() - kAsk.size());
    if (name.empty() || open_.contains(name)) continue;
    std::error_code size;
    open_.insert(name);
    if (all->file_size(size) > kLongest || size) {
      answer(name, "the request is longer than 256 KiB, or can't be read");
      continue;
    }
    std::ifstream in(all->path(), std::ios::binary);
    out.emplace_back(name, std::string(std::istreambuf_iterator<char>(in), {}));
  }
  if (code && !faulty_) fault_ = folder_ + ": " + code.message();
  faulty_ = static_cast<bool>(code);
  return out;
}

void RequestDirectory::answer(const std::string& name, const std::string& why) {
  const Json answer = why.empty() ? Json{{"done", true}} : Json{{"done", false}, {"why", why}};
  const std::string base = folder_ + "/" + name;
  if (!replaceFile(base + std::string(kAnswer), answer.dump() + "\n")) {
    if (!std::exchange(faulty_, true)) fault_ = base + ": the answer can't be written";
    return;
  }
  std::remove((base + std::string(kAsk)).c_str());
  open_.erase(name);
}

std::string RequestDirectory::takeFault() { return std::exchange(fault_, ""); }

}  // namespace gulltrestle::cluster
