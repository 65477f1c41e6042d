/** @file frame_connection_base.cpp One connection of frames. */
#include "transport/frame_internal.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace godwitcleat::transport
{

namespace asio = boost::asio;
using boost::system::error_code;

namespace
{

constexpr std::size_t length_bytes = 4;
constexpr std::size_t number_bytes = 8;

// Queued frames are joined up to this size, to save system calls.
constexpr std::size_t joined_write_bytes = std::size_t{64} * 1024;

// Checks of the time limits within one idle timeout.
constexpr int checks_per_timeout = 4;

auto put(std::string& to, std::uint64_t value, std::size_t bytes) -> void
{
    for (auto it = bytes; it > 0; --it)
    {
        to.push_back(static_cast<char>(value >> (8 * (it - 1))));
    }
}

auto get(std::string_view from) -> std::uint64_t
{
    auto value = std::uint64_t{0};
    for (auto const it : from)
    {
        value = (value << 8U) | static_cast<unsigned char>(it);
    }
    return value;
}

auto now() -> core::time_point
{
    return core::time_point{std::chrono::steady_clock::now()};
}

} // namespace

auto make_frame(std::uint64_t number, std::string_view payload) -> std::string
{
    auto result = std::string{};
    result.reserve(frame_header_bytes + payload.size());
    put(result, payload.size(), length_bytes);
    put(result, number, number_bytes);
    result.append(payload);
    return result;
}

frame_connection::frame_connection(
    asio::ip::tcp::socket socket, frame_limits const& limits)
    : socket_(std::move(socket))
    , limits_(limits)
    , watch_timer_(socket_.get_executor())
    , last_activity_(now())
{
}

auto frame_connection::start() -> void
{
    auto ignored = error_code{};
    socket_.set_option(asio::ip::tcp::no_delay{true}, ignored);
    last_activity_ = now();
    started_ = true;
    watch();
    read();
    write();
}

auto frame_connection::send(std::uint64_t number, std::string_view payload)
    -> void
{
    if (closed_)
    {
        return;
    }
    queue_.emplace_back(number, make_frame(number, payload));
    write();
}

auto frame_connection::withdraw(std::uint64_t number) -> bool
{
    auto const it = std::find_if(
        queue_.begin(), queue_.end(),
        [number](auto const& entry) { return entry.first == number; });
    if (it == queue_.end())
    {
        return false;
    }
    queue_.erase(it);
    return true;
}

auto frame_connection::resume() -> void
{
    if (!closed_ && !reading_ && !taking_)
    {
        take_frames();
        read();
    }
}

auto frame_connection::close(std::string_view reason) -> void
{
    if (closed_)
    {
        return;
    }
    closed_ = true;
    watch_timer_.cancel();
    // First, so that no call takes a connection whose end the peer has seen.
    on_closed(reason);
    auto ignored = error_code{};
    socket_.close(ignored);
}

auto frame_connection::read() -> void
{
    if (closed_ || reading_ || !may_read())
    {
        return;
    }
    reading_ = true;
    socket_.async_read_some(
        asio::buffer(chunk_),
        [self = shared_from_this()](error_code ec, std::size_t n)
        { self->on_read(ec, n); });
}

auto frame_connection::on_read(error_code ec, std::size_t n) -> void
{
    reading_ = false;
    if (closed_)
    {
        return;
    }
    if (ec)
    {
        close(ec.message());
        return;
    }
    if (!hold_input(input_.size() + n))
    {
        close("no memory is left for the frame");
        return;
    }
    input_.append(chunk_.data(), n);
    take_frames();
    if (!closed_ && hold_input(input_.size()))
    {
        shrink_input();
    }
    read();
}

auto frame_connection::shrink_input() -> void
{
    constexpr auto kept_bytes = std::size_t{64} * 1024;
    if (input_.empty() && input_.capacity() > kept_bytes)
    {
        input_.shrink_to_fit();
    }
}

auto frame_connection::take_frames() -> void
{
    taking_ = true;
    while (!closed_ && may_read() && take_frame())
    {
        frame_begun_.reset();
        last_activity_ = now();
    }
    taking_ = false;
    input_.erase(0, offset_);
    offset_ = 0;
    // Unread frames that wait for may_read() are not the sender's fault.
    auto const partial = !input_.empty() && may_read();
    if (!partial)
    {
        frame_begun_.reset();
    }
    else if (!frame_begun_)
    {
        frame_begun_ = now();
    }
}

auto frame_connection::take_frame() -> bool
{
    auto const input = std::string_view{input_}.substr(offset_);
    if (input.size() < frame_header_bytes)
    {
        return false;
    }
    auto const length = get(input.substr(0, length_bytes));
    auto const number = get(input.substr(length_bytes, number_bytes));
    if (length > limits_.frame_bytes)
    {
        close("the frame exceeds the limit");
        return false;
    }
    if (input.size() - frame_header_bytes < length)
    {
        return false;
    }
    auto payload = std::string{input.substr(frame_header_bytes, length)};
    offset_ += frame_header_bytes + length;
    if (!on_frame(number, std::move(payload)))
    {
        close("the frame has an unexpected number");
        return false;
    }
    return true;
}

auto frame_connection::write() -> void
{
    if (closed_ || !started_ || !output_.empty() || queue_.empty())
    {
        return;
    }
    while (!queue_.empty() && output_.size() < joined_write_bytes)
    {
        on_handed_over(queue_.front().first);
        output_.append(queue_.front().second);
        queue_.pop_front();
    }
    write_begun_ = now();
    asio::async_write(
        socket_, asio::buffer(output_),
        [self = shared_from_this()](error_code ec, std::size_t)
        { self->on_write(ec); });
}

auto frame_connection::on_write(error_code ec) -> void
{
    output_.clear();
    write_begun_.reset();
    last_activity_ = now();
    if (ec)
    {
        close(ec.message());
        return;
    }
    write();
}

auto frame_connection::watch() -> void
{
    auto const step = std::max<core::duration>(
        limits_.idle_timeout / checks_per_timeout,
        std::chrono::milliseconds{1});
    watch_timer_.expires_after(step);
    watch_timer_.async_wait(
        [self = shared_from_this()](error_code ec)
        {
            if (!ec && !self->closed_)
            {
                self->check_time();
            }
        });
}

auto frame_connection::check_time() -> void
{
    auto const oldest = now() - limits_.idle_timeout;
    if (frame_begun_ && *frame_begun_ <= oldest)
    {
        close("a frame did not arrive in time");
    }
    else if (write_begun_ && *write_begun_ <= oldest)
    {
        close("the peer does not read");
    }
    else if (last_activity_ <= oldest && !is_busy() && !write_begun_)
    {
        close("idle");
    }
    else
    {
        watch();
    }
}

} // namespace godwitcleat::transport
