#pragma once

#include "core/time_point.h"
#include "sheet/sheet_key.h"

#include <optional>

namespace comfreypass::membership {

/**
 * Tracks the latest time at which no sheet newer than this node's was known to exist. Not
 * thread-safe.
 *
 * A confirmation originates from a read of the configuration service and spreads in acks. Each hop
 * dates it from the send time of its ping, so network delays can only make it appear older.
 */
class confirmation
{
public:
    /** Records that the service held `newest` at `asOf`. `ownKey` is in force after the read. */
    void onServiceRead(const sheet::sheet_key &newest, const sheet::sheet_key &ownKey,
                       core::time_point asOf);
    /** Records an ack of a neighbour with the key `peerKey` to a ping sent at `pingSentAt`. */
    void onAck(const sheet::sheet_key &peerKey, const sheet::sheet_key &ownKey,
               std::optional<core::duration> peerAge, core::time_point pingSentAt);
    /** Discards the confirmation after a pause and ignores later ones that date from before `now`.
     */
    void expire(core::time_point now);

    /** Returns the age of the confirmation; empty if there is none. */
    std::optional<core::duration> age(core::time_point now) const;

private:
    void advance(core::time_point knownAt);

    std::optional<core::time_point> m_knownAt;
    std::optional<core::time_point> m_notBefore;
};

} // namespace comfreypass::membership
