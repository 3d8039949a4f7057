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
 * When to read is decided elsewhere. An answer "unchanged" is as valuable as a new value: it proves
 * that no newer sheet existed when the read was sent. Not thread-safe.
 */
class configuration_reader
{
public:
    struct settings
    {
        std::string address;
        std::string key;
        /** How long the service may hold a read; a change is known at once instead of half a period
         * late. */
        core::duration wait = std::chrono::milliseconds(400);
    };

    struct reading
    {
        enum class kind : std::uint8_t { Value, Unchanged, Failed };

        kind result = kind::Failed;
        std::string value;
        std::uint64_t serviceIndex = 0;
        /** The read was sent at this time, so it knows nothing of later changes. */
        core::time_point sentAt;
        /** Why the read failed; empty otherwise. */
        std::string detail;
    };

    using done_function = std::function<void(const reading &)>;

    /** The client must outlive the reader. `done` is called once for each read. */
    configuration_reader(transport::http_client &client, settings values, done_function done);
    ~configuration_reader();
    configuration_reader(const configuration_reader &) = delete;
    configuration_reader &operator=(const configuration_reader &) = delete;

    /** Starts a read; no effect while one is open. */
    void read(core::time_point now);

    /** Reads since the start, and those of them that failed. */
    std::uint64_t reads() const noexcept { return m_reads; }
    std::uint64_t failures() const noexcept { return m_failures; }

private:
    void finish(const core::result<http_fetch::response> &response, core::time_point sentAt);

    transport::http_client &m_client;
    settings m_settings;
    done_function m_done;
    transport::http_client::call_handle m_call = 0;
    /** Index of the last value; the service answers "unchanged" while it holds this one. */
    std::uint64_t m_index = 0;
    std::uint64_t m_reads = 0;
    std::uint64_t m_failures = 0;
    /** Expires with the reader, so that a late answer finds it gone. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace comfreypass::node
