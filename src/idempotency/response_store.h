#pragma once

#include "idempotency/request_key.h"
#include "idempotency/stored_response.h"

#include <cstddef>
#include <list>
#include <unordered_map>
#include <utility>

namespace comfreypass::idempotency {

/**
 * LRU cache of completed small responses by request key, bounded in number and bytes. The response
 * to a repeated request whose entry was evicted is `unknown`. Not thread-safe.
 */
class response_store
{
public:
    static constexpr std::size_t defaultMaxEntries = 4'096;
    static constexpr std::size_t defaultMaxBytes = 16'000'000;

    explicit response_store(std::size_t maxEntries = defaultMaxEntries,
                            std::size_t maxBytes = defaultMaxBytes);

    /** Stores a response. Returns false, and stores nothing, if it alone exceeds the bounds. */
    bool insert(const request_key &key, stored_response response);

    /** Returns the response, or null, and counts as a use. Valid until the next insert(). */
    const stored_response *find(const request_key &key);

    std::size_t size() const noexcept { return m_index.size(); }
    std::size_t bytes() const noexcept { return m_bytes; }

private:
    using entry = std::pair<request_key, stored_response>;

    void erase(std::list<entry>::iterator position);

    std::size_t m_maxEntries;
    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    /** Most recently used first. */
    std::list<entry> m_entries;
    std::unordered_map<request_key, std::list<entry>::iterator> m_index;
};

} // namespace comfreypass::idempotency
