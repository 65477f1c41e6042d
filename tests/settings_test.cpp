/** @file settings_test.cpp Operators' files and the daemon's settings. */
#include "coordination/coordination.hpp"
#include "protocol/protocol.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace core = godwitcleat::core;
namespace state = godwitcleat::state;
namespace protocol = godwitcleat::protocol;
namespace coordination = godwitcleat::coordination;

namespace
{

constexpr std::string_view desk_text = "[team crew]\n"
                                       "cpu_milli = 64000\n"
                                       "memory_mb = 4096\n"
                                       "accelerators = 2\n"
                                       "[service desk]\n"
                                       "team = crew\n"
                                       "runners = 50\n"
                                       "slots = 4\n"
                                       "connections = 32\n"
                                       "cpu_milli = 2000\n"
                                       "memory_mb = 1024\n"
                                       "interruptible = yes\n"
                                       "task_class = web\n"
                                       "default_deadline_ms = 500\n"
                                       "command = desk --fast\n"
                                       "[job check]\n"
                                       "team = crew\n"
                                       "priority = urgent\n"
                                       "cpu_milli = 500\n"
                                       "memory_mb = 256\n"
                                       "accelerators = 1\n"
                                       "interruptible = no\n"
                                       "expected_run_ms = 9000\n"
                                       "deadline_s = 1800000000\n"
                                       "command = check\n";

auto read_texts(
    std::vector<protocol::config_source> const& sources,
    state::config_document const& base = {})
    -> std::optional<state::config_document>
{
    return protocol::read_config(sources, base);
}

auto expect_problem(
    std::vector<protocol::config_source> const& sources,
    std::string_view expected) -> void
{
    EXPECT_FALSE(read_texts(sources).has_value()) << expected;
    auto const& reason = core::last_reason();
    EXPECT_EQ(reason.kind, core::error_kind::invalid_input);
    EXPECT_NE(reason.message.find(expected), std::string::npos)
        << reason.message;
}

// Returns desk_text with one line replaced.
auto changed(std::string_view line, std::string_view replacement) -> std::string
{
    auto text = std::string{desk_text};
    auto const at = text.find(line);
    return at == std::string::npos ? text
                                   : text.replace(at, line.size(), replacement);
}

} // namespace

// Guards against keys that are read into the wrong member.
TEST(config_ini, reads_every_key)
{
    auto const document = read_texts({{"a.ini", std::string{desk_text}}});
    ASSERT_TRUE(document) << core::last_reason().message;
    auto const& team = document->teams.at(core::team_id{"crew"});
    EXPECT_EQ(team.quota, (core::resources{64000, 4096, 2}));
    auto expected = state::service_config{};
    expected.service = core::service_id{"desk"};
    expected.team = core::team_id{"crew"};
    expected.runners = 50;
    expected.slots = 4;
    expected.connections = 32;
    expected.need = {2000, 1024, 0};
    expected.interruptible = true;
    expected.task_class = "web";
    expected.default_deadline_ms = 500;
    expected.command = "desk --fast";
    EXPECT_EQ(document->services.at(expected.service), expected);
    auto spec = state::job_spec{};
    spec.id = core::job_id{"check"};
    spec.team = core::team_id{"crew"};
    spec.priority = state::priority_class::urgent;
    spec.need = {500, 256, 1};
    spec.interruptible = false;
    spec.expected_run_ms = 9000;
    spec.deadline_s = 1800000000;
    spec.command = "check";
    EXPECT_EQ(document->jobs.at(spec.id).spec, spec);
}

// Guards against errors that do not tell the operator where to look.
TEST(config_ini, names_file_line_and_key)
{
    expect_problem(
        {{"a.ini", changed("runners = 50", "runners = 5O")}},
        "a.ini:7: key \"runners\" in [service desk]");
    expect_problem(
        {{"a.ini", changed("runners = 50", "runner = 50")}},
        "a.ini:7: key \"runner\" in [service desk] is unknown");
    expect_problem(
        {{"a.ini", changed("priority = urgent", "priority = service")}},
        "a.ini:18: key \"priority\" in [job check]");
    expect_problem(
        {{"a.ini", changed("cpu_milli = 500", "# no processors")}},
        "a.ini:16: key \"cpu_milli\" in [job check] is missing");
    expect_problem(
        {{"a.ini", changed("[job check]", "[jobs check]")}},
        "a.ini:16: section [jobs check] is unknown");
    expect_problem(
        {{"a.ini", changed("[job check]", "[job che/ck]")}},
        "a.ini:16: section [job che/ck] has no valid name");
    expect_problem({{"a.ini", "x = 1\n"}}, "a.ini:1: key \"x\"");
    expect_problem({{"a.ini", "[team empty]\n"}}, "a.ini:1: key \"cpu_milli\"");
}

