// Benchmark of durable votes per second, by the number of votes that are committed together: of the store,
// and of plain SQLite with a rollback journal and with a write-ahead log. It is not a test.
//
//   votes FOLDER         the folder must not exist
//   votes FOLDER CLAIMS  measures instead the start time and the memory of a voter with this number of claims
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
constexpr auto kRunDuration = std::chrono::milliseconds(1500);

double secondsSince(Clock::time_point startTime) {
  return std::chrono::duration<double>(Clock::now() - startTime).count();
}

idempotency::DiskChange vote(std::uint64_t number) {
  idempotency::ClaimRecord claim;
  claim.id = "9b1f03aa5c7e" + std::to_string(number);
  claim.token = {"r1", 7, number};
  return claim;
}

// Measures the store, with up to `batchSize` votes in flight.
void measureStore(const std::string& folder, std::size_t batchSize) {
  store::create(folder, "r1");
  store::Store store(folder, "r1", 1, {{1, {"r1"}}});
  std::uint64_t sent = 0, durable = 0;
  const auto startTime = Clock::now();
  while (secondsSince(startTime) < std::chrono::duration<double>(kRunDuration).count()) {
    while (sent - durable < batchSize) store.write({vote(++sent)});
    pollfd ready{store.descriptor(), POLLIN, 0};
    poll(&ready, 1, 1000);
    for (const auto& done : store.takeCompleted()) durable += done.isDurable;
  }
  std::cout << "store, " << batchSize
            << " in flight: " << static_cast<double>(durable) / secondsSince(startTime)
            << " votes per second, "
            << static_cast<double>(store.statistics().commits) / secondsSince(startTime)
            << " commits per second, longest commit " << store.statistics().longestCommit.inMicros() / 1000.0
            << " ms\n";
}

// Measures plain SQLite, with `batchSize` votes per commit.
void measureSqlite(const std::string& file, const char* journal, const char* sync, std::size_t batchSize) {
  sqlite3* db = nullptr;
  sqlite3_open(file.c_str(), &db);
  const auto run = [&](const std::string& text) {
    sqlite3_exec(db, text.c_str(), nullptr, nullptr, nullptr);
  };
  run(std::string("PRAGMA locking_mode=EXCLUSIVE; PRAGMA journal_mode=") + journal +
      "; PRAGMA synchronous=" + sync);
  run("CREATE TABLE claims (id BLOB PRIMARY KEY, router BLOB, start INTEGER, number INTEGER) WITHOUT ROWID");
  std::uint64_t commits = 0;
  const auto startTime = Clock::now();
  while (secondsSince(startTime) < std::chrono::duration<double>(kRunDuration).count()) {
    std::string statements = "BEGIN;";
    for (std::size_t number = 0; number < batchSize; ++number)
      statements += "INSERT INTO claims VALUES ('9b1f03aa5c7e" +
                    std::to_string(commits * batchSize + number) + "','r1',7," + std::to_string(number) +
                    ");";
    run(statements + "COMMIT");
    ++commits;
  }
  std::cout << journal << ", " << batchSize
            << " per commit: " << static_cast<double>(commits * batchSize) / secondsSince(startTime)
            << " votes per second, " << static_cast<double>(commits) / secondsSince(startTime)
            << " commits per second\n";
  sqlite3_close(db);
}

// Returns the resident memory of this process in MB.
double residentMb() {
  std::ifstream status("/proc/self/statm");
  double pages = 0;
  status >> pages >> pages;
  return pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

// Stores `claims` claims, then measures how long a voter takes to load them.
void measureVoterStart(const std::string& folder, std::uint64_t claims) {
  constexpr std::uint64_t kBatchSize = 20'000;
  const std::string file = folder + "/claims.db";
  store::create(folder, "r1");
  {
    store::Store store(folder, "r1", 1, {{1, {"r1"}}});
    for (std::uint64_t written = 0; written < claims;) {
      std::vector<idempotency::DiskChange> changes;
      while (changes.size() < kBatchSize && written < claims) changes.push_back(vote(++written));
      const auto id = store.write(std::move(changes));
      for (bool durable = false; !durable;) {
        pollfd ready{store.descriptor(), POLLIN, 0};
        poll(&ready, 1, 1000);
        for (const auto& done : store.takeCompleted()) durable = durable || done.id == id;
      }
    }
  }
  const double memoryBefore = residentMb();
  const auto startTime = Clock::now();
  store::Store store(folder, "r1", 2, {{1, {"r1"}}});
  const double openSeconds = secondsSince(startTime);
  idempotency::VotingMemberLimits limits;
  limits.maxClaims = claims + 1;
  const idempotency::VotingMember voter(Instant::atMicros(1), "r1", limits, store.takeStoredState());
  std::cout << claims << " claims, file size " << static_cast<double>(std::filesystem::file_size(file)) / 1e6
            << " MB: opened and verified in " << openSeconds << " s, voter with " << voter.claimCount()
            << " claims started after " << secondsSince(startTime) << " s, memory "
            << residentMb() - memoryBefore << " MB\n";
}

}  // namespace

int main(int argumentCount, char** arguments) {
  if (argumentCount < 2 || !std::filesystem::create_directory(arguments[1])) return 2;
  const std::string folder = arguments[1];
  if (argumentCount > 2) {
    measureVoterStart(folder, std::stoull(arguments[2]));
    std::filesystem::remove_all(folder);
    return 0;
  }
  for (const std::size_t batchSize : {1, 10, 100}) {
    measureStore(folder + "/store" + std::to_string(batchSize), batchSize);
    measureSqlite(folder + "/truncate" + std::to_string(batchSize), "TRUNCATE", "EXTRA", batchSize);
    measureSqlite(folder + "/wal" + std::to_string(batchSize), "WAL", "FULL", batchSize);
  }
  std::filesystem::remove_all(folder);
  return 0;
}
