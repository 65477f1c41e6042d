/** @file json_func.cpp JSON codecs of the control port, on nlohmann-json. */
#include "protocol/json_func.hpp"

#include <nlohmann/json.hpp>

namespace godwitcleat::protocol
{

auto to_json(core::failure const& value) -> std::string
{
    return nlohmann::json{
        {"error", std::string{core::to_string(value.kind)}},
        {"message", value.message}}
        .dump();
}

} // namespace godwitcleat::protocol
