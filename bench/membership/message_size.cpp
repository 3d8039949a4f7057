#include "membership/message_size.h"

#include "membership/update_queue.h"

#include <variant>

namespace comfreypass::bench {

namespace {

/** Version, sender name of 10 bytes, incarnation, body tag and length, ZeroMQ flags and length. */
constexpr std::size_t envelopeBytes = 2 + 12 + 9 + 4 + 9;
/** Revision and service index as varints, digest, tag and length of the key. */
constexpr std::size_t keyBytes = 2 + 4 + 4 + 9;
/** Sequence in microseconds as a varint and the view digest. */
constexpr std::size_t probeBytes = 8 + 9;
constexpr std::size_t ageBytes = 3;

struct body_size
{
    std::size_t operator()(const membership::ping &m) const
    {
        return probeBytes + keyBytes + members(m.updates);
    }
    std::size_t operator()(const membership::ack &m) const
    {
        return probeBytes + keyBytes + members(m.updates) + (m.confirmationAge ? ageBytes : 0);
    }
    std::size_t operator()(const membership::view_sync &m) const { return 2 + members(m.members); }
    std::size_t operator()(const membership::sheet_request &) const { return 2 * keyBytes + 6; }
    std::size_t operator()(const membership::sheet_patch &m) const
    {
        return 2 * keyBytes + 4 + m.mergePatch.size();
    }
    std::size_t operator()(const membership::sheet_chunk &m) const
    {
        return keyBytes + 12 + m.bytes.size();
    }

    static std::size_t members(const std::vector<membership::member> &records)
    {
        std::size_t bytes = 0;
        for (const membership::member &record : records)
            bytes += 2 + membership::update_queue::encodedBytes(record);
        return bytes;
    }
};

} // namespace

std::size_t messageSize(const membership::membership_message &message)
{
    return envelopeBytes + std::visit(body_size{}, message);
}

} // namespace comfreypass::bench