// Guards against sections that the INI library reads under another name:
// it skips a byte order mark and cuts titles of more than 49 characters.
TEST(config_ini, loses_no_section)
{
    auto const text = "\xef\xbb\xbf" + std::string{desk_text};
    auto const document = read_texts({{"a.ini", text}});
    ASSERT_TRUE(document) << core::last_reason().message;
    EXPECT_EQ(document->teams.size(), 1U);
    auto const name = std::string(41, 'x');
    expect_problem(
        {{"a.ini", "[service " + name + "]\nteam = crew\n"}},
        "a.ini:1: section [service " + name + "] has no valid name");
    auto longest = changed("[job check]", "[service " + name.substr(1) + "]");
    longest.erase(longest.find("priority = urgent"));
    longest += "cpu_milli = 1\nmemory_mb = 1\n";
    EXPECT_TRUE(read_texts({{"a.ini", longest}}))
        << core::last_reason().message;
}

// Guards against a report that stops at the first problem.
TEST(config_ini, reports_all_problems)
{
    expect_problem(
        {{"a.ini", "nonsense\n"}, {"b.ini", "[team t]\ncpu_milli = x\n"}},
        "b.ini:2: key \"cpu_milli\"");
    EXPECT_EQ(core::last_reason().message.find("a.ini:1:"), 0U);
    EXPECT_NE(
        core::last_reason().message.find("\nb.ini:1: key \"memory_mb\""),
        std::string::npos);
}

// Guards against a section that silently replaces or extends another one.
TEST(config_ini, names_both_places_of_a_repeated_name)
{
    auto const text = std::string{desk_text};
    expect_problem(
        {{"a.ini", text}, {"b.ini", "\n[service desk]\nteam = crew\n"}},
        "b.ini:2: section [service desk] stands already at a.ini:5");
    expect_problem(
        {{"a.ini", changed("task_class = web", "[service desk]")}},
        "a.ini:13: section [service desk] stands already at a.ini:5");
}

// Guards against services and jobs without a quota to charge.
TEST(config_ini, refuses_unknown_teams)
{
    expect_problem(
        {{"a.ini", changed("[team crew]", "[team other]")}},
        "a.ini:6: key \"team\" in [service desk] is \"crew\", which does not "
        "exist");
    expect_problem(
        {{"a.ini", changed("[team crew]", "[team other]")}},
        "a.ini:17: key \"team\" in [job check]");
}

// Guards against a publish that ends a drain.
TEST(config_ini, keeps_drained_entries_of_the_base)
{
    auto base = state::config_document{};
    base.number = core::generation{7};
    base.drained_data_centres.insert(core::data_centre_id{"north"});
    base.drained_workers.insert(core::worker_id{"w1"});
    base.teams[core::team_id{"gone"}];
    auto const document = read_texts({{"a.ini", std::string{desk_text}}}, base);
    ASSERT_TRUE(document);
    EXPECT_EQ(document->number, base.number);
    EXPECT_EQ(document->drained_data_centres, base.drained_data_centres);
    EXPECT_EQ(document->drained_workers, base.drained_workers);
    EXPECT_EQ(document->teams.size(), 1U);
}

// Guards against a document that the store cannot hold.
TEST(config_ini, refuses_documents_above_the_store_limit)
{
    auto text = std::string{"[team t]\ncpu_milli = 1\nmemory_mb = 1\n"};
    for (auto i = 0; i < 8000; ++i)
    {
        text += "[job j" + std::to_string(i) +
                "]\nteam = t\ncpu_milli = 1\nmemory_mb = 1\ncommand = " +
                std::string(150, 'x') + "\n";
    }
    expect_problem({{"a.ini", text}}, "remove services or jobs");
}

// Guards against crashes and exceptions on any text.
RC_GTEST_PROP(config_ini, survives_any_text, (std::string const& text))
{
    read_texts({{"a.ini", text}, {"b.ini", "[" + text + "]\n" + text}});
}

