/** @file coordination.hpp Public header of the coordination library. */
#ifndef GODWITCLEAT_COORDINATION_COORDINATION_HPP
#define GODWITCLEAT_COORDINATION_COORDINATION_HPP

#include "coordination/admission_base.hpp"
#include "coordination/gateway_base.hpp"
#include "coordination/request_policy_func.hpp"
#include "coordination/retry_budget_base.hpp"
#include "coordination/router_base.hpp"
#include "coordination/store_type.hpp"

#endif
