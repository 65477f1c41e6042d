/** @file workload_base.hpp Services, batch jobs and urgent jobs of one seed. */
#ifndef GODWITCLEAT_EXPERIMENTS_ABSENCE_WORKLOAD_BASE_HPP
#define GODWITCLEAT_EXPERIMENTS_ABSENCE_WORKLOAD_BASE_HPP

#include "experiments/support/interference_base.hpp"
#include "simulation_base.hpp"

#include <cstdint>
#include <random>

namespace godwitcleat::experiments
{

/** Draws jobs and adds their truths to the world. */
class workload
{
public:
    /** The references must outlive the object. */
    workload(
        run_options const& options, std::mt19937_64& random,
        interference_world& world);

    /** Returns the first configuration: teams with quotas, and services. */
    auto make_document() -> state::config_document;
    auto make_batch() -> state::job_spec;
    auto make_urgent() -> state::job_spec;

    /** Returns the batch jobs per second; set by make_document(). */
    [[nodiscard]] auto batch_rate() const -> double;

private:
    auto make_service(std::uint32_t number) -> state::service_config;
    auto add(state::job_spec& spec, truth const& it) -> void;

    run_options const& options_;
    std::mt19937_64& random_;
    interference_world& world_;
    double batch_rate_ = 0;
    std::uint32_t jobs_ = 0;
};

} // namespace godwitcleat::experiments

#endif
