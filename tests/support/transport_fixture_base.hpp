/** @file transport_fixture_base.hpp Sockets and servers of transport tests. */
#ifndef GODWITCLEAT_TESTS_SUPPORT_TRANSPORT_FIXTURE_BASE_HPP
#define GODWITCLEAT_TESTS_SUPPORT_TRANSPORT_FIXTURE_BASE_HPP

#include "transport/transport.hpp"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <future>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <optional>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace godwitcleat::tests
{

// Bound for events that must happen; it is reached only by a failing test.
constexpr auto patience = std::chrono::seconds{30};

// Timeout of requests that must succeed.
constexpr auto ample = std::chrono::seconds{25};

inline auto any_port() -> transport::endpoint
{
    return {"127.0.0.1", 0};
}

/** A blocking socket that sends and receives arbitrary bytes. */
class raw_socket
{
public:
    explicit raw_socket(int descriptor)
        : descriptor_(descriptor)
    {
    }

    /** Connects, from the address @p from if it is not empty. */
    explicit raw_socket(
        transport::endpoint const& where, std::string const& from = {})
        : descriptor_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        auto address = sockaddr_in{};
        address.sin_family = AF_INET;
        if (!from.empty())
        {
            ::inet_pton(AF_INET, from.c_str(), &address.sin_addr);
            EXPECT_EQ(
                ::bind(
                    descriptor_, reinterpret_cast<sockaddr*>(&address),
                    sizeof address),
                0);
        }
        address.sin_port = htons(where.port);
        ::inet_pton(AF_INET, where.address.c_str(), &address.sin_addr);
        EXPECT_EQ(
            ::connect(
                descriptor_, reinterpret_cast<sockaddr*>(&address),
                sizeof address),
            0);
    }

    ~raw_socket()
    {
        close();
    }

    raw_socket(raw_socket&& other) noexcept
        : descriptor_(std::exchange(other.descriptor_, -1))
    {
    }

    auto operator=(raw_socket&&) -> raw_socket& = delete;

    auto close() -> void
    {
        if (descriptor_ >= 0)
        {
            ::close(std::exchange(descriptor_, -1));
        }
    }

    /** Sends all bytes unless the peer has closed. */
    auto write(std::string_view bytes) const -> bool
    {
        while (!bytes.empty())
        {
            auto const n =
                ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0)
            {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }

    /** Reads until the peer closes; false if it does not within patience. */
    auto read_to_end(std::string& to) const -> bool
    {
        auto buf = std::array<char, 4096>{};
        while (readable())
        {
            auto const n = ::recv(descriptor_, buf.data(), buf.size(), 0);
            if (n <= 0)
            {
                return true;
            }
            to.append(buf.data(), static_cast<std::size_t>(n));
        }
        return false;
    }

    /** Reads until @p mark has been received; false if it never is. */
    auto read_until(std::string_view mark, std::string& to) const -> bool
    {
        auto letter = '\0';
        while (to.find(mark) == std::string::npos)
        {
            if (!readable() || ::recv(descriptor_, &letter, 1, 0) != 1)
            {
                return false;
            }
            to.push_back(letter);
        }
        return true;
    }

    /** Reads exactly @p count bytes, fewer if the peer closes. */
    auto read_count(std::size_t count) const -> std::string
    {
        auto result = std::string{};
        auto letter = '\0';
        while (result.size() < count && readable() &&
               ::recv(descriptor_, &letter, 1, 0) == 1)
        {
            result.push_back(letter);
        }
        return result;
    }

    auto finish_writing() const -> void
    {
        ::shutdown(descriptor_, SHUT_WR);
    }

private:
    [[nodiscard]] auto readable() const -> bool
    {
        auto entry = pollfd{descriptor_, POLLIN, 0};
        return ::poll(
                   &entry, 1,
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                       patience)
                       .count()) == 1;
    }

    int descriptor_;
};

/** A listening socket whose connections are served by the test. */
class raw_listener
{
public:
    raw_listener()
        : descriptor_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        auto address = sockaddr_in{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto* const generic = reinterpret_cast<sockaddr*>(&address);
        auto length = socklen_t{sizeof address};
        EXPECT_EQ(::bind(descriptor_, generic, length), 0);
        EXPECT_EQ(::listen(descriptor_, 16), 0);
        EXPECT_EQ(::getsockname(descriptor_, generic, &length), 0);
        port_ = ntohs(address.sin_port);
    }

    ~raw_listener()
    {
        ::close(descriptor_);
    }

    raw_listener(raw_listener const&) = delete;
    auto operator=(raw_listener const&) -> raw_listener& = delete;

    [[nodiscard]] auto local() const -> transport::endpoint
    {
        return {"127.0.0.1", port_};
    }

    [[nodiscard]] auto accept() const -> raw_socket
    {
        auto entry = pollfd{descriptor_, POLLIN, 0};
        auto const wait =
            std::chrono::duration_cast<std::chrono::milliseconds>(patience);
        EXPECT_EQ(::poll(&entry, 1, static_cast<int>(wait.count())), 1);
        return raw_socket{::accept(descriptor_, nullptr, nullptr)};
    }

