/** @file soak_link.hpp TCP relays that disturb what they pass on. */
#ifndef GODWITCLEAT_STANDINS_SOAK_SOAK_LINK_HPP
#define GODWITCLEAT_STANDINS_SOAK_SOAK_LINK_HPP

#include "transport/transport.hpp"

#include <boost/asio.hpp>

#include <array>
#include <memory>
#include <set>
#include <thread>
#include <vector>

namespace godwitcleat::soak
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

/** How a link disturbs its connections; side 0 is the one that connected. */
struct link_trouble
{
    char const* name = "passing";
    bool resets = false;            ///< The open connections, once.
    bool refuses = false;           ///< New connections.
    bool mutes_open = false;        ///< Open ones pass nothing any more.
    std::array<bool, 2> mutes = {}; ///< All, what the side sends.
    bool holds = false;             ///< New ones wait for its end.
    milliseconds delay = {};        ///< Of each piece.
    std::int64_t bytes_per_s = 0;   ///< Of each connection; 0: no limit.
};

constexpr auto passing = link_trouble{};
constexpr auto link_troubles = std::array<link_trouble, 10>{
    {{"slow", false, false, false, {}, false, {}, 20'000},
     {"delayed", false, false, false, {}, false, milliseconds{150}},
     {"much delayed", false, false, false, {}, false, milliseconds{1500}},
     {"refusing", true, true},
     {"reset", true},
     {"silent where open", false, false, true},
     {"silent where open", false, false, true},
     {"silent", false, false, true, {true, true}},
     {"without requests", false, false, false, {true, false}},
     {"without answers", false, false, false, {false, true}}}};

/** One connection. Muted once, it stays so, because bytes of it are missing. */
class passed_connection : public std::enable_shared_from_this<passed_connection>
{
public:
    passed_connection(asio::io_context& loop, tcp::socket from)
        : sides_{std::move(from), tcp::socket{loop}}
        , timers_{asio::steady_timer{loop}, asio::steady_timer{loop}}
    {
    }

    auto begin(tcp::endpoint const& target) -> void
    {
        sides_[1].async_connect(
            target,
            [self = shared_from_this()](error_code ec)
            {
                if (ec)
                {
                    return self->reset();
                }
                for (auto i = std::size_t{0}; i < 2; ++i)
                {
                    self->sides_.at(i).set_option(tcp::no_delay{true}, ec);
                    self->read(i);
                }
            });
    }

    auto disturb(link_trouble const& trouble, bool was_open) -> void
    {
        auto const all = was_open && trouble.mutes_open;
        muted_[0] = muted_[0] || all || trouble.mutes[0];
        muted_[1] = muted_[1] || all || trouble.mutes[1];
        delay_ = trouble.delay;
        bytes_per_s_ = trouble.bytes_per_s;
    }

    auto reset() -> void
    {
        for (auto i = std::size_t{0}; i < 2; ++i)
        {
            auto ec = error_code{};
            sides_.at(i).set_option(asio::socket_base::linger{true, 0}, ec);
            sides_.at(i).close(ec);
            timers_.at(i).cancel();
        }
    }

    [[nodiscard]] auto is_open() const -> bool
    {
        return sides_[0].is_open();
    }

private:
    // Of a muted side not even the end is noticed.
    auto read(std::size_t from) -> void
    {
        if (muted_.at(from) || !is_open())
        {
            return;
        }
        sides_.at(from).async_read_some(
            asio::buffer(chunks_.at(from)),
            [self = shared_from_this(), from](error_code ec, std::size_t n)
            {
                self->timers_.at(from).expires_after(self->time_of(n));
                self->timers_.at(from).async_wait(
                    [self, from, ec, n](error_code)
                    { self->pass(from, ec, n); });
            });
    }

    [[nodiscard]] auto time_of(std::size_t bytes) const -> milliseconds
    {
        constexpr auto ms_per_s = std::int64_t{1000};
        auto const n = static_cast<std::int64_t>(bytes);
        return delay_ +
               milliseconds{bytes_per_s_ > 0 ? n * ms_per_s / bytes_per_s_ : 0};
    }

    auto pass(std::size_t from, error_code ec, std::size_t n) -> void
    {
        if (muted_.at(from) || !is_open())
        {
            return;
        }
        if (ec)
        {
            return reset();
        }
        asio::async_write(
            sides_.at(1 - from), asio::buffer(chunks_.at(from), n),
            [self = shared_from_this(), from](error_code failed, std::size_t)
            { failed ? self->reset() : self->read(from); });
    }

    std::array<tcp::socket, 2> sides_;
    std::array<asio::steady_timer, 2> timers_;
    std::array<std::array<char, 16384>, 2> chunks_{};
    std::array<bool, 2> muted_{};
    milliseconds delay_{};
    std::int64_t bytes_per_s_ = 0;
};

/** Passes connections on to another address. Thread-safe. */
class soak_link
{
public:
    explicit soak_link(asio::io_context& loop)
        : loop_(loop)
        , listener_(loop, {asio::ip::address_v4::loopback(), 0})
        , bound_(listener_.local_endpoint())
    {
        asio::post(loop_, [this] { accept(); });
    }

    [[nodiscard]] auto local() const -> transport::endpoint
    {
        return {"127.0.0.1", bound_.port()};
    }

    auto set_target(transport::endpoint const& to) -> void
    {
        asio::post(
            loop_,
            [this, to] {
                target_ = {asio::ip::make_address(to.address), to.port};
            });
    }

    auto set(link_trouble const& trouble) -> void
    {
        asio::post(loop_, [this, trouble] { disturb(trouble); });
    }

private:
    auto disturb(link_trouble const& trouble) -> void
    {
        auto ec = error_code{};
        trouble_ = trouble;
        for (auto const& it : connections_)
        {
            trouble.resets ? it->reset() : it->disturb(trouble, true);
        }
        if (trouble.resets || !trouble.holds)
        {
            for (auto const& it : std::exchange(waiting_, {}))
            {
                trouble.resets ? it->reset() : begin(it);
            }
        }
        if (trouble.refuses)
        {
            listener_.close(ec);
        }
        else if (!listener_.is_open())
        {
            listener_.open(tcp::v4(), ec);
            listener_.set_option(tcp::acceptor::reuse_address{true}, ec);
            listener_.bind(bound_, ec);
            listener_.listen(asio::socket_base::max_listen_connections, ec);
            accept();
        }
    }

    auto accept() -> void
    {
        listener_.async_accept(
            [this](error_code ec, tcp::socket socket)
            {
                if (ec)
                {
                    return;
                }
                std::erase_if(
                    connections_,
                    [](auto const& it) { return !it->is_open(); });
                auto const it = std::make_shared<passed_connection>(
                    loop_, std::move(socket));
                trouble_.holds ? waiting_.push_back(it) : begin(it);
                accept();
            });
    }

    auto begin(std::shared_ptr<passed_connection> const& it) -> void
    {
        it->disturb(trouble_, false);
        it->begin(target_);
        connections_.insert(it);
    }

    asio::io_context& loop_;
    tcp::acceptor listener_;
    tcp::endpoint bound_;
    tcp::endpoint target_;
    link_trouble trouble_;
    std::set<std::shared_ptr<passed_connection>> connections_;
    std::vector<std::shared_ptr<passed_connection>> waiting_;
};

/** Owns all links and the thread that runs them. */
class link_loop
{
public:
    ~link_loop()
    {
        loop_.stop();
        thread_.join();
    }

    auto add() -> soak_link&
    {
        links_.push_back(std::make_unique<soak_link>(loop_));
        return *links_.back();
    }

private:
    asio::io_context loop_;
    asio::executor_work_guard<asio::io_context::executor_type> guard_ =
        asio::make_work_guard(loop_);
    std::vector<std::unique_ptr<soak_link>> links_;
    std::thread thread_{[this]
                        {
                            loop_.run();
                        }};
};

} // namespace godwitcleat::soak

#endif
