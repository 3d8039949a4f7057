#include "node/decision_log.h"

namespace comfreypass::node {

void decision_log::add(const request_record &record)
{
    // Records are looked up by key only, so one without a key could not be found.
    if (record.key.empty())
        return;
    m_records.push_back(record);
    if (m_records.size() > maxRecords)
        m_records.pop_front();
}

std::vector<const request_record *> decision_log::find(std::string_view key) const
{
    std::vector<const request_record *> found;
    for (auto record = m_records.rbegin(); record != m_records.rend(); ++record) {
        if (record->key == key)
            found.push_back(&*record);
    }
    return found;
}

} // namespace comfreypass::node
