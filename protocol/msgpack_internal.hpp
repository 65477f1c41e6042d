/** @file msgpack_internal.hpp Packs and unpacks values by their members. */
#ifndef GODWITCLEAT_PROTOCOL_MSGPACK_INTERNAL_HPP
#define GODWITCLEAT_PROTOCOL_MSGPACK_INTERNAL_HPP

#include "protocol/members_internal.hpp"

#include <msgpack.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace godwitcleat::protocol
{

using packer = msgpack::packer<msgpack::sbuffer>;

/** Writes @p value: structs, lists, sets and maps as arrays. */
template <class Type>
auto pack(packer& out, Type const& value) -> void
{
    if constexpr (described<Type const>)
    {
        out.pack_array(static_cast<std::uint32_t>(member_count(value)));
        visit_members(
            value,
            [&out](char const*, auto const& member) { pack(out, member); });
    }
    else if constexpr (std::is_enum_v<Type>)
    {
        out.pack(static_cast<int>(value));
    }
    else if constexpr (
        is_instance<Type, core::string_id> ||
        is_instance<Type, core::number_id>)
    {
        out.pack(value.value);
    }
    else if constexpr (is_instance<Type, std::optional>)
    {
        value ? pack(out, *value) : static_cast<void>(out.pack_nil());
    }
    else if constexpr (is_instance<Type, std::variant>)
    {
        out.pack_array(2);
        out.pack(value.index());
        std::visit([&out](auto const& held) { pack(out, held); }, value);
    }
    else if constexpr (is_instance<Type, std::pair>)
    {
        out.pack_array(2);
        pack(out, value.first);
        pack(out, value.second);
    }
    else if constexpr (
        is_instance<Type, std::vector> || is_instance<Type, std::set> ||
        is_instance<Type, std::map>)
    {
        out.pack_array(static_cast<std::uint32_t>(value.size()));
        for (auto const& it : value)
        {
            pack(out, it);
        }
    }
    else
    {
        out.pack(value);
    }
}

/** Returns the elements of an array of at least @p least elements. */
inline auto array_of(msgpack::object const& from, std::size_t least)
    -> msgpack::object_array const&
{
    if (from.type != msgpack::type::ARRAY || from.via.array.size < least)
    {
        throw msgpack::type_error{};
    }
    return from.via.array;
}

/** Reads values; throws msgpack::type_error if the bytes do not match. */
class unpacker
{
public:
    /** @param bytes size of the input; bounds the memory of the result. */
    explicit unpacker(std::size_t bytes)
        : room_(fixed_room + bytes * room_per_byte)
    {
    }

    /** Reads @p value from @p from. */
    template <class Type>
    auto read(msgpack::object const& from, Type& value) -> void
    {
        if constexpr (described<Type>)
        {
            read_members(from, value);
        }
        else if constexpr (std::is_enum_v<Type>)
        {
            read_enum(from, value);
        }
        else if constexpr (
            is_instance<Type, core::string_id> ||
            is_instance<Type, core::number_id>)
        {
            read(from, value.value);
        }
        else if constexpr (is_instance<Type, std::optional>)
        {
            value.reset();
            if (from.type != msgpack::type::NIL)
            {
                read(from, value.emplace());
            }
        }
        else if constexpr (is_instance<Type, std::variant>)
        {
            auto const& pair = array_of(from, 2);
            read_alternative(
                pair.ptr[1], pair.ptr[0].as<std::size_t>(), value,
                std::make_index_sequence<std::variant_size_v<Type>>{});
        }
        else if constexpr (
            is_instance<Type, std::vector> || is_instance<Type, std::set> ||
            is_instance<Type, std::map>)
        {
            read_elements(from, value);
        }
        else
        {
            value = from.as<Type>();
        }
    }

private:
    // An empty array of one byte stands for an element of up to 384 bytes. A
    // complete job takes 15 times its packed size, and a list of the smallest
    // record, reconfirm, 120 times.
    static constexpr auto room_per_byte = std::size_t{128};
    // Lists of reconfirm records stay readable when the record type grows.
    static constexpr auto fixed_room = std::size_t{1} << 20U;

    auto take_room(std::size_t bytes) -> void
    {
        if (bytes > room_)
        {
            throw msgpack::type_error{};
        }
        room_ -= bytes;
    }

    template <class Enum>
    auto read_enum(msgpack::object const& from, Enum& value) -> void
    {
        auto const number = from.as<int>();
        if (number < 0 || number >= enum_size<Enum>)
        {
            throw msgpack::type_error{};
        }
        value = static_cast<Enum>(number);
    }

    // Elements after the known members are ignored; members without an
    // element keep their defaults.
    template <described Type>
    auto read_members(msgpack::object const& from, Type& value) -> void
    {
        auto const& array = array_of(from, 0);
        auto n = std::uint32_t{0};
        visit_members(
            value,
            [&](char const*, auto& member)
            {
                if (n < array.size)
                {
                    read(array.ptr[n], member);
                }
                ++n;
            });
    }

    template <class Variant, std::size_t... Index>
    auto read_alternative(
        msgpack::object const& from, std::size_t index, Variant& value,
        std::index_sequence<Index...> /*alternatives*/) -> void
    {
        auto const read_if = [&]<std::size_t Candidate>()
        {
            if (index == Candidate)
            {
                read(from, value.template emplace<Candidate>());
            }
            return index == Candidate;
        };
        if (!(read_if.template operator()<Index>() || ...))
        {
            throw msgpack::type_error{};
        }
    }

    // A repeated key is malformed.
    template <class Container>
    auto read_elements(msgpack::object const& from, Container& value) -> void
    {
        auto const& array = array_of(from, 0);
        take_room(array.size * sizeof(typename Container::value_type));
        value.clear();
        if constexpr (is_instance<Container, std::vector>)
        {
            value.reserve(array.size);
        }
        for (auto i = std::uint32_t{0}; i < array.size; ++i)
        {
            read_element(array.ptr[i], value);
        }
        if (value.size() != array.size)
        {
            throw msgpack::type_error{};
        }
    }

    template <class Container>
    auto read_element(msgpack::object const& from, Container& value) -> void
    {
        if constexpr (is_instance<Container, std::vector>)
        {
            read(from, value.emplace_back());
        }
        else if constexpr (is_instance<Container, std::set>)
        {
            auto key = typename Container::key_type{};
            read(from, key);
            value.insert(std::move(key));
        }
        else
        {
            auto key = typename Container::key_type{};
            auto const& pair = array_of(from, 2);
            read(pair.ptr[0], key);
            read(pair.ptr[1], value[std::move(key)]);
        }
    }

    std::size_t room_;
};

} // namespace godwitcleat::protocol

#endif
