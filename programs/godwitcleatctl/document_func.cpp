/** @file document_func.cpp Reads and publishes the configuration document. */
#include "config_command_func.hpp"
#include "protocol/protocol.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cstdlib>

namespace godwitcleat::ctl
{

auto read_document(api_client& client) -> document_answer
{
    auto answer = client.get("/v1/config");
    if (answer.status != exit_status::done)
    {
        return {std::nullopt, std::move(answer)};
    }
    auto document = protocol::config_document_from_json(answer.body);
    if (!document)
    {
        answer.status = exit_status::refused;
        answer.reason = core::last_reason();
    }
    return {std::move(document), std::move(answer)};
}

auto publish_document(
    api_client& client, state::config_document const& document,
    std::string const& author, std::string const& summary) -> api_answer
{
    auto const body = nlohmann::json{
        {"base", document.number.value},
        {"author", author},
        {"summary", summary},
        {"document", nlohmann::json::parse(protocol::to_json(document))}};
    return client.post(
        "/v1/config",
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

auto conflicting_changes(api_answer const& answer) -> std::vector<std::string>
{
    auto lines = std::vector<std::string>{};
    auto const root = nlohmann::json::parse(answer.body, nullptr, false);
    if (!root.is_object())
    {
        return lines;
    }
    for (auto const& it : root.value("changes", nlohmann::json::array()))
    {
        lines.push_back(fmt::format(
            "{} {}: {}", it.value("number", std::uint64_t{0}),
            it.value("author", ""), it.value("summary", "")));
    }
    return lines;
}

auto published_generation(api_answer const& answer) -> std::uint64_t
{
    auto const root = nlohmann::json::parse(answer.body, nullptr, false);
    return root.is_object() ? root.value("generation", std::uint64_t{0}) : 0;
}

auto add_author(cxxopts::OptionAdder add) -> void
{
    add("author", "author of the change (default: $USER)",
        cxxopts::value<std::string>(), "NAME");
}

auto author_of(command_context const& context) -> std::optional<std::string>
{
    if (context.options.count("author") != 0)
    {
        return context.options["author"].as<std::string>();
    }
    auto const* user = std::getenv("USER");
    if (user == nullptr || *user == '\0')
    {
        return core::fail(
            core::error_kind::invalid_input,
            "the author is unknown; use --author NAME");
    }
    return std::string{user};
}

} // namespace godwitcleat::ctl
