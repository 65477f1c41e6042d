/** @file job_answer_test.cpp Answers to job calls on their way to callers. */
#include "coordination/job_router_base.hpp"
#include "platform/job_api_base.hpp"
#include "protocol/protocol.hpp"

#include <gtest/gtest.h>

namespace core = godwitcleat::core;
namespace coordination = godwitcleat::coordination;
namespace platform = godwitcleat::platform;
namespace protocol = godwitcleat::protocol;
namespace state = godwitcleat::state;
namespace transport = godwitcleat::transport;

namespace
{

auto refusal() -> protocol::job_answer
{
    auto answer = protocol::job_answer{};
    answer.error = core::error_kind::no_capacity;
    answer.message = "submit it again in 7 s";
    answer.retry_after_s = 7;
    return answer;
}

} // namespace

// Guards against a caller that is told "not run" while an earlier try of its
// submit is under way to the owner, which then accepts it.
TEST(job_answer, a_refusal_beside_an_unanswered_try_is_no_refusal)
{
    EXPECT_EQ(
        coordination::settled_answer(refusal(), false).error,
        core::error_kind::no_capacity);
    EXPECT_EQ(
        coordination::settled_answer(refusal(), true).error,
        core::error_kind::unknown_outcome);
    auto unavailable = refusal();
    unavailable.error = core::error_kind::unavailable;
    EXPECT_EQ(
        coordination::settled_answer(unavailable, true).error,
        core::error_kind::unknown_outcome);
    EXPECT_EQ(
        coordination::settled_answer({}, true).error, core::error_kind::none);
}

// Guards against a refusal that is true but not passed on, because a try to a
// former owner had no answer, and against one that is passed on while a try may
// still reach the owner.
TEST(job_answer, a_later_owner_settles_tries_to_earlier_ones)
{
    constexpr auto any_owner = core::epoch{};
    auto tries = coordination::unanswered_tries{};
    tries.begin(core::epoch{3});
    tries.begin(core::epoch{3});
    EXPECT_TRUE(tries.may_outlive(any_owner));
    EXPECT_TRUE(tries.may_outlive(core::epoch{3}));
    EXPECT_FALSE(tries.may_outlive(core::epoch{4}));
    tries.begin(any_owner);
    EXPECT_TRUE(tries.may_outlive(core::epoch{4}));
    tries.end(any_owner);
    EXPECT_FALSE(tries.may_outlive(core::epoch{4}));
    tries.end(core::epoch{3});
    EXPECT_TRUE(tries.any());
    tries.end(core::epoch{3});
    EXPECT_FALSE(tries.any());
    EXPECT_FALSE(tries.may_outlive(any_owner));
}

// Guards against an instance that drops the owner's advice when to retry.
TEST(job_answer, a_refusal_tells_the_caller_when_to_retry)
{
    auto metrics = core::metrics{};
    auto const route = [](auto const&, auto, auto const& on_answer)
    {
        auto const sent = protocol::encode(refusal());
        on_answer(*protocol::decode<protocol::job_answer>(sent));
    };
    auto api = platform::job_api{route, core::null_logger(), metrics};
    auto table = state::queue_table{};
    auto queue = state::queue_config{};
    queue.queue = state::queue_id{"q"};
    queue.host = "h";
    queue.path_prefix = "/jobs/";
    table.queues.emplace(queue.queue, queue);
    api.set_queues(std::make_shared<state::queue_table const>(table));
    auto request = transport::http_request{};
    request.method = "POST";
    request.target = "/jobs/00000000000000f5";
    request.headers.set("Host", "h");
    request.body = R"({"spec":"x","steps":[{"count":1,"cpu":1}]})";
    auto response = transport::http_response{};
    api.handle(request, [&](auto it) { response = std::move(it); });
    EXPECT_EQ(response.status, 429);
    EXPECT_EQ(response.headers.get("Retry-After"), "7");
}
