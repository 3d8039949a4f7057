#include "node/engine_directory.h"

namespace comfreypass::node {

void engine_directory::setEngines(const std::vector<sheet::engine_info> &engines)
{
    m_engines.clear();
    for (const sheet::engine_info &engine : engines)
        m_engines.emplace(engine.name, engine);
}

const sheet::engine_info *engine_directory::find(const core::engine_name &name) const
{
    const auto found = m_engines.find(name);
    return found == m_engines.end() ? nullptr : &found->second;
}

bool engine_directory::acceptsNewWork(const core::engine_name &name) const
{
    const sheet::engine_info *engine = find(name);
    return engine && m_sheet && !engine->leaving && m_sheet->isDomainInService(engine->domain);
}

} // namespace comfreypass::node
