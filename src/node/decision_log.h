#pragma once

#include "node/request_record.h"

#include <cstddef>
#include <deque>
#include <string_view>
#include <vector>

namespace comfreypass::node {

/** The latest requests of this node and what was decided for them. Not thread-safe. */
class decision_log
{
public:
    static constexpr std::size_t maxRecords = 2'048;

    /** Adds a record; the oldest is dropped beyond the bound. */
    void add(const request_record &record);

    /** Records of a request key, latest first. */
    std::vector<const request_record *> find(std::string_view key) const;

private:
    std::deque<request_record> m_records;
};

} // namespace comfreypass::node
