/** @file transport.hpp Public header of the transport library. */
#ifndef GODWITCLEAT_TRANSPORT_TRANSPORT_HPP
#define GODWITCLEAT_TRANSPORT_TRANSPORT_HPP

#include "transport/answer_timeout_base.hpp"
#include "transport/endpoint_type.hpp"
#include "transport/frame_base.hpp"
#include "transport/http_base.hpp"
#include "transport/http_type.hpp"
#include "transport/memory_budget_base.hpp"
#include "transport/reactor_base.hpp"

#endif
