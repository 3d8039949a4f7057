#pragma once

#include <boost/smart_ptr/shared_ptr.hpp>

#include <cstdint>
#include <initializer_list>
#include <iosfwd>
#include <memory>
#include <string>
#include <string_view>

namespace comfreypass::observe {

enum class log_format : std::uint8_t { Text, Json };
enum class log_level : std::uint8_t { Debug, Info, Warning, Error };

/** Returns the stable lower-case name of a level. Thread-safe. */
std::string_view toString(log_level level) noexcept;

/** Key and value attached to a log line. */
struct log_field
{
    std::string_view name;
    std::string_view value;
};

/**
 * Directs the log to a stream during the lifetime of the object. At most one may exist at a time.
 *
 * Lines are written asynchronously by a thread of Boost.Log. Lines beyond 4,096 queued ones are
 * dropped, so that a blocked output never stalls the node.
 */
class log_setup
{
public:
    /** Writes lines of `minLevel` and above; `node` is added to every line. */
    log_setup(log_format format, log_level minLevel, std::string node,
              const boost::shared_ptr<std::ostream> &output);
    ~log_setup();
    log_setup(const log_setup &) = delete;
    log_setup &operator=(const log_setup &) = delete;

private:
    class sink;
    std::unique_ptr<sink> m_sink;
};

/**
 * Writes one line with time, level, event name in snake_case, human-readable message and fields.
 * Without a log_setup the line is discarded. Thread-safe.
 */
void logEvent(log_level level, std::string_view event, std::string_view message,
              std::initializer_list<log_field> fields = {});

} // namespace comfreypass::observe
