#pragma once

#include "core/time_point.h"
#include "node/http_fetch.h"
#include "transport/http_client.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace comfreypass::node {

/**
 * Reads the sheet from the configuration service with short long polls, one at a time.
 *
 * The caller decides when to read. An "unchanged" response is reported like a new value, because it
 * proves that no newer sheet existed when the read was sent. Not thread-safe.
 */
class configuration_reader
{
public:
    struct settings
    {
        std::string address;
        std::string key;
        /** Time for which the service may hold a read. Holding returns a change immediately, where
         * plain polling would find it half an interval late on average. */
        core::duration wait = std::chrono::milliseconds(400);
    };

    struct reading
    {
        enum class kind : std::uint8_t { Value, Unchanged, Failed };

        kind result = kind::Failed;
        std::string value;
        std::uint64_t serviceIndex = 0;
        /** When the read was sent; the result does not cover later changes. */
        core::time_point sentAt;
        /** Reason of a failure; empty otherwise. */
        std::string detail;
    };

    using done_function = std::function<void(const reading &)>;

    /** The client must outlive the reader. `done` is called once for each read. */
    configuration_reader(transport::http_client &client, settings values, done_function done);
    ~configuration_reader();
    configuration_reader(const configuration_reader &) = delete;
    configuration_reader &operator=(const configuration_reader &) = delete;

    /** Starts a read; no effect while another one is in progress. */
    void read(core::time_point now);

    /** Number of reads, including failed ones, and number of failed reads. */
    std::uint64_t reads() const noexcept { return m_reads; }
    std::uint64_t failures() const noexcept { return m_failures; }

private:
    void finish(const core::result<http_fetch::response> &response, core::time_point sentAt);

    transport::http_client &m_client;
    settings m_settings;
    done_function m_done;
    transport::http_client::call_handle m_call = 0;
    /** Index of the last value; the service reports "unchanged" while its value has this index. */
    std::uint64_t m_index = 0;
    std::uint64_t m_reads = 0;
    std::uint64_t m_failures = 0;
    /** Expires with the reader, so that a late response does not access a destroyed reader. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace comfreypass::node
