/** @file frame_internal.hpp One connection of frames, for server and client. */
#ifndef GODWITCLEAT_TRANSPORT_FRAME_INTERNAL_HPP
#define GODWITCLEAT_TRANSPORT_FRAME_INTERNAL_HPP

#include "transport/frame_base.hpp"

#include <boost/asio.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace godwitcleat::transport
{

/** Bytes of length and request number before each payload. */
constexpr std::size_t frame_header_bytes = 12;

/** Number of probes and of their replies. */
constexpr std::uint64_t probe_number = 0;

/** Returns the frame that carries @p payload. */
auto make_frame(std::uint64_t number, std::string_view payload) -> std::string;

/**
 * Reads and writes frames. All members are used on the socket's strand only.
 * The connection is closed when a frame is malformed, when a frame that has
 * begun or a write makes no end within the idle timeout, or when it is idle
 * for that long.
 */
class frame_connection : public std::enable_shared_from_this<frame_connection>
{
public:
    frame_connection(
        boost::asio::ip::tcp::socket socket, frame_limits const& limits);
    virtual ~frame_connection() = default;
    frame_connection(frame_connection const&) = delete;
    auto operator=(frame_connection const&) -> frame_connection& = delete;

    /** Runs @p task on the strand. */
    template <class Task>
    auto post(Task task) -> void
    {
        boost::asio::post(
            socket_.get_executor(),
            [self = shared_from_this(), call = std::move(task)]() mutable
            { call(); });
    }

    /** Reads from the connected socket. */
    auto start() -> void;

    /** Queues a frame; it is written once start() was called. */
    auto send(std::uint64_t number, std::string_view payload) -> void;

    /** Removes a queued frame; false if it was handed to the socket. */
    auto withdraw(std::uint64_t number) -> bool;

    /** Reads on after may_read() was false. */
    auto resume() -> void;

    auto close(std::string_view reason) -> void;

    [[nodiscard]] auto closed() const -> bool
    {
        return closed_;
    }

protected:
    /** Takes a whole frame; false closes the connection. */
    virtual auto on_frame(std::uint64_t number, std::string payload)
        -> bool = 0;

    /** Frame @p number is about to be written. */
    virtual auto on_handed_over(std::uint64_t number) -> void = 0;

    /** The connection was closed; called once. */
    virtual auto on_closed(std::string_view reason) -> void = 0;

    /** False stops reading until resume(). */
    [[nodiscard]] virtual auto may_read() const -> bool = 0;

    /** True while requests are open, so that the connection is kept. */
    [[nodiscard]] virtual auto is_busy() const -> bool = 0;

    /** Holds @p bytes of received frames that are not taken yet; false closes
     *  the connection. */
    [[nodiscard]] virtual auto hold_input(std::size_t /*bytes*/) -> bool
    {
        return true;
    }

    [[nodiscard]] auto socket() -> boost::asio::ip::tcp::socket&
    {
        return socket_;
    }

    [[nodiscard]] auto limits() const -> frame_limits const&
    {
        return limits_;
    }

private:
    auto read() -> void;
    auto on_read(boost::system::error_code ec, std::size_t n) -> void;
    auto take_frames() -> void;
    /** Frees the memory of large frames that were taken. */
    auto shrink_input() -> void;
    auto take_frame() -> bool;
    auto write() -> void;
    auto on_write(boost::system::error_code ec) -> void;
    auto watch() -> void;
    auto check_time() -> void;

    boost::asio::ip::tcp::socket socket_;
    frame_limits limits_;
    boost::asio::steady_timer watch_timer_;
    std::string input_;      ///< Received bytes from the offset on.
    std::size_t offset_ = 0; ///< Bytes of input_ that are taken already.
    std::array<char, 16384> chunk_{};
    std::deque<std::pair<std::uint64_t, std::string>> queue_;
    std::string output_; ///< Bytes being written; empty: none.
    core::time_point last_activity_;
    std::optional<core::time_point> frame_begun_;
    std::optional<core::time_point> write_begun_;
    bool started_ = false; ///< Frames queued before start() wait for it.
    bool reading_ = false;
    bool taking_ = false;
    bool closed_ = false;
};

} // namespace godwitcleat::transport

#endif
