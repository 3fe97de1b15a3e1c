// Writes a folder with the store of commit 81fc514.
#include <poll.h>
#include <sqlite3.h>
#include <unistd.h>

#include <atomic>
#include <iostream>

#include "store/store.h"
#include "work/acceptor.h"
using namespace gulltrestle;
using Change = claims::Keeper::Change;
using What = Change::What;
static Change put(const std::string& id, const std::string& router, std::uint64_t start, std::uint64_t number,
                  bool committed = false, const std::string& value = "") {
  Change c;
  c.what = What::put;
  c.id = id;
  c.entry = {id, {router, start, number}, committed, value};
  return c;
}
static Change of(What what, const std::string& id, claims::Start start, bool whole = false,
                 std::uint64_t group = 0) {
  Change c;
  c.what = what;
  c.id = id;
  c.start = start;
  c.whole = whole;
  c.group = group;
  return c;
}
static void write(store::Store& s, std::vector<Change> changes) {
  const auto ticket = s.write(std::move(changes));
  for (;;) {
    pollfd ready{s.descriptor(), POLLIN, 0};
    poll(&ready, 1, 10000);
    for (const auto& d : s.done())
      if (d.ticket == ticket) {
        if (!d.durable) throw std::runtime_error("not durable");
        return;
      }
  }
}
static std::string plan() {
  work::Plan p;
  p.version = 17;
  work::Machine a;
  a.name = "m1";
  a.zone = "z1";
  a.nodes = {"n1", "n2"};
  a.routers = {"r2"};
  a.takes = Span::millis(600000);
  a.within = Span::millis(86400000);
  a.order = "kernel-7";
  a.by = "ann";
  a.phase = work::Phase::free;
  a.since = 16;
  a.why = "no router can send there";
  work::Machine b = a;
  b.name = "m2";
  b.zone = "z2";
  b.nodes = {"n3"};
  b.routers = {};
  b.within = Span();
  b.phase = work::Phase::waits;
  b.since = 12;
  b.tries = 2;
  b.why = "its group has lost another node";
  p.machines = {a, b};
  const char* const phases[] = {"next", "leaves", "returns", "over"};
  int n = 3;
  for (const char* name : phases) {
    work::Machine c;
    c.name = "m" + std::to_string(n);
    c.zone = "z3";
    c.nodes = {"n" + std::to_string(n + 1)};
    c.takes = Span::millis(1000 * n);
    c.order = "disk-9";
    c.by = "bob";
    c.since = 10;
    if (!work::phaseNamed(name, c.phase)) throw std::runtime_error(name);
    p.machines.push_back(c);
    ++n;
  }
  p.taken = {"disk-8", "kernel-7", "disk-9"};
  work::Acceptor acceptor("", true);
  std::optional<work::Acceptor::Answer> refused;
  work::Held held;
  held.ballot = {21, 0xC0FFEE0000000001ull};
  held.stamp = {17, 0xFEDCBA9876543210ull};
  held.value = work::encoded(p);
  if (!acceptor.write(held, refused)) throw std::runtime_error("write");
  acceptor.wrote(true);
  if (!acceptor.read({23, 4242}, refused)) throw std::runtime_error("read");
  acceptor.wrote(true);
  return acceptor.text();
}
static std::atomic<bool> dies = false;
// A rollback journal is truncated once all of a commit's pages are in the file: the process ends just before.
static int truncated(int file, off_t size) {
  if (dies) _exit(0);
  return ::ftruncate(file, size);
}
int main(int argc, char** argv) {
  sqlite3_vfs* files = sqlite3_vfs_find(nullptr);
  files->xSetSystemCall(files, "ftruncate", reinterpret_cast<sqlite3_syscall_ptr>(truncated));
  const std::string folder = argv[1];
  const claims::List l1{1, {"k1", "k2", "k3"}}, l2{2, {"k1", "k2", "k4"}}, l3{3, {"k1", "k4", "k5"}};
  store::create(folder, "k1");
  {
    store::Store s(folder, "k1", 0xFEDCBA9876543210ull, {l1});
    std::vector<Change> c;
    for (std::uint64_t n = 1; n <= 24; ++n)
      c.push_back(put("order-" + std::to_string(1000 + n), "r" + std::to_string(n % 3 + 1),
                      0x8000000000000007ull, n));
    write(s, c);
    c.clear();
    for (std::uint64_t n = 2; n <= 24; n += 2)
      c.push_back(put("order-" + std::to_string(1000 + n), "r" + std::to_string(n % 3 + 1),
                      0x8000000000000007ull, n, true, "UPDATE " + std::to_string(n)));
    c.push_back(of(What::start, "k2", {4, 44}));
    c.push_back(of(What::start, "k3", {2, 0xFFFFFFFFFFFFFFFFull}));
    write(s, c);
  }
  {
    store::Store s(folder, "k1", 12, {l1, l2});
    Change drop;
    drop.what = What::drop;
    drop.id = "order-1003";
    write(s, {drop, put("long", "r1", 9, 1, true, std::string(4096, 'v')),
              put(std::string("a\0b \xff\xc3\xa9", 7), "r2", 9, 2, true, std::string("\0\1\2\n", 4)),
              put("committed without its value", "r3", 1, 3, true), of(What::start, "k2", {5, 45}),
              of(What::start, "k4", {1, 46})});
    write(s, {of(What::node, "n1", {31, 0}, true), of(What::node, "n2", {32, 0}, true),
              of(What::node, "n9", {30, 0}, false), of(What::node, "n8", {3, 0}, true)});
    write(s, {of(What::node, "n8", {}), of(What::primary, "n4", {28, 0}, false, 0),
              of(What::primary, "n1", {27, 0}, false, 3), of(What::primary, "n5", {33, 0}, false, 3)});
    write(s, {of(What::member, "r1", {6, 0x8000000000000007ull}), of(What::member, "r2", {2, 99}),
              of(What::member, "r3", {1, 1}), of(What::member, "r2", {3, 9})});
  }
  {
    store::Store s(folder, "k1", 13, {l1, l2, l3});
    Change w;
    w.what = What::work;
    w.id = plan();
    write(s, {w, put("order-1025", "r1", 9, 5)});
    dies = argc > 2;
    write(s, {put("last", "r2", 9, 3, true, "COMMIT")});
  }
}
