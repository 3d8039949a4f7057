#pragma once

#include <zmq.hpp>

#include <optional>
#include <string_view>
#include <vector>

namespace comfreypass::transport {

/** Frames of one multipart message. */
using zmq_frames = std::vector<zmq::message_t>;

/** Text of a frame; valid as long as the frame. */
inline std::string_view frameText(const zmq::message_t &frame)
{
    return {frame.data<char>(), frame.size()};
}

/**
 * Receives one whole message into `frames`, whose storage is used again. At most `most` frames are
 * kept; the count includes the others. None if no message waits.
 */
std::optional<std::size_t> tryReceiveMessage(zmq::socket_t &socket, zmq_frames &frames,
                                             std::size_t maxFrames);

/** Sends one frame; false if the socket would block. */
bool trySendFrame(zmq::socket_t &socket, std::string_view frame, bool more = false);

} // namespace comfreypass::transport
