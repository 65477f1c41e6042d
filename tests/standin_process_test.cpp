/** @file standin_process_test.cpp Tests of the worker process over HTTP. */
#include "protocol/protocol.hpp"
#include "standins/support/process_base.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <future>
#include <thread>

namespace core = godwitcleat::core;
namespace protocol = godwitcleat::protocol;
namespace standins = godwitcleat::standins;
namespace state = godwitcleat::state;
namespace transport = godwitcleat::transport;

using namespace std::chrono_literals;

namespace
{

// Bound for events that must happen; it is reached only by a failing test.
constexpr auto patience = 30s;

// Longer than any test, so that a slow instance causes no lapse.
constexpr std::int64_t long_lease_ms = 600'000;

auto key_of(std::string job) -> state::attempt_key
{
    return {core::job_id{std::move(job)}, core::attempt_number{1}};
}

auto command_of(state::worker_command_kind kind, state::attempt_key key)
    -> state::worker_command
{
    auto result = state::worker_command{};
    result.kind = kind;
    result.key = std::move(key);
    return result;
}

auto start_of(std::string job, state::job_kind kind, std::string text)
    -> state::worker_command
{
    auto result =
        command_of(state::worker_command_kind::start, key_of(std::move(job)));
    result.spec.id = result.key.job;
    result.spec.kind = kind;
    result.spec.command = std::move(text);
    return result;
}

/** A control port that answers heartbeats as the test says. */
class fake_daemon
{
public:
    explicit fake_daemon(transport::reactor& loop)
        : server_(transport::http_server::listen(
              loop, {"127.0.0.1", 0}, {},
              [this](
                  transport::http_request const& request,
                  transport::http_reply const& reply)
              { reply(answer(request)); }))
    {
        EXPECT_TRUE(server_.has_value());
    }

    [[nodiscard]] auto local() const -> transport::endpoint
    {
        return server_->local();
    }

    /** Sends @p command in the next reply. */
    auto command(state::worker_command command) -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        commands_.push_back(std::move(command));
    }

    /** Refers all heartbeats to @p owner. */
    auto refer(transport::endpoint const& owner) -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        owner_ = transport::to_string(owner);
    }

    auto fail() -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        failing_ = true;
    }

    auto heartbeats() -> std::size_t
    {
        auto const lock = std::scoped_lock{mutex_};
        return heartbeats_;
    }

    /** Returns the latest report of the task, if there is one. */
    auto task(state::attempt_key const& key)
        -> std::optional<state::task_report>
    {
        auto const lock = std::scoped_lock{mutex_};
        for (auto const& it : report_.tasks)
        {
            if (it.key == key)
            {
                return it;
            }
        }
        return std::nullopt;
    }

    auto info() -> state::worker_info
    {
        auto const lock = std::scoped_lock{mutex_};
        return report_.info;
    }

private:
    auto answer(transport::http_request const& request)
        -> transport::http_response
    {
        auto const lock = std::scoped_lock{mutex_};
        EXPECT_EQ(request.method, "POST");
        EXPECT_EQ(request.target, "/v1/heartbeat");
        EXPECT_EQ(request.headers.get("Content-Type"), "application/msgpack");
        auto const partial =
            protocol::decode<state::partial_report>(request.body);
        EXPECT_TRUE(partial) << core::last_reason().message;
        ++heartbeats_;
        if (failing_)
        {
            return {503, {}, "{}"};
        }
        if (!owner_.empty())
        {
            return {
                421,
                {},
                nlohmann::json{
                    {"error", "not_owner"},
                    {"message", "ask the owner"},
                    {"owner", owner_}}
                    .dump()};
        }
        auto reply = state::heartbeat_reply{};
        auto report = reader_.read(*partial, core::system_clock()());
        if (!report)
        {
            reply.full_report_requested = true;
            return {200, {}, protocol::encode(reply)};
        }
        report_ = *report;
        reply.owner_epoch = core::epoch{1};
        reply.lease_ms = long_lease_ms;
        reply.start_valid_ms = long_lease_ms;
        reply.next_heartbeat_ms = 10;
        reply.commands = std::exchange(commands_, {});
        return {200, {}, protocol::encode(reply)};
    }

    std::mutex mutex_; ///< Guards the following members.
    std::vector<state::worker_command> commands_;
    std::string owner_;
    bool failing_ = false;
    std::size_t heartbeats_ = 0;
    state::report_reader reader_;
    state::worker_report report_;
    std::optional<transport::http_server> server_;
};

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
        std::this_thread::sleep_for(1ms);
    }
    return true;
}

