#include "http1/deferred_deleter.h"

#include <utility>

namespace comfreypass::http1 {

void deferred_deleter::add(std::shared_ptr<void> object)
{
    m_objects.push_back(std::move(object));
}

void deferred_deleter::purge()
{
    // A destructor may add further objects.
    while (!m_objects.empty()) {
        const auto objects = std::exchange(m_objects, {});
    }
}

} // namespace comfreypass::http1
