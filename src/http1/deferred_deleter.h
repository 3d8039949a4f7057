#pragma once

#include <memory>
#include <vector>

namespace comfreypass::http1 {

/**
 * Keeps objects that must not be destroyed within one of their own events until the reactor has
 * returned. Not thread-safe.
 */
class deferred_deleter
{
public:
    /** Takes over an object; it lives until the next purge(). */
    void add(std::shared_ptr<void> object);

    /** Destroys all objects. Precondition: not within an event of one of them. */
    void purge();

private:
    std::vector<std::shared_ptr<void>> m_objects;
};

} // namespace comfreypass::http1
