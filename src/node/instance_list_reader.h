#pragma once

#include "core/time_point.h"
#include "node/http_fetch.h"
#include "node/instance_listing.h"
#include "transport/http_client.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace comfreypass::node {

/** Reads the platform's instance list at a fixed interval. Not thread-safe. */
class instance_list_reader
{
public:
    static constexpr core::duration interval = std::chrono::seconds(1);
    static constexpr std::size_t maxBytes = 1'000'000;

    using read_function = std::function<void(const instance_listing &)>;

    /** The client must outlive the reader. */
    instance_list_reader(transport::http_client &client, std::string address, read_function read);
    ~instance_list_reader();
    instance_list_reader(const instance_list_reader &) = delete;
    instance_list_reader &operator=(const instance_list_reader &) = delete;

    /** Starts a read if the interval has passed and no read is in progress. */
    void tick(core::time_point now);

    std::uint64_t reads() const noexcept { return m_reads; }
    std::uint64_t failures() const noexcept { return m_failures; }

private:
    void finish(const core::result<http_fetch::response> &response);

    transport::http_client &m_client;
    std::string m_address;
    read_function m_read;
    transport::http_client::call_handle m_call = 0;
    core::time_point m_nextRead;
    std::uint64_t m_reads = 0;
    std::uint64_t m_failures = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace comfreypass::node
