#include "peertable.h"

#include "integration/childprocess.h"
#include "integration/httpcall.h"
#include "libtrefoilgate/bootclock.h"

#include <chrono>
#include <criterion/criterion.h>
#include <nlohmann/json.hpp>
#include <set>

using namespace trefoilplatform;
using integration::ChildProcess;
using nlohmann::json;
using trefoilarch::Millis;
using trefoilgate::BootNow;

namespace {

std::string
NameOf(int aEntry)
{
  return "gate-" + std::to_string(100 + aEntry);
}

/** A store with the rows of aEntries entries. */
class Store
{
public:
  explicit Store(int aEntries)
  {
    json rows = json::array();
    for (int each = 0; each < aEntries; ++each) {
      const std::string address = "127.0.0.1:" + std::to_string(20000 + each);
      rows.push_back({ { "table", "entries" },
                       { "key", NameOf(each) },
                       { "value", { { "address", address } } } });
    }
    integration::PostJson("http://" + Address() + "/control",
                          { { "put", std::move(rows) } });
  }

  std::string Address() { return mProcess.Address("rowstore"); }

  std::set<std::string> Names()
  {
    const json answer = integration::GetJson(
      "http://" + Address() + "/v1/rows-get?table=entries&part=");
    std::set<std::string> names;
    for (const json& row : answer.at("rows")) {
      names.insert(row.at("key").get<std::string>());
    }
    return names;
  }

private:
  ChildProcess mProcess{ "trefoilarch-rowstore", {} };
};

/** Runs the table of the first entry, which receives messages of only these
 * entries. */
void
RunFirstEntry(Store& aStore, const std::set<std::string>& aReceivedFrom)
{
  boost::asio::io_context loop(1);
  PeerTable table(
    loop,
    { .mStore = aStore.Address(),
      .mName = NameOf(0),
      .mAddress = "127.0.0.1:20000",
      .mSilenceTimeout = Millis(300) },
    [](const std::vector<std::string>&) {},
    [&](const std::string& aName) {
      return aReceivedFrom.contains(aName) ? BootNow() : Millis(0);
    },
    { .mOnCheckpoint = [](const trefoilarch::TableCheckpoint&) {},
      .mOnTableUpdate = [](const trefoilarch::TableUpdate&) {} });
  table.Start();
  loop.run_for(std::chrono::milliseconds(5000));
}

} // namespace

Test(peertable, the_row_of_a_silent_entry_is_removed, .timeout = 30)
{
  Store store(4);
  RunFirstEntry(store, { NameOf(1), NameOf(2) });
  const std::set<std::string> left = { NameOf(0), NameOf(1), NameOf(2) };
  cr_expect(store.Names() == left);
}

/** In a large fleet each entry receives updates of only some of the others: the
 * rest are silent here, but alive. */
Test(peertable,
     entries_that_do_not_send_to_this_one_keep_their_rows,
     .timeout = 30)
{
  constexpr int kEntries = 60;
  constexpr int kSenders = 40;
  Store store(kEntries);
  std::set<std::string> receivedFrom;
  for (int each = kEntries - kSenders; each < kEntries; ++each) {
    receivedFrom.insert(NameOf(each));
  }
  RunFirstEntry(store, receivedFrom);
  cr_expect(store.Names().size() == kEntries, "%zu", store.Names().size());
}
