#pragma once

#include <exception>
#include <string_view>

namespace comfreypass::transport {

/** Logs an exception that a callback let escape. Thread-safe. */
void reportException(std::string_view where, std::string_view what) noexcept;

/**
 * Calls a function from a callback of a C library or the reactor, through which no exception may
 * pass. Returns false, and logs, if the function threw.
 */
template<class Function>
bool guarded(std::string_view where, Function &&function) noexcept
{
    try {
        function();
        return true;
    } catch (const std::exception &error) {
        reportException(where, error.what());
    } catch (...) {
        reportException(where, "unknown exception");
    }
    return false;
}

} // namespace comfreypass::transport
