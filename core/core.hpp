/** @file core.hpp Public header of the core library: plain helpers. */
#ifndef GODWITCLEAT_CORE_CORE_HPP
#define GODWITCLEAT_CORE_CORE_HPP

#include "core/clock_type.hpp"
#include "core/error_type.hpp"
#include "core/hash_func.hpp"
#include "core/id_type.hpp"
#include "core/ini_base.hpp"
#include "core/log_base.hpp"
#include "core/metrics_base.hpp"
#include "core/random_base.hpp"
#include "core/resources_type.hpp"
#include "core/timeline_base.hpp"

#endif
