/** @file protocol.hpp Public header of the protocol library: messages, codecs.
 */
#ifndef GODWITCLEAT_PROTOCOL_PROTOCOL_HPP
#define GODWITCLEAT_PROTOCOL_PROTOCOL_HPP

#include "protocol/config_ini_func.hpp"
#include "protocol/json_func.hpp"
#include "protocol/msgpack_func.hpp"
#include "protocol/peer_type.hpp"
#include "protocol/plan_message_type.hpp"

#endif
