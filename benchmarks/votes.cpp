// How many votes a second a disk makes durable, by how many are committed together: the store as it is, and
// SQLite by itself with its two journals. Run as `votes FOLDER`; the folder must not be there. With a number
// of ids behind it: how long a keeper that holds so many takes to start, and in how much memory. A
// measurement, no test.
#include <poll.h>
#include <sqlite3.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "idempotency/voting_member.h"
#include "store/store.h"

using namespace gulltrestle;

namespace {

using Clock = std::chrono::steady_clock;
constexpr auto kFor = std::chrono::milliseconds(1500);

double secondsSince(Clock::time_point began) {
  return std::chrono::duration<double>(Clock::now() - began).count();
}

idempotency::DiskChange vote(std::uint64_t number) {
  idempotency::ClaimRecord claim;
  claim.id = "9b1f03aa5c7e" + std::to_string(number);
  claim.token = {"r1", 7, number};
  return claim;
}

void asItIs(const std::string& folder, std::size_t together) {
  store::create(folder, "r1");
  store::Store store(folder, "r1", 1, {{1, {"r1"}}});
  std::uint64_t sent = 0, durable = 0;
  const auto began = Clock::now();
  while (secondsSince(began) < std::chrono::duration<double>(kFor).count()) {
    while (sent - durable < together) store.write({vote(++sent)});
    pollfd ready{store.descriptor(), POLLIN, 0};
    poll(&ready, 1, 1000);
    for (const auto& done : store.takeCompleted()) durable += done.isDurable;
  }
  std::cout << "the store, " << together
            << " out at a time: " << static_cast<double>(durable) / secondsSince(began) << " votes a second, "
            << static_cast<double>(store.statistics().commits) / secondsSince(began) << " commits, longest "
            << store.statistics().longestCommit.inMicros() / 1000.0 << " ms\n";
}

void plain(const std::string& file, const char* journal, const char* sync, std::size_t together) {
  sqlite3* db = nullptr;
  sqlite3_open(file.c_str(), &db);
  const auto run = [&](const std::string& text) {
    sqlite3_exec(db, text.c_str(), nullptr, nullptr, nullptr);
  };
  run(std::string("PRAGMA locking_mode=EXCLUSIVE; PRAGMA journal_mode=") + journal +
      "; PRAGMA synchronous=" + sync);
  run("CREATE TABLE claims (id BLOB PRIMARY KEY, router BLOB, start INTEGER, number INTEGER) WITHOUT ROWID");
  std::uint64_t commits = 0;
  const auto began = Clock::now();
  while (secondsSince(began) < std::chrono::duration<double>(kFor).count()) {
    std::string all = "BEGIN;";
    for (std::size_t n = 0; n < together; ++n)
      all += "INSERT INTO claims VALUES ('9b1f03aa5c7e" + std::to_string(commits * together + n) +
             "','r1',7," + std::to_string(n) + ");";
    run(all + "COMMIT");
    ++commits;
  }
  std::cout << journal << ", " << together
            << " in a commit: " << static_cast<double>(commits * together) / secondsSince(began)
            << " votes a second, " << static_cast<double>(commits) / secondsSince(began) << " commits\n";
  sqlite3_close(db);
}

// Of this process, in MB.
double resident() {
  std::ifstream status("/proc/self/statm");
  double pages = 0;
  status >> pages >> pages;
  return pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

void start(const std::string& folder, std::uint64_t ids) {
  constexpr std::uint64_t kTogether = 20'000;
  const std::string file = folder + "/claims.db";
  store::create(folder, "r1");
  {
    store::Store store(folder, "r1", 1, {{1, {"r1"}}});
    for (std::uint64_t n = 0; n < ids;) {
      std::vector<idempotency::DiskChange> changes;
      while (changes.size() < kTogether && n < ids) changes.push_back(vote(++n));
      const auto id = store.write(std::move(changes));
      for (bool durable = false; !durable;) {
        pollfd ready{store.descriptor(), POLLIN, 0};
        poll(&ready, 1, 1000);
        for (const auto& done : store.takeCompleted()) durable = durable || done.id == id;
      }
    }
  }
  const double before = resident();
  const auto began = Clock::now();
  store::Store store(folder, "r1", 2, {{1, {"r1"}}});
  const double opened = secondsSince(began);
  idempotency::VotingMemberLimits bounds;
  bounds.maxClaims = ids + 1;
  const idempotency::VotingMember keeper(Instant::atMicros(1), "r1", bounds, store.takeStoredState());
  std::cout << ids << " ids, a file of " << static_cast<double>(std::filesystem::file_size(file)) / 1e6
            << " MB: opened and checked in " << opened << " s, a keeper that holds " << keeper.claimCount()
            << " after " << secondsSince(began) << " s, " << resident() - before << " MB\n";
}

}  // namespace

int main(int count, char** words) {
  if (count < 2 || !std::filesystem::create_directory(words[1])) return 2;
  const std::string folder = words[1];
  if (count > 2) {
    start(folder, std::stoull(words[2]));
    std::filesystem::remove_all(folder);
    return 0;
  }
  for (const std::size_t together : {1, 10, 100}) {
    asItIs(folder + "/store" + std::to_string(together), together);
    plain(folder + "/truncate" + std::to_string(together), "TRUNCATE", "EXTRA", together);
    plain(folder + "/wal" + std::to_string(together), "WAL", "FULL", together);
  }
  std::filesystem::remove_all(folder);
  return 0;
}
