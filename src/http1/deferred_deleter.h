#pragma once

#include <memory>
#include <vector>

namespace comfreypass::http1 {

/**
 * Delays the destruction of objects that must not be destroyed within one of their own events until
 * the reactor has returned. Not thread-safe.
 */
class deferred_deleter
{
public:
    /** Keeps the object alive until the next purge(). */
    void add(std::shared_ptr<void> object);

    /** Releases all objects. Precondition: not called within an event of one of them. */
    void purge();

private:
    std::vector<std::shared_ptr<void>> m_objects;
};

} // namespace comfreypass::http1
