/** @file http_headers_func.cpp Access to header fields by name. */
#include "transport/http_type.hpp"

#include <algorithm>
#include <cctype>

namespace godwitcleat::transport
{

namespace
{

auto lower(char it) -> int
{
    return std::tolower(static_cast<unsigned char>(it));
}

auto same_name(std::string_view left, std::string_view right) -> bool
{
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(),
        [](char a, char b) { return lower(a) == lower(b); });
}

} // namespace

auto http_headers::get(std::string_view name) const -> std::string_view
{
    for (auto const& [key, value] : values)
    {
        if (same_name(key, name))
        {
            return value;
        }
    }
    return {};
}

auto http_headers::set(std::string_view name, std::string_view value) -> void
{
    // The arguments may refer to a field that remove() deletes.
    auto entry = std::pair{std::string{name}, std::string{value}};
    remove(entry.first);
    values.push_back(std::move(entry));
}

auto http_headers::remove(std::string_view name) -> void
{
    std::erase_if(
        values, [name](auto const& it) { return same_name(it.first, name); });
}

} // namespace godwitcleat::transport
