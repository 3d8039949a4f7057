#include "transport/callback_guard.h"

#include <boost/log/trivial.hpp>

#include <cstdio>

namespace comfreypass::transport {

void reportException(std::string_view where, std::string_view what) noexcept
{
    try {
        BOOST_LOG_TRIVIAL(error) << "exception in " << where << ": " << what;
    } catch (...) {
        std::fputs("exception in a callback could not be logged\n", stderr);
    }
}

} // namespace comfreypass::transport
