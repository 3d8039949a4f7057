#pragma once

#include "core/time_point.h"
#include "demo/member_response.h"
#include "demo/workload.h"
#include "transport/http_client.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace comfreypass::demo {

/**
 * Client of simulated members. Requests the list of addresses from a node and caches it, sends
 * requests to these addresses, and falls back to the next address with the same key and witness
 * token. Not thread-safe.
 */
class member_client
{
public:
    using response_function = std::function<void(const member_response &)>;

    /**
     * `bootstrap` are the caller addresses that members are configured with. The HTTP client must
     * outlive this object.
     */
    member_client(transport::http_client &client, std::vector<std::string> bootstrap,
                  response_function onResponse);
    ~member_client();
    member_client(const member_client &) = delete;
    member_client &operator=(const member_client &) = delete;

    /** Sends a request; `onResponse` is called exactly once for it. */
    void send(member_request request);

    /** Returns the number of requests without a response. */
    std::size_t openRequests() const noexcept { return m_openRequests; }

    /** Requests the addresses again when the cached list has expired. */
    void tick(core::time_point now);

    /** Returns whether addresses are known. */
    bool hasAddresses() const noexcept { return !m_addresses.empty(); }

private:
    class attempt;

    void requestAddresses(core::time_point now);
    void updateAddresses(const std::string &body, core::time_point requestedAt);
    void finish(const member_response &response);

    transport::http_client &m_client;
    std::vector<std::string> m_bootstrap;
    response_function m_onResponse;
    std::vector<std::string> m_addresses;
    std::string m_witnesses;
    core::time_point m_addressesValidUntil;
    core::time_point m_nextAddressRequest;
    std::size_t m_bootstrapIndex = 0;
    std::uint64_t m_sent = 0;
    std::size_t m_openRequests = 0;
};

} // namespace comfreypass::demo
