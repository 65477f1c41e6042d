/** @file memory_budget_test.cpp Tests of the account of request bytes. */
#include "transport/transport.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <vector>

namespace core = godwitcleat::core;
namespace transport = godwitcleat::transport;
using namespace std::chrono_literals;

namespace
{

constexpr auto total = std::size_t{8000};
constexpr auto small = std::size_t{100};

/** A budget of 8,000 bytes, 1,000 of them for shares of at most 100. */
struct budget_fixture
{
    explicit budget_fixture(bool leaks = false)
    {
        auto limits = transport::memory_budget_limits{};
        limits.bytes = total;
        limits.small_bytes = small;
        limits.keep_on_release = leaks;
        budget = std::make_shared<transport::memory_budget>(
            limits, [this] { return now; });
    }

    auto share(bool privileged = false)
        -> std::unique_ptr<transport::budget_share>
    {
        return std::make_unique<transport::budget_share>(
            budget, privileged, [this] { ++evicted; });
    }

    core::time_point now{1h};
    int evicted = 0;
    std::shared_ptr<transport::memory_budget> budget;
};

/** Plays random operations on some shares; returns the bytes at rest. */
auto play(budget_fixture& fixture) -> std::size_t
{
    constexpr auto shares = 5;
    auto open = std::vector<std::unique_ptr<transport::budget_share>>(shares);
    auto const steps = *rc::gen::inRange(0, 200);
    for (auto i = 0; i < steps; ++i)
    {
        auto& it = open.at(*rc::gen::inRange<std::size_t>(0, shares));
        fixture.now += 100ms;
        switch (*rc::gen::inRange(0, 7))
        {
        case 0: it = fixture.share(); break;
        case 1: it.reset(); break;
        case 2: it ? it->begin() : void(); break;
        case 3: it ? it->protect() : void(); break;
        case 4: it ? it->end() : void(); break;
        case 5:
            if (it)
            {
                static_cast<void>(
                    it->resize(*rc::gen::inRange<std::size_t>(0, total + 10)));
                RC_ASSERT(it->bytes() <= total);
            }
            break;
        default:
            it ? it->force(*rc::gen::inRange<std::size_t>(0, 500)) : void();
        }
        auto sum = std::size_t{0};
        for (auto const& share : open)
        {
            sum += share ? share->bytes() : 0;
        }
        if (!fixture.budget->limits().keep_on_release)
        {
            RC_ASSERT(fixture.budget->used() == sum);
        }
    }
    open.clear();
    return fixture.budget->used();
}

} // namespace

// Guards against bytes that are not given back, or given back twice.
RC_GTEST_PROP(memory_budget, holds_nothing_at_rest, ())
{
    auto fixture = budget_fixture{};
    RC_ASSERT(play(fixture) == 0U);
}

// A planted leak: the property above has to find it.
TEST(memory_budget, the_property_finds_a_leak)
{
    auto fixture = budget_fixture{true};
    auto share = fixture.share();
    ASSERT_TRUE(share->resize(10));
    share->end();
    share.reset();
    EXPECT_NE(fixture.budget->used(), 0U);
    auto const result = rc::detail::checkTestable(
        []
        {
            auto leaking = budget_fixture{true};
            RC_ASSERT(play(leaking) == 0U);
        });
    EXPECT_FALSE(result.template is<rc::detail::SuccessResult>());
}

// Guards against large requests that leave nothing for small ones.
TEST(memory_budget, small_requests_find_a_reserved_part)
{
    auto fixture = budget_fixture{};
    auto const large = fixture.share();
    EXPECT_TRUE(large->resize(7000));
    EXPECT_FALSE(large->resize(7001));
    auto const other = fixture.share();
    EXPECT_FALSE(other->resize(small + 1));
    EXPECT_TRUE(other->resize(small));
    auto const peer = fixture.share(true);
    EXPECT_TRUE(peer->resize(900));
    EXPECT_FALSE(peer->resize(901));
}

// Guards against the end of a request that makes progress, or that was handed
// over, in place of one that holds much for long.
TEST(memory_budget, the_request_with_least_progress_goes_first)
{
    auto fixture = budget_fixture{};
    auto ended = std::vector<int>{};
    auto const share = [&](int id)
    {
        return std::make_unique<transport::budget_share>(
            fixture.budget, false, [&ended, id] { ended.push_back(id); });
    };
    auto const handed_over = share(1);
    auto const stalled = share(2);
    auto const recent = share(3);
    handed_over->begin();
    ASSERT_TRUE(handed_over->resize(3000));
    handed_over->protect();
    stalled->begin();
    ASSERT_TRUE(stalled->resize(2000));
    fixture.now += 2s;
    recent->begin();
    ASSERT_TRUE(recent->resize(2000));
    fixture.now += 600ms;
    auto const asking = share(4);
    EXPECT_FALSE(asking->resize(1000));
    EXPECT_EQ(ended, std::vector<int>{2});
    // The next one is not chosen before the first has given its bytes back.
    EXPECT_FALSE(asking->resize(1000));
    EXPECT_EQ(ended, std::vector<int>{2});
    stalled->end();
    EXPECT_TRUE(asking->resize(1000));
}

// Guards against requests that are ended although they are young.
TEST(memory_budget, a_young_request_is_not_ended)
{
    auto fixture = budget_fixture{};
    auto const first = fixture.share();
    first->begin();
    ASSERT_TRUE(first->resize(7000));
    fixture.now += 100ms;
    auto const second = fixture.share();
    EXPECT_FALSE(second->resize(1000));
    EXPECT_EQ(fixture.evicted, 0);
}

// Guards against servers without a budget that refuse requests.
TEST(memory_budget, without_a_budget_nothing_is_limited)
{
    auto share = transport::budget_share{nullptr, false, {}};
    share.begin();
    EXPECT_TRUE(share.resize(1'000'000'000));
    EXPECT_EQ(share.bytes(), 0U);
}
