#include "integration/await.h"
#include "integration/childprocess.h"
#include "integration/httpcall.h"
#include "integration/temporaryfolder.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <criterion/criterion.h>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <memory>
#include <string>
#include <sys/wait.h>
#include <vector>

using integration::Await;
using integration::ChildProcess;
using trefoilarch::Millis;

/** How a gate's process starts, and why it ends by itself. */
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Udp = asio::ip::udp;

enum class Port : uint8_t
{
  Callers,
  Operators,
  Peers,
};

/** A gate with ports of its own, of which the test holds one until Release().
 */
class StartingGate
{
public:
  explicit StartingGate(Port aHeld, int aStopSeconds = 8)
  {
    setenv("TREFOILARCH_BOOT", SettingsPath().c_str(), 1);
    WriteSettings(5000);
    const auto loopback = asio::ip::address_v4::loopback();
    Tcp::acceptor callers(mLoop, { loopback, 0 });
    Tcp::acceptor operators(mLoop, { loopback, 0 });
    Udp::socket peers(mLoop, { loopback, 0 });
    mOperators =
      "127.0.0.1:" + std::to_string(operators.local_endpoint().port());
    // The gate must not inherit the port.
    for (const int each : { callers.native_handle(),
                            operators.native_handle(),
                            peers.native_handle() }) {
      fcntl(each, F_SETFD, FD_CLOEXEC);
    }
    const auto text = [](uint16_t aPort) {
      return "127.0.0.1:" + std::to_string(aPort);
    };
    const std::vector<std::string> flags = {
      "--name",
      "gate-0",
      "--listen",
      text(callers.local_endpoint().port()),
      "--operator-listen",
      mOperators,
      "--peer-listen",
      text(peers.local_endpoint().port()),
      "--platform",
      mStore.Address("rowstore"),
      "--stop-seconds",
      std::to_string(aStopSeconds)
    };
    if (aHeld != Port::Callers) {
      callers.close();
    }
    if (aHeld != Port::Operators) {
      operators.close();
    }
    if (aHeld != Port::Peers) {
      peers.close();
    }
    mTcp = std::make_unique<Tcp::acceptor>(
      aHeld == Port::Operators ? std::move(operators) : std::move(callers));
    mUdp = std::make_unique<Udp::socket>(std::move(peers));
    mGate = std::make_unique<ChildProcess>("trefoilarch-gate", flags);
  }

  void WriteSettings(int aRevokeMs) const
  {
    std::ofstream(SettingsPath())
      << "TREFOILARCH_REVOKE_MS=" << aRevokeMs << "\n";
  }
  void ReleasePort()
  {
    mTcp->close();
    mUdp->close();
  }
  ChildProcess& Process() { return *mGate; }
  bool AwaitEvent(const std::string& aEvent, Millis aTimeout = Millis(5000))
  {
    return Await(
      [&] { return !mGate->LinesWith("\"event\":\"" + aEvent + "\"").empty(); },
      aTimeout);
  }
  bool Serves() const
  {
    return integration::CallHttp("GET", "http://" + mOperators + "/v1/status")
             .mStatus == 200;
  }

private:
  std::string SettingsPath() const { return mFolder.Path() + "/gate.env"; }

  integration::TemporaryFolder mFolder;
  asio::io_context mLoop;
  ChildProcess mStore{ "trefoilarch-rowstore", {} };
  std::string mOperators;
  std::unique_ptr<Tcp::acceptor> mTcp;
  std::unique_ptr<Udp::socket> mUdp;
  std::unique_ptr<ChildProcess> mGate;
};

} // namespace

/** A gate that replaces another one ended while the port was still bound. */
Test(gateendings, a_port_that_is_still_bound_is_awaited, .timeout = 60)
{
  for (const Port held : { Port::Callers, Port::Operators, Port::Peers }) {
    StartingGate gate(held);
    cr_assert(
      gate.AwaitEvent("port_in_use"), "port %d", static_cast<int>(held));
    cr_expect(!gate.Process().HasEnded());
    gate.ReleasePort();
    cr_expect(gate.AwaitEvent("started"), "port %d", static_cast<int>(held));
    cr_expect(Await([&] { return gate.Serves(); }));
  }
}

Test(gateendings, a_port_that_stays_bound_ends_it_with_a_reason, .timeout = 30)
{
  StartingGate gate(Port::Callers, 1);
  cr_assert(Await([&] { return gate.Process().HasEnded(); }, Millis(8000)));
  cr_expect(WIFEXITED(gate.Process().Status()) &&
            WEXITSTATUS(gate.Process().Status()) == 1);
  cr_assert(gate.AwaitEvent("failed"));
  const auto lines = gate.Process().LinesWith("\"event\":\"failed\"");
  cr_expect(lines.front().find("Address already in use") != std::string::npos,
            "%s",
            lines.front().c_str());
}

/** SIGHUP ended a gate that was still starting. */
Test(gateendings, a_sighup_during_the_start_reloads, .timeout = 30)
{
  StartingGate gate(Port::Callers);
  cr_assert(gate.AwaitEvent("port_in_use"));
  gate.WriteSettings(2500);
  for (int each = 0; each < 5; ++each) {
    gate.Process().Signal(SIGHUP);
  }
  gate.ReleasePort();
  cr_assert(gate.AwaitEvent("reloaded"));
  const auto lines = gate.Process().LinesWith("\"event\":\"reloaded\"");
  cr_expect(lines.front().find("revoke-ms") != std::string::npos);
  cr_expect(gate.Serves());
}

Test(gateendings, a_stop_during_the_start_ends_it_regularly, .timeout = 30)
{
  for (const int signal : { SIGTERM, SIGINT }) {
    StartingGate gate(Port::Peers);
    cr_assert(gate.AwaitEvent("port_in_use"));
    gate.Process().Signal(SIGHUP);
    gate.Process().Signal(signal);
    cr_assert(Await([&] { return gate.Process().HasEnded(); }));
    cr_expect(WIFEXITED(gate.Process().Status()) &&
              WEXITSTATUS(gate.Process().Status()) == 0);
    cr_expect(gate.Process().LinesWith("\"event\":\"failed\"").empty());
  }
}

Test(gateendings, a_fatal_signal_is_logged, .timeout = 30)
{
  for (const int signal : { SIGSEGV, SIGABRT, SIGBUS }) {
    StartingGate gate(Port::Callers);
    gate.ReleasePort();
    cr_assert(gate.AwaitEvent("started"));
    gate.Process().Signal(signal);
    cr_assert(Await([&] { return gate.Process().HasEnded(); }));
    cr_expect(WIFSIGNALED(gate.Process().Status()) &&
              WTERMSIG(gate.Process().Status()) == signal);
    cr_expect(gate.AwaitEvent("failed"));
    const auto lines = gate.Process().LinesWith("\"event\":\"failed\"");
    cr_expect(
      lines.front().find("\"signal\":" + std::string(signal < 10 ? "0" : "") +
                         std::to_string(signal)) != std::string::npos ||
        lines.front().find("\"signal\":" + std::to_string(signal)) !=
          std::string::npos,
      "%s",
      lines.front().c_str());
  }
}
