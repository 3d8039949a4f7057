// Measures the connections between nodes: memory per connection, messages per second, and CPU time
// per message. Sender and receiver share one process and one reactor, so the CPU time includes both
// sides and ZeroMQ's threads.

#include "transport/peer_transport.h"
#include "wire/codec.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Reactor.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <functional>
#include <memory>
#include <span>
#include <string>

using namespace comfreypass;

namespace {

constexpr std::size_t connectionCount = 200;
constexpr int codecRounds = 1'000'000;

core::time_point steadyNow()
{
    return core::time_point{std::chrono::duration_cast<core::duration>(
        std::chrono::steady_clock::now().time_since_epoch())};
}

double cpuSeconds(clockid_t clock = CLOCK_PROCESS_CPUTIME_ID)
{
    timespec time{};
    clock_gettime(clock, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double residentBytes()
{
    std::ifstream file{"/proc/self/statm"};
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

class counting_node : public transport::peer_handler
{
public:
    counting_node(ACE_Reactor &reactor, const std::string &name)
        : transport(reactor, settingsOf(name), *this)
    {
        if (transport.open().has_error())
            std::abort();
    }

    void onPeerMessage(wire::received_message && /*message*/) override { ++received; }

    std::uint64_t received = 0;
    transport::peer_transport transport;

private:
    static transport::peer_transport_settings settingsOf(const std::string &name)
    {
        transport::peer_transport_settings settings;
        settings.self = {core::node_name{name}, 1};
        settings.address = "127.0.0.1:0";
        settings.clock = steadyNow;
        return settings;
    }
};

void runUntil(ACE_Reactor &reactor, const std::function<bool()> &done)
{
    while (!done()) {
        ACE_Time_Value maxWait{0, 10'000};
        reactor.handle_events(maxWait);
    }
}

idempotency::claim sampleClaim(std::uint64_t sequence)
{
    return {sequence, {sequence, ~sequence}, 77, 3};
}

void measureMemory()
{
    ACE_Reactor reactor{new ACE_Dev_Poll_Reactor, true};
    counting_node receiver{reactor, "receiver"};
    counting_node sender{reactor, "sender"};
    const auto connect = [&](std::size_t first, std::size_t count) {
        const std::uint64_t before = receiver.received;
        for (std::size_t i = first; i < first + count; ++i) {
            const core::node_name name{"peer-" + std::to_string(i)};
            sender.transport.setPeer(name, receiver.transport.address());
            sender.transport.send(name, sampleClaim(i), steadyNow());
        }
        runUntil(reactor, [&] { return receiver.received == before + count; });
    };
    connect(0, 10);
    const double before = residentBytes();
    connect(10, connectionCount);
    const double bytesPerEnd
        = (residentBytes() - before) / static_cast<double>(2 * connectionCount);
    std::printf("resident bytes per connection end: %.0f (%zu connections)\n", bytesPerEnd,
                connectionCount);
}

/** With one message in flight, each message wakes all threads, as on a node with low traffic. */
void measureThroughput(std::uint64_t messageCount, std::uint64_t messagesInFlight)
{
    ACE_Reactor reactor{new ACE_Dev_Poll_Reactor, true};
    counting_node receiver{reactor, "receiver"};
    counting_node sender{reactor, "sender"};
    const core::node_name name{"receiver"};
    sender.transport.setPeer(name, receiver.transport.address());
    sender.transport.send(name, sampleClaim(0), steadyNow());
    runUntil(reactor, [&] { return receiver.received == 1; });

    const double processCpuBefore = cpuSeconds();
    const double threadCpuBefore = cpuSeconds(CLOCK_THREAD_CPUTIME_ID);
    const core::time_point begin = steadyNow();
    std::uint64_t sent = 0;
    runUntil(reactor, [&] {
        while (sent < messageCount && sent < receiver.received - 1 + messagesInFlight) {
            if (!sender.transport.send(name, sampleClaim(sent), steadyNow()))
                std::abort();
            ++sent;
        }
        return receiver.received == messageCount + 1;
    });
    const double elapsed = std::chrono::duration<double>(steadyNow() - begin).count();
    const auto count = static_cast<double>(messageCount);
    const double processCpuSeconds = cpuSeconds() - processCpuBefore;
    const double reactorThreadCpuSeconds = cpuSeconds(CLOCK_THREAD_CPUTIME_ID) - threadCpuBefore;
    std::printf("in flight %.0f: messages per second %.0f\n", static_cast<double>(messagesInFlight),
                count / elapsed);
    std::printf("  processor time per message: %.2f us, of it in the reactor's thread %.2f us\n",
                processCpuSeconds / count * 1e6, reactorThreadCpuSeconds / count * 1e6);
}

void measureCodec()
{
    const core::node_identity sender{core::node_name{"entry-1"}, 1};
    const core::time_point now{std::chrono::hours{1}};
    std::size_t bytes = 0;
    const double before = cpuSeconds();
    for (int i = 0; i < codecRounds; ++i) {
        const std::string text
            = wire::encode(sender, sampleClaim(static_cast<std::uint64_t>(i)), now);
        if (wire::decode(std::as_bytes(std::span{text}), now).has_error())
            std::abort();
        bytes = text.size();
    }
    std::printf("encode and decode of a claim of %zu bytes: %.3f us\n", bytes,
                (cpuSeconds() - before) / codecRounds * 1e6);
}

} // namespace

int main()
{
    measureMemory();
    measureThroughput(200'000, 200);
    measureThroughput(20'000, 1);
    measureCodec();
    return 0;
}
