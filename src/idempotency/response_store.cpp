#include "idempotency/response_store.h"

#include <iterator>
#include <utility>

namespace comfreypass::idempotency {

response_store::response_store(std::size_t maxEntries, std::size_t maxBytes)
    : m_maxEntries(maxEntries), m_maxBytes(maxBytes)
{ }

bool response_store::insert(const request_key &key, stored_response response)
{
    if (const auto found = m_index.find(key); found != m_index.end())
        erase(found->second);
    const std::size_t added = response.bytes();
    if (m_maxEntries == 0 || added > m_maxBytes)
        return false;
    while (m_index.size() >= m_maxEntries || m_bytes + added > m_maxBytes)
        erase(std::prev(m_entries.end()));
    m_entries.emplace_front(key, std::move(response));
    m_index.emplace(key, m_entries.begin());
    m_bytes += added;
    return true;
}

const stored_response *response_store::find(const request_key &key)
{
    const auto found = m_index.find(key);
    if (found == m_index.end())
        return nullptr;
    m_entries.splice(m_entries.begin(), m_entries, found->second);
    return &found->second->second;
}

void response_store::erase(std::list<entry>::iterator position)
{
    m_bytes -= position->second.bytes();
    m_index.erase(position->first);
    m_entries.erase(position);
}

} // namespace comfreypass::idempotency
