#pragma once

#include "transport/epoll_reactor.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace comfreypass::tests {

/** A reactor on which both sides of a loopback test run. */
class loopback
{
public:
    ACE_Reactor &reactor() { return m_reactor.get(); }

    /** Handles events until the condition holds; fails the test after a generous limit. */
    void waitFor(const std::string &description, const std::function<bool()> &condition);

    /** Handles events for a while, for conditions that must not become true. */
    void runFor(std::chrono::milliseconds time);

    static std::string url(std::uint16_t port, const std::string &path);

private:
    transport::epoll_reactor m_reactor;
};

} // namespace comfreypass::tests
