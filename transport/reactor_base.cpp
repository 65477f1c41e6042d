/** @file reactor_base.cpp Threads that run network handlers and timers. */
#include "transport/reactor_base.hpp"

#include "transport/reactor_internal.hpp"

#include <algorithm>

namespace godwitcleat::transport
{

namespace asio = boost::asio;

/** One timer; handlers hold it weakly, so that only the handle owns it. */
struct timer_handle::implementation
    : std::enable_shared_from_this<timer_handle::implementation>
{
    implementation(
        std::shared_ptr<asio::io_context> loop, core::duration delay,
        bool repeated, std::function<void()> call)
        : context(std::move(loop))
        , timer(*context)
        , period(delay)
        , repeats(repeated)
        , task(std::move(call))
    {
    }

    auto arm() -> void
    {
        auto const lock = std::scoped_lock{mutex};
        if (cancelled)
        {
            return;
        }
        timer.expires_after(period);
        timer.async_wait(
            [weak = weak_from_this()](boost::system::error_code ec)
            {
                auto const self = weak.lock();
                if (self && !ec)
                {
                    self->run();
                }
            });
    }

    auto run() -> void
    {
        {
            auto const lock = std::scoped_lock{mutex};
            if (cancelled)
            {
                return;
            }
        }
        task();
        if (repeats)
        {
            arm();
        }
    }

    auto cancel() -> void
    {
        auto const lock = std::scoped_lock{mutex};
        cancelled = true;
        timer.cancel();
    }

    std::shared_ptr<asio::io_context> context;
    std::mutex mutex; ///< Guards the timer and `cancelled`.
    asio::steady_timer timer;
    core::duration period;
    bool repeats;
    bool cancelled = false;
    std::function<void()> task;
};

timer_handle::timer_handle() = default;

timer_handle::~timer_handle()
{
    cancel();
}

timer_handle::timer_handle(timer_handle&&) noexcept = default;

auto timer_handle::operator=(timer_handle&& other) noexcept -> timer_handle&
{
    if (this != &other)
    {
        cancel();
        implementation_ = std::move(other.implementation_);
    }
    return *this;
}

auto timer_handle::cancel() -> void
{
    if (implementation_)
    {
        implementation_->cancel();
        implementation_.reset();
    }
}

reactor::implementation::implementation(std::size_t count)
    : context(std::make_shared<asio::io_context>())
    , work(asio::make_work_guard(*context))
{
    for (std::size_t it = 0; it < std::max<std::size_t>(count, 1); ++it)
    {
        threads.emplace_back([loop = context.get()] { loop->run(); });
    }
}

reactor::reactor(std::size_t threads)
    : implementation_(std::make_unique<implementation>(threads))
{
}

reactor::~reactor()
{
    stop();
}

auto reactor::post(std::function<void()> task) -> void
{
    asio::post(*implementation_->context, std::move(task));
}

auto reactor::after(core::duration delay, std::function<void()> task)
    -> timer_handle
{
    auto handle = timer_handle{};
    handle.implementation_ = std::make_shared<timer_handle::implementation>(
        implementation_->context, delay, false, std::move(task));
    handle.implementation_->arm();
    return handle;
}

auto reactor::every(core::duration period, std::function<void()> task)
    -> timer_handle
{
    auto handle = timer_handle{};
    handle.implementation_ = std::make_shared<timer_handle::implementation>(
        implementation_->context, period, true, std::move(task));
    handle.implementation_->arm();
    return handle;
}

auto reactor::on_signal(
    std::initializer_list<int> signals, std::function<void(int)> handler)
    -> void
{
    auto set = std::make_unique<asio::signal_set>(*implementation_->context);
    for (auto const number : signals)
    {
        set->add(number);
    }
    set->async_wait(
        [call = std::move(handler)](boost::system::error_code ec, int number)
        {
            if (!ec)
            {
                call(number);
            }
        });
    auto const lock = std::scoped_lock{implementation_->mutex};
    implementation_->signals.push_back(std::move(set));
}

namespace
{

auto wait_for_signal(asio::signal_set& set, std::function<void()> handler)
    -> void
{
    set.async_wait(
        [&set, handler = std::move(handler)](
            boost::system::error_code ec, int /*number*/)
        {
            if (!ec)
            {
                handler();
                wait_for_signal(set, handler);
            }
        });
}

} // namespace

auto reactor::on_each_signal(int signal, std::function<void()> handler) -> void
{
    auto set =
        std::make_unique<asio::signal_set>(*implementation_->context, signal);
    wait_for_signal(*set, std::move(handler));
    auto const lock = std::scoped_lock{implementation_->mutex};
    implementation_->signals.push_back(std::move(set));
}

auto reactor::stop() -> void
{
    implementation_->context->stop();
    auto joined = std::vector<std::thread>{};
    {
        auto const lock = std::scoped_lock{implementation_->mutex};
        joined.swap(implementation_->threads);
    }
    for (auto& it : joined)
    {
        if (it.get_id() != std::this_thread::get_id())
        {
            it.join();
            continue;
        }
        // A handler that stops the loop cannot join its own thread.
        auto const lock = std::scoped_lock{implementation_->mutex};
        implementation_->threads.push_back(std::move(it));
    }
}

auto reactor::internal() -> implementation&
{
    return *implementation_;
}

} // namespace godwitcleat::transport
