/** @file coordination.hpp Public header of the coordination library. */
#ifndef GODWITCLEAT_COORDINATION_COORDINATION_HPP
#define GODWITCLEAT_COORDINATION_COORDINATION_HPP

#include "coordination/daemon_settings_base.hpp"
#include "coordination/store_type.hpp"

#endif
