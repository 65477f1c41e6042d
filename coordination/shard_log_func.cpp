/** @file shard_log_func.cpp Codecs of the shard log. */
#include "coordination/shard_log_base.hpp"

namespace godwitcleat::coordination
{

auto msgpack_shard_log_codec() -> shard_log_codec
{
    auto codec = shard_log_codec{};
    codec.encode_batch = [](state::record_batch const& value)
    {
        return protocol::encode(value);
    };
    codec.decode_batch = [](std::string_view bytes)
    {
        return protocol::decode<state::record_batch>(bytes);
    };
    codec.encode_snapshot = [](protocol::shard_snapshot const& value)
    {
        return protocol::encode(value);
    };
    codec.decode_snapshot = [](std::string_view bytes)
    {
        return protocol::decode<protocol::shard_snapshot>(bytes);
    };
    return codec;
}

} // namespace godwitcleat::coordination
