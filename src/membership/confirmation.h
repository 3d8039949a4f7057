#pragma once

#include "core/time_point.h"
#include "sheet/sheet_key.h"

#include <optional>

namespace comfreypass::membership {

/**
 * Until when this node knows that no sheet newer than its own exists. Not thread-safe.
 *
 * The knowledge begins with a read of the configuration service and is passed on in acks. Each hop
 * dates it to the send time of its ping, so transit times only make it older, never younger.
 */
class confirmation
{
public:
    /** The service held `newest` at `asOf`; `own` is the key in force after that read. */
    void onServiceRead(const sheet::sheet_key &newest, const sheet::sheet_key &ownKey,
                       core::time_point asOf);
    /** A neighbour with the key `theirs` answered a ping sent at `pingSentAt`. */
    void onAck(const sheet::sheet_key &peerKey, const sheet::sheet_key &ownKey,
               std::optional<core::duration> peerAge, core::time_point pingSentAt);
    /** Forgets everything, after a pause. Knowledge from before `now` no longer counts. */
    void expire(core::time_point now);

    /** Age of the knowledge; none if there is none. */
    std::optional<core::duration> age(core::time_point now) const;

private:
    void advance(core::time_point knownAt);

    std::optional<core::time_point> m_knownAt;
    std::optional<core::time_point> m_notBefore;
};

} // namespace comfreypass::membership
