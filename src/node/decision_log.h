#pragma once

#include "node/request_record.h"

#include <cstddef>
#include <deque>
#include <string_view>
#include <vector>

namespace comfreypass::node {

/** Keeps the most recent requests of this node with their outcomes. Not thread-safe. */
class decision_log
{
public:
    static constexpr std::size_t maxRecords = 2'048;

    /** Adds a record, dropping the oldest above maxRecords; ignores records without a key. */
    void add(const request_record &record);

    /** Returns the records of a request key, latest first. */
    std::vector<const request_record *> find(std::string_view key) const;

private:
    std::deque<request_record> m_records;
};

} // namespace comfreypass::node