// Guards against changes that the operator is not shown before a publish.
TEST(config_changes, lists_each_difference)
{
    auto const before = read_texts({{"a.ini", std::string{desk_text}}});
    auto after =
        read_texts({{"a.ini", changed("runners = 50", "runners = 55")}});
    ASSERT_TRUE(before && after);
    EXPECT_TRUE(protocol::describe_changes(*before, *before).empty());
    after->services.at(core::service_id{"desk"}).need.memory_mb = 2048;
    after->jobs.clear();
    after->teams[core::team_id{"new"}];
    after->drained_data_centres.insert(core::data_centre_id{"north"});
    auto const expected = std::vector<std::string>{
        "team new added",
        "service desk: memory_mb 1024 -> 2048, runners 50 -> 55",
        "job check removed", "data centre north drained"};
    EXPECT_EQ(protocol::describe_changes(*before, *after), expected);
    EXPECT_EQ(
        protocol::describe_changes(*after, *before).back(),
        "data centre north undrained");
}

namespace
{

constexpr std::string_view daemon_text = "[instance]\n"
                                         "name = entry-1\n"
                                         "data_centre = north\n"
                                         "gateway = 10.0.0.4:8080\n"
                                         "control = 10.0.0.4:7001\n"
                                         "peer = 10.0.0.4:7002\n"
                                         "[store]\n"
                                         "addresses = 10.0.0.9:2379\n"
                                         "[scheduler]\n"
                                         "heartbeat_ms = 500\n"
                                         "lease_ms = 4000\n";

// Parses daemon_text with one line replaced; returns the problems.
auto settings_problem(std::string_view line, std::string_view replacement)
    -> std::string
{
    auto text = std::string{daemon_text};
    text.replace(text.find(line), line.size(), replacement);
    core::fail(core::error_kind::none, "");
    auto const settings = coordination::parse_daemon_settings(text, "d.ini");
    EXPECT_EQ(settings.has_value(), core::last_reason().message.empty());
    return core::last_reason().message;
}

} // namespace

// Guards against settings that are read into the wrong member, and against
// defaults that differ from docs/configuration.md.
TEST(daemon_settings, reads_keys_and_defaults)
{
    auto const settings =
        coordination::parse_daemon_settings(daemon_text, "d.ini");
    ASSERT_TRUE(settings) << core::last_reason().message;
    EXPECT_EQ(settings->name.value, "entry-1");
    EXPECT_EQ(settings->data_centre.value, "north");
    EXPECT_EQ(settings->gateway.port, 8080);
    EXPECT_EQ(settings->control.port, 7001);
    EXPECT_EQ(settings->advertise_peer, settings->peer);
    EXPECT_EQ(settings->store.size(), 1U);
    EXPECT_EQ(settings->lease, std::chrono::seconds{4});
    EXPECT_EQ(settings->shards, 16U);
    EXPECT_FALSE(settings->instances.has_value());
    EXPECT_TRUE(settings->peers.empty());
}

// Guards against a daemon that starts with settings that break its promises.
TEST(daemon_settings, refuses_conflicting_values)
{
    EXPECT_NE(
        settings_problem("lease_ms = 4000", "lease_ms = 1999")
            .find("at least 4 heartbeats"),
        std::string::npos);
    EXPECT_EQ(settings_problem("lease_ms = 4000", "lease_ms = 2000"), "");
    EXPECT_NE(
        settings_problem("peer = 10.0.0.4:7002", "peer = 10.0.0.4:7001")
            .find("both use port 7001"),
        std::string::npos);
    EXPECT_EQ(
        settings_problem(
            "[scheduler]",
            "[peers]\naddresses = 10.0.0.4:7002, 10.0.0.5:7002\n[scheduler]"),
        "");
}

// Guards against problems that do not tell the operator where to look.
TEST(daemon_settings, names_file_line_and_key)
{
    EXPECT_EQ(
        settings_problem("name = entry-1", "names = entry-1")
            .find("d.ini:2: key \"name\" in [instance] is missing"),
        0U);
    EXPECT_EQ(
        settings_problem("peer = 10.0.0.4:7002", "peer = entry:x")
            .find("d.ini:6: key \"peer\" in [instance] is \"entry:x\""),
        0U);
    EXPECT_EQ(
        settings_problem("heartbeat_ms = 500", "heartbeat = 500")
            .find("d.ini:10: key \"heartbeat\" in [scheduler] is unknown"),
        0U);
    EXPECT_NE(
        settings_problem("[scheduler]", "[schedule]").find("[schedule]"),
        std::string::npos);
    EXPECT_NE(
        settings_problem("addresses = 10.0.0.9:2379", "timeout_ms = 90")
            .find("key \"addresses\" in [store] is missing"),
        std::string::npos);
}

// Guards against crashes and exceptions on any text.
RC_GTEST_PROP(daemon_settings, survives_any_text, (std::string const& text))
{
    coordination::parse_daemon_settings(text, "d.ini");
    coordination::parse_daemon_settings("[instance]\nname = " + text, "d.ini");
}