    /** Returns true if a connection waits to be accepted. */
    [[nodiscard]] auto has_connection() const -> bool
    {
        auto entry = pollfd{descriptor_, POLLIN, 0};
        return ::poll(&entry, 1, 0) == 1;
    }

private:
    int descriptor_;
    std::uint16_t port_ = 0;
};

/** Returns the value, or nothing if it is not set within patience. */
template <class Value>
auto await(std::future<Value>& value) -> std::optional<Value>
{
    if (value.wait_for(patience) != std::future_status::ready)
    {
        ADD_FAILURE() << "an expected event did not happen";
        return std::nullopt;
    }
    return value.get();
}

/** Waits for a condition that must become true. */
template <class Condition>
auto eventually(Condition condition) -> bool
{
    auto const end = std::chrono::steady_clock::now() + patience;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > end)
        {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
    return true;
}

inline auto start(
    transport::http_client& client, transport::endpoint const& where,
    transport::http_request request, core::duration timeout = ample)
    -> std::future<transport::http_result>
{
    auto promise = std::make_shared<std::promise<transport::http_result>>();
    auto future = promise->get_future();
    client.send(
        where, std::move(request), timeout,
        [promise](transport::http_result result)
        { promise->set_value(std::move(result)); });
    return future;
}

inline auto fetch(
    transport::http_client& client, transport::endpoint const& where,
    transport::http_request request, core::duration timeout = ample)
    -> transport::http_result
{
    auto future = start(client, where, std::move(request), timeout);
    return await(future).value_or(transport::http_result{});
}

inline auto
request_of(std::string method, std::string target, std::string body = {})
    -> transport::http_request
{
    auto result = transport::http_request{};
    result.method = std::move(method);
    result.target = std::move(target);
    result.body = std::move(body);
    return result;
}

inline auto
echo(transport::http_request request, transport::http_reply const& reply)
    -> void
{
    auto response = transport::http_response{};
    response.headers.set("X-Request-Id", request.headers.get("X-Request-Id"));
    response.body = request.method + " " + request.target + " " + request.body;
    reply(std::move(response));
}

/** Event loop, client, and an echo server with small limits. */
class http : public testing::Test
{
protected:
    static auto limits() -> transport::http_server_limits
    {
        auto result = transport::http_server_limits{};
        result.header_bytes = 2048;
        result.body_bytes = 4096;
        return result;
    }

    auto serve(
        transport::http_handler handler,
        transport::http_server_limits bounds = limits())
        -> transport::http_server
    {
        auto server = transport::http_server::listen(
            loop, any_port(), bounds, std::move(handler));
        EXPECT_TRUE(server.has_value());
        return std::move(*server);
    }

    transport::reactor loop{4};
    transport::http_client client{loop, {}};
};

/** Occupies an event loop: each of its turns takes some milliseconds. */
class busy_loop
{
public:
    explicit busy_loop(transport::reactor& loop)
        : loop_(loop)
    {
        next();
    }

    ~busy_loop()
    {
        ending_ = true;
        while (!ended_)
        {
            std::this_thread::yield();
        }
    }

    busy_loop(busy_loop const&) = delete;
    auto operator=(busy_loop const&) -> busy_loop& = delete;

    [[nodiscard]] auto turns() const -> int
    {
        return turns_;
    }

private:
    auto next() -> void
    {
        loop_.post(
            [this]
            {
                if (ending_)
                {
                    ended_ = true;
                    return;
                }
                std::this_thread::sleep_for(std::chrono::milliseconds{5});
                ++turns_;
                next();
            });
    }

    transport::reactor& loop_;
    std::atomic<int> turns_ = 0;
    std::atomic<bool> ending_ = false;
    std::atomic<bool> ended_ = false;
};

/** Turns that a body of 256 KiB may take: a loop with turns of 50 ms has to
 *  know of a drained worker within 2 s. */
constexpr auto max_turns = 40;
constexpr auto large_body_bytes = std::size_t{256} * 1024;

/** A handler that keeps its replies until the test sends them. */
struct held_replies
{
    auto handler() -> transport::http_handler
    {
        return [this](transport::http_request, transport::http_reply reply)
        {
            auto const lock = std::scoped_lock{mutex};
            replies.push_back(std::move(reply));
        };
    }

    auto count() -> std::size_t
    {
        auto const lock = std::scoped_lock{mutex};
        return replies.size();
    }

    auto answer_all(std::string const& body) -> void
    {
        auto taken = std::vector<transport::http_reply>{};
        {
            auto const lock = std::scoped_lock{mutex};
            taken.swap(replies);
        }
        for (auto const& it : taken)
        {
            it(transport::http_response{200, {}, body});
        }
    }

    std::mutex mutex;
    std::vector<transport::http_reply> replies;
};

constexpr std::string_view ok_response =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace godwitcleat::tests

#endif
