#include "transport/zmq_io.h"

#include <zmq.h>

#include <algorithm>
#include <cerrno>

namespace comfreypass::transport {

namespace {

/** Repeats a call while it is interrupted by a signal. */
template<class Call>
int retryOnInterrupt(Call call)
{
    int result = call();
    while (result == -1 && zmq_errno() == EINTR)
        result = call();
    return result;
}

bool receiveFrame(zmq::socket_t &socket, zmq::message_t &frame)
{
    return retryOnInterrupt(
               [&] { return zmq_msg_recv(frame.handle(), socket.handle(), ZMQ_DONTWAIT); })
           >= 0;
}

} // namespace

std::optional<std::size_t> tryReceiveMessage(zmq::socket_t &socket, zmq_frames &frames,
                                             std::size_t maxFrames)
{
    frames.resize(maxFrames + 1);
    std::size_t count = 0;
    bool more = true;
    while (more) {
        zmq::message_t &frame = frames[std::min(count, maxFrames)];
        if (!receiveFrame(socket, frame))
            return std::nullopt;
        more = frame.more();
        ++count;
    }
    return count;
}

bool trySendFrame(zmq::socket_t &socket, std::string_view frame, bool more)
{
    const int flags = ZMQ_DONTWAIT | (more ? ZMQ_SNDMORE : 0);
    return retryOnInterrupt(
               [&] { return zmq_send(socket.handle(), frame.data(), frame.size(), flags); })
           >= 0;
}

} // namespace comfreypass::transport
