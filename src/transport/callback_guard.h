#pragma once

#include <exception>
#include <string_view>

namespace comfreypass::transport {

/** Logs an exception that escaped from a callback. Thread-safe. */
void reportException(std::string_view where, std::string_view what) noexcept;

/**
 * Calls a function from a callback of a C library or the reactor, where exceptions must not
 * propagate. Logs an exception of the function and returns false.
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
