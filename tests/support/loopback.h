#pragma once

#include "transport/epoll_reactor.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace comfreypass::tests {

/** A reactor that runs both sides of a test over loopback. */
class loopback
{
public:
    ACE_Reactor &reactor() { return m_reactor.get(); }

    /** Handles events until the condition holds; fails the test after 30 s. */
    void waitFor(const std::string &description, const std::function<bool()> &condition);

    /** Handles events for the given time, for conditions that must not become true. */
    void runFor(std::chrono::milliseconds time);

    static std::string url(std::uint16_t port, const std::string &path);

private:
    transport::epoll_reactor m_reactor;
};

} // namespace comfreypass::tests