/** Two daemons and a worker process that knows both. */
class worker_process : public testing::Test
{
protected:
    ~worker_process() override
    {
        loop.stop();
    }

    auto run() -> void
    {
        auto settings = standins::process_settings{};
        settings.worker.info.worker = core::worker_id{"w1"};
        settings.worker.info.rack = core::rack_id{"r1"};
        settings.worker.info.capacity = {4000, 1024, 1};
        settings.daemons = {first.local(), second.local()};
        process = std::make_unique<standins::worker_process>(
            loop, settings, core::system_clock(), core::null_logger(), record);
        process->start();
    }

    auto phase(std::string const& job) -> std::optional<state::task_phase>
    {
        auto const task = first.task(key_of(job));
        return task ? std::optional{task->phase} : std::nullopt;
    }

    transport::reactor loop{4};
    fake_daemon first{loop};
    fake_daemon second{loop};
    standins::history record;
    std::unique_ptr<standins::worker_process> process;
};

} // namespace

// Guards against a worker that does not run what it is told, or whose reports
// lose the outcome.
TEST_F(worker_process, runs_tasks_and_reports_them)
{
    first.command(start_of("a", state::job_kind::batch, "work 20"));
    first.command(start_of("b", state::job_kind::batch, "fail 20"));
    run();
    EXPECT_TRUE(
        eventually([&] { return phase("a") == state::task_phase::finished; }));
    EXPECT_TRUE(
        eventually([&] { return phase("b") == state::task_phase::failed; }));
    EXPECT_EQ(first.info().rack, core::rack_id{"r1"});
    EXPECT_EQ(first.info().capacity, (core::resources{4000, 1024, 1}));
    first.command(command_of(state::worker_command_kind::forget, key_of("a")));
    EXPECT_TRUE(eventually([&] { return !phase("a"); }));
    EXPECT_EQ(second.heartbeats(), 0U);
}

// Guards against a worker that stays with a daemon that does not own its
// shard.
TEST_F(worker_process, follows_the_owner)
{
    first.refer(second.local());
    run();
    EXPECT_TRUE(eventually([&] { return second.heartbeats() >= 5; }));
    EXPECT_EQ(first.heartbeats(), 1U);
}

// Guards against a worker that loses its lease because one daemon fails.
TEST_F(worker_process, tries_the_next_daemon)
{
    first.fail();
    run();
    EXPECT_TRUE(eventually([&] { return second.heartbeats() >= 5; }));
    EXPECT_EQ(first.heartbeats(), 1U);
}

// Guards against daemons that refer to each other without end: the worker
// must not send heartbeats without a pause.
TEST_F(worker_process, leaves_a_circle_of_owners)
{
    first.refer(second.local());
    second.refer(first.local());
    run();
    EXPECT_TRUE(eventually([&] { return second.heartbeats() >= 4; }));
    // Each round of answers ends with a pause of 100 ms.
    auto const begin = std::chrono::steady_clock::now();
    auto const before = second.heartbeats();
    EXPECT_TRUE(eventually([&] { return second.heartbeats() >= before + 6; }));
    EXPECT_GE(std::chrono::steady_clock::now() - begin, 100ms);
}

// Guards against service tasks without an endpoint, and endpoints that answer
// after the task was stopped.
TEST_F(worker_process, opens_a_runner_for_each_service_task)
{
    first.command(start_of("s", state::job_kind::service, "serve 1"));
    run();
    auto where = std::string{};
    ASSERT_TRUE(eventually(
        [&]
        {
            auto const task = first.task(key_of("s"));
            where = task ? task->endpoint : std::string{};
            return !where.empty();
        }));
    auto client = transport::http_client{loop, {}};
    auto const fetch = [&]
    {
        auto promise = std::promise<transport::http_result>{};
        auto future = promise.get_future();
        client.send(
            *transport::parse_endpoint(where), {}, patience,
            [&promise](transport::http_result result)
            { promise.set_value(std::move(result)); });
        return future.get();
    };
    auto const answered = fetch();
    ASSERT_TRUE(answered.response);
    EXPECT_EQ(answered.response->status, 200);
    first.command(command_of(state::worker_command_kind::stop, key_of("s")));
    EXPECT_TRUE(
        eventually([&] { return phase("s") == state::task_phase::stopped; }));
    EXPECT_EQ(first.task(key_of("s"))->endpoint, "");
    auto const refused = fetch();
    EXPECT_FALSE(refused.response);
    EXPECT_EQ(refused.progress, transport::send_progress::nothing_written);
}
