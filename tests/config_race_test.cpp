/** @file config_race_test.cpp Drains and publishes by several operators. */
#include "coordination/coordination.hpp"
#include "standins/support/memory_store_base.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace core = godwitcleat::core;
namespace coordination = godwitcleat::coordination;
namespace standins = godwitcleat::standins;
namespace state = godwitcleat::state;
using namespace std::chrono_literals;

namespace
{

constexpr auto codec = coordination::msgpack_config_codec;

/** One operator at one daemon; works as the commands drain and publish do. */
struct operator_run
{
    std::string name;
    std::string data_centre; ///< To drain; empty: publishes services.
    coordination::config_follower* follower = nullptr;
    bool reuses_document = false; ///< Fault: does not read again.
    bool busy = false;
    int publishes = 0;
    int conflicts = 0;
    std::optional<state::config_document> sent;
    std::set<std::string> accepted;        ///< Entries said to be in force.
    std::set<std::string> refused;         ///< Entries said not to be.
    std::set<std::uint64_t> generations{}; ///< Of the accepted changes.
    std::string problem;

    auto begin() -> void
    {
        if (busy)
        {
            return;
        }
        auto document = *follower->current().document;
        auto const base = document.number;
        if (reuses_document && sent)
        {
            document = *sent;
        }
        auto const entry = data_centre.empty()
                               ? fmt::format("{}-{}", name, ++publishes)
                               : data_centre;
        if (data_centre.empty())
        {
            document.services[core::service_id{entry}].service.value = entry;
        }
        else if (
            !document.drained_data_centres.insert(core::data_centre_id{entry})
                 .second &&
            !reuses_document)
        {
            return;
        }
        busy = true;
        sent = document;
        follower->publish(
            base, name, "change", std::move(document),
            [this, base, entry](auto const& done) { end(base, entry, done); });
    }

    auto
    end(core::generation base, std::string const& entry,
        std::optional<coordination::publish_outcome> const& done) -> void
    {
        busy = false;
        if (!done)
        {
            if (core::last_reason().kind != core::error_kind::unknown_outcome)
            {
                refused.insert(entry);
            }
            return;
        }
        if (done->accepted)
        {
            accepted.insert(entry);
            generations.insert(done->number.value);
            return;
        }
        refused.insert(entry);
        ++conflicts;
        auto told = std::set<std::uint64_t>{};
        for (auto const& it : done->changes)
        {
            told.insert(it.number.value);
        }
        for (auto n = base.value + 1; n <= done->number.value; ++n)
        {
            if (!told.contains(n))
            {
                problem = fmt::format("{} is not told of change {}", name, n);
            }
        }
        if (done->number <= base)
        {
            problem = name + " is refused without a change";
        }
    }
};

/** Three daemons, four operators and a store that reorders and loses calls. */
struct race
{
    core::manual_clock time;
    standins::memory_store store{time.reader()};
    std::vector<std::unique_ptr<coordination::config_follower>> followers;
    std::vector<operator_run> operators;

    explicit race(bool reuses_document = false)
    {
        for (auto i = 0; i < 3; ++i)
        {
            followers.push_back(std::make_unique<coordination::config_follower>(
                store, time.reader(), core::null_logger(), codec()));
        }
        auto const add =
            [&](std::string name, std::string data_centre, std::size_t at)
        {
            auto& it = operators.emplace_back();
            it.name = std::move(name);
            it.data_centre = std::move(data_centre);
            it.follower = followers[at].get();
            it.reuses_document = reuses_document;
        };
        operators.reserve(4);
        add("ann", "dc-a", 0);
        add("bob", "dc-b", 1);
        add("cid", "", 2);
        add("dan", "dc-a", 1);
        store.set_faults({.held = true});
    }

    auto run(core::duration length) -> void
    {
        for (auto i = core::duration{}; i < length; i += 100ms)
        {
            time.advance(100ms);
            for (auto const& it : followers)
            {
                it->tick();
            }
        }
    }

