#pragma once

#include <boost/json/value.hpp>

namespace comfreypass::sheet {

/**
 * Creates the JSON merge patch (RFC 7396) that transforms `from` into `to`. Thread-safe.
 *
 * A merge patch cannot set an object member to null. If `to` holds such a member, applying the
 * patch does not produce `to`; callers that cannot exclude this compare the result.
 */
boost::json::value createMergePatch(const boost::json::value &from, const boost::json::value &to);

/** Applies a JSON merge patch (RFC 7396) and returns the result. Thread-safe. */
boost::json::value applyMergePatch(boost::json::value target, const boost::json::value &patch);

} // namespace comfreypass::sheet
