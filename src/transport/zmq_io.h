#pragma once

#include <zmq.hpp>

#include <optional>
#include <string_view>
#include <vector>

namespace comfreypass::transport {

/** Frames of one multipart message. */
using zmq_frames = std::vector<zmq::message_t>;

/** Returns the content of a frame as text; valid as long as the frame. */
inline std::string_view frameText(const zmq::message_t &frame)
{
    return {frame.data<char>(), frame.size()};
}

/**
 * Receives one whole message without blocking and returns its number of frames; none if no message
 * is available. Reuses the storage of `frames` and stores at most the first `maxFrames` frames; the
 * count includes the others.
 */
std::optional<std::size_t> tryReceiveMessage(zmq::socket_t &socket, zmq_frames &frames,
                                             std::size_t maxFrames);

/** Sends one frame without blocking; returns false if it could not be sent. */
bool trySendFrame(zmq::socket_t &socket, std::string_view frame, bool more = false);

} // namespace comfreypass::transport