    auto step(unsigned number) -> void
    {
        auto const argument = number / 16;
        switch (number % 16)
        {
        case 0: store.set_faults({.held = true, .lose_replies = 1}); break;
        case 1: store.set_faults({.held = true, .lose_requests = 1}); break;
        case 2: store.set_faults({.held = true, .apply_later = 1}); break;
        case 3: store.set_faults({.down = true, .held = true}); break;
        case 4: store.set_faults({.held = true}); break;
        case 5: store.apply_late(); break;
        case 6: run(500ms); break;
        case 7:
        case 8:
        case 9: operators[argument % operators.size()].begin(); break;
        default:
            store.step(store.pending() == 0 ? 0 : argument % store.pending());
        }
    }

    /** Ends all faults; each operator goes on until the change is settled. */
    auto heal() -> void
    {
        store.set_faults({});
        for (auto i = 0; i < 300; ++i)
        {
            while (store.apply_late())
            {
            }
            store.run_pending();
            run(100ms);
            for (auto& it : operators)
            {
                if (i % 5 == 0 && !it.data_centre.empty())
                {
                    it.begin();
                }
            }
        }
    }

    [[nodiscard]] auto conflicts() const -> int
    {
        auto result = 0;
        for (auto const& it : operators)
        {
            result += it.conflicts;
        }
        return result;
    }

    /** Returns what the operators were told wrongly, or an empty text. */
    auto problem() -> std::string
    {
        auto const document = *followers[0]->current().document;
        auto known = std::set<std::string>{};
        for (auto const& [id, service] : document.services)
        {
            known.insert(id.value);
        }
        for (auto const& it : document.drained_data_centres)
        {
            known.insert(it.value);
        }
        auto generations = std::set<std::uint64_t>{};
        for (auto const& it : operators)
        {
            if (it.busy || !it.problem.empty())
            {
                return it.busy ? it.name + " has no answer" : it.problem;
            }
            for (auto const& entry : it.accepted)
            {
                if (!known.contains(entry))
                {
                    return "lost: " + entry;
                }
            }
            for (auto const& entry : it.refused)
            {
                if (it.data_centre.empty() && known.contains(entry))
                {
                    return "in force although refused: " + entry;
                }
            }
            for (auto const n : it.generations)
            {
                if (!generations.insert(n).second)
                {
                    return fmt::format("generation {} accepted twice", n);
                }
            }
        }
        for (auto const& it : followers)
        {
            if (*it->current().document != document)
            {
                return "followers differ";
            }
        }
        return known.contains("dc-a") && known.contains("dc-b")
                   ? ""
                   : "a drain is not in force";
    }
};

auto run_schedule(race& it, std::vector<unsigned> const& steps) -> std::string
{
    for (auto const step : steps)
    {
        it.step(step);
    }
    it.heal();
    return it.problem();
}

auto steps() -> rc::Gen<std::vector<unsigned>>
{
    constexpr auto most_steps = std::size_t{150};
    return rc::gen::resize(
        static_cast<int>(most_steps),
        rc::gen::container<std::vector<unsigned>>(
            rc::gen::noShrink(rc::gen::inRange(0U, 256U))));
}

} // namespace

// Guards against an accepted drain or publish that another operator's change
// removes, a refused one that comes into force, and a conflict that does not
// name the changes that came first.
RC_GTEST_PROP(config_race, no_accepted_change_is_lost, ())
{
    auto it = race{};
    auto const problem = run_schedule(it, *steps());
    RC_CLASSIFY(it.conflicts() > 0, "with a conflict");
    RC_ASSERT(problem == "");
}

// Guards against a checker that finds nothing: operators that publish their
// former document again, on the new generation, must be found.
TEST(config_race, check_finds_a_lost_change)
{
    constexpr auto most_schedules = 200;
    auto random = core::random_source{5};
    auto found = std::string{};
    for (auto i = 0; i < most_schedules && found.empty(); ++i)
    {
        auto schedule = std::vector<unsigned>(150);
        for (auto& it : schedule)
        {
            it = static_cast<unsigned>(random.below(256));
        }
        auto it = race{true};
        auto const problem = run_schedule(it, schedule);
        found = problem.starts_with("lost") ? problem : "";
    }
    EXPECT_NE(found, "");
}
