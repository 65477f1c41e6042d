/** @file config_follower_func.cpp Codecs of the configuration keys. */
#include "coordination/config_follower_base.hpp"

namespace godwitcleat::coordination
{

auto msgpack_config_codec() -> config_codec
{
    auto codec = config_codec{};
    codec.encode_document = [](state::config_document const& value)
    {
        return protocol::encode(value);
    };
    codec.decode_document = [](std::string_view bytes)
    {
        return protocol::decode<state::config_document>(bytes);
    };
    codec.encode_change = [](state::config_change const& value)
    {
        return protocol::encode(value);
    };
    codec.decode_change = [](std::string_view bytes)
    {
        return protocol::decode<state::config_change>(bytes);
    };
    return codec;
}

} // namespace godwitcleat::coordination
