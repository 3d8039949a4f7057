#include "support/fault_proxy.h"

#include "support/proxy_link.h"

#include <arpa/inet.h>
#include <boost/outcome/success_failure.hpp>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <sstream>
#include <utility>

namespace comfreypass::tests {

namespace {

bool makeAddress(const std::string &text, std::uint16_t port, sockaddr_in &address)
{
    address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    return ::inet_pton(AF_INET, text.c_str(), &address.sin_addr) == 1;
}

bool parseNumber(const std::string &text, std::uint64_t &value)
{
    std::istringstream stream(text);
    return text.find_first_not_of("0123456789") == std::string::npos && (stream >> value);
}

/** Applies the argument of a command to the faults; returns false if it is invalid. */
using setter = std::function<bool(proxy_faults &, const std::string &)>;

bool setDelay(proxy_faults &faults, const std::string &argument)
{
    std::uint64_t milliseconds = 0;
    if (!parseNumber(argument, milliseconds))
        return false;
    faults.delay = std::chrono::milliseconds(milliseconds);
    return true;
}

bool setHold(proxy_faults &faults, const std::string &argument)
{
    if (argument != "to-target" && argument != "to-caller" && argument != "both"
        && argument != "none")
        return false;
    faults.holdToTarget = argument == "to-target" || argument == "both";
    faults.holdToCaller = argument == "to-caller" || argument == "both";
    return true;
}

bool setResetAfter(proxy_faults &faults, const std::string &argument)
{
    std::uint64_t bytes = 0;
    if (!parseNumber(argument, bytes))
        return false;
    faults.resetAfterBytes = bytes;
    return true;
}

bool setGarble(proxy_faults &faults, const std::string &argument)
{
    std::uint64_t interval = 0;
    if (!parseNumber(argument, interval))
        return false;
    faults.garbleEvery = static_cast<std::uint32_t>(interval);
    return true;
}

bool setRefuse(proxy_faults &faults, const std::string &argument)
{
    faults.refuse = argument == "on";
    return argument == "on" || argument == "off";
}

bool heal(proxy_faults &faults, const std::string &argument)
{
    faults = {};
    return argument.empty();
}

} // namespace

fault_proxy::fault_proxy(ACE_Reactor &reactor, std::string targetAddress, std::uint16_t targetPort)
    : m_reactor(reactor), m_targetAddress(std::move(targetAddress)), m_targetPort(targetPort),
      m_cleanup(reactor, [this] { removeEnded(); })
{ }

fault_proxy::~fault_proxy()
{
    m_watch.reset();
    if (m_listening >= 0)
        ::close(m_listening);
}

core::result<std::uint16_t> fault_proxy::listen(const std::string &address, std::uint16_t port)
{
    sockaddr_in bound{};
    if (!makeAddress(address, port, bound))
        return core::error{core::errc::InvalidArgument, address, "not an IPv4 address", ""};
    m_listening = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(m_listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto *socketAddress = reinterpret_cast<sockaddr *>(&bound);
    socklen_t size = sizeof(bound);
    if (::bind(m_listening, socketAddress, size) != 0 || ::listen(m_listening, SOMAXCONN) != 0
        || ::getsockname(m_listening, socketAddress, &size) != 0)
        return core::error{core::errc::Io, address, std::strerror(errno), ""};
    m_watch = std::make_unique<transport::socket_watch>(m_reactor, m_listening,
                                                        [this](ACE_Reactor_Mask) { accept(); });
    m_watch->watchFor(ACE_Event_Handler::READ_MASK);
    return ntohs(bound.sin_port);
}

void fault_proxy::setFaults(const proxy_faults &faults)
{
    m_faults = faults;
    forEachLink([](proxy_link &link) { link.applyFaults(); });
}

void fault_proxy::cut()
{
    forEachLink([](proxy_link &link) { link.cut(); });
}

void fault_proxy::reset()
{
    forEachLink([](proxy_link &link) { link.reset(); });
}

void fault_proxy::halfOpen()
{
    forEachLink([](proxy_link &link) { link.halfOpen(); });
}

core::result<void> fault_proxy::command(std::string_view line)
{
    static const std::map<std::string, setter, std::less<>> setters = {
        {"delay", setDelay},   {"hold", setHold},     {"reset-after", setResetAfter},
        {"garble", setGarble}, {"refuse", setRefuse}, {"heal", heal},
    };
    using action = void (fault_proxy::*)();
    static const std::map<std::string, action, std::less<>> actions = {
        {"cut", &fault_proxy::cut},
        {"reset", &fault_proxy::reset},
        {"half-open", &fault_proxy::halfOpen},
    };
    std::istringstream words{std::string(line)};
    std::string name;
    std::string argument;
    words >> name >> argument;
    if (const auto found = actions.find(name); found != actions.end() && argument.empty()) {
        (this->*found->second)();
        return boost::outcome_v2::success();
    }
    proxy_faults faults = m_faults;
    const auto found = setters.find(name);
    if (found == setters.end() || !found->second(faults, argument))
        return core::error{core::errc::InvalidArgument, std::string(line), "unknown command", ""};
    setFaults(faults);
    return boost::outcome_v2::success();
}

std::size_t fault_proxy::openConnections() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_links, [](const auto &link) { return !link->ended(); }));
}

void fault_proxy::accept()
{
    const int caller = ::accept4(m_listening, nullptr, nullptr, SOCK_CLOEXEC);
    if (caller < 0)
        return;
    ++m_accepted;
    const int target = m_faults.refuse ? -1 : connectToTarget();
    if (target < 0) {
        const linger zeroLinger{1, 0};
        ::setsockopt(caller, SOL_SOCKET, SO_LINGER, &zeroLinger, sizeof(zeroLinger));
        ::close(caller);
        return;
    }
    m_links.push_back(std::make_unique<proxy_link>(m_reactor, caller, target, m_faults, [this] {
        m_cleanup.startOnce(core::duration::zero());
    }));
}

int fault_proxy::connectToTarget() const
{
    sockaddr_in address{};
    if (!makeAddress(m_targetAddress, m_targetPort, address))
        return -1;
    const int target = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    // A blocking call suffices: loopback connects or refuses immediately.
    if (::connect(target, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0)
        return target;
    ::close(target);
    return -1;
}

void fault_proxy::removeEnded()
{
    std::erase_if(m_links, [](const auto &link) { return link->ended(); });
}

template<class Action>
void fault_proxy::forEachLink(Action action)
{
    for (const auto &link : m_links) {
        if (!link->ended())
            action(*link);
    }
}

} // namespace comfreypass::tests
