#include "support/loopback.h"

#include "transport/clock.h"

#include <cppunit/TestAssert.h>

namespace comfreypass::tests {

namespace {

/** Far above what any condition needs, so that a busy machine does not fail a test. */
constexpr auto patience = std::chrono::seconds(30);

} // namespace

void loopback::waitFor(const std::string &what, const std::function<bool()> &condition)
{
    const core::time_point limit = transport::monotonicNow() + patience;
    m_reactor.runUntil([&] { return condition() || transport::monotonicNow() > limit; });
    CPPUNIT_ASSERT_MESSAGE("waited in vain for: " + what, condition());
}

void loopback::runFor(std::chrono::milliseconds time)
{
    const core::time_point limit = transport::monotonicNow() + time;
    m_reactor.runUntil([&] { return transport::monotonicNow() > limit; });
}

std::string loopback::url(std::uint16_t port, const std::string &path)
{
    return "http://127.0.0.1:" + std::to_string(port) + path;
}

} // namespace comfreypass::tests
