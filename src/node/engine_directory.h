#pragma once

#include "core/name.h"
#include "sheet/engine_info.h"
#include "sheet/sheet.h"

#include <map>
#include <memory>
#include <vector>

namespace comfreypass::node {

/** Engines that the instance list names, seen through the sheet in force. Not thread-safe. */
class engine_directory
{
public:
    void setSheet(std::shared_ptr<const sheet::sheet> sheet) { m_sheet = std::move(sheet); }
    void setEngines(const std::vector<sheet::engine_info> &engines);

    /** The engine, or null if the list does not name it. */
    const sheet::engine_info *find(const core::engine_name &name) const;

    /** True if new requests may go to the engine: listed, not leaving, failure domain in service.
     */
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
