/** @file coordination.hpp Public header of the coordination library. */
#ifndef GODWITCLEAT_COORDINATION_COORDINATION_HPP
#define GODWITCLEAT_COORDINATION_COORDINATION_HPP

#include "coordination/router_base.hpp"
#include "coordination/store_type.hpp"

#endif
