#include "support/loopback.h"

#include "transport/clock.h"

#include <cppunit/TestAssert.h>

namespace comfreypass::tests {

namespace {

/** Far above the time that any condition needs, so that a busy machine does not fail a test. */
constexpr auto waitTimeout = std::chrono::seconds(30);

} // namespace

void loopback::waitFor(const std::string &description, const std::function<bool()> &condition)
{
    const core::time_point deadline = transport::monotonicNow() + waitTimeout;
    m_reactor.runUntil([&] { return condition() || transport::monotonicNow() > deadline; });
    CPPUNIT_ASSERT_MESSAGE("timed out waiting for: " + description, condition());
}

void loopback::runFor(std::chrono::milliseconds time)
{
    const core::time_point deadline = transport::monotonicNow() + time;
    m_reactor.runUntil([&] { return transport::monotonicNow() > deadline; });
}

std::string loopback::url(std::uint16_t port, const std::string &path)
{
    return "http://127.0.0.1:" + std::to_string(port) + path;
}

} // namespace comfreypass::tests
