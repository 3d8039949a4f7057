#pragma once

#include "core/name.h"
#include "sheet/engine_info.h"
#include "sheet/sheet.h"

#include <map>
#include <memory>
#include <vector>

namespace comfreypass::node {

/** Engines of the instance list, checked against the active sheet. Not thread-safe. */
class engine_directory
{
public:
    void setSheet(std::shared_ptr<const sheet::sheet> sheet) { m_sheet = std::move(sheet); }
    void setEngines(const std::vector<sheet::engine_info> &engines);

    /** Returns the engine, or null if it is not listed. */
    const sheet::engine_info *find(const core::engine_name &name) const;

    /** Returns true if the engine may receive new requests: it is listed and not leaving, and its
     * failure domain is in service. */
    bool acceptsNewWork(const core::engine_name &name) const;

    const std::map<core::engine_name, sheet::engine_info> &all() const noexcept
    {
        return m_engines;
    }

private:
    std::shared_ptr<const sheet::sheet> m_sheet;
    std::map<core::engine_name, sheet::engine_info> m_engines;
};

} // namespace comfreypass::node
