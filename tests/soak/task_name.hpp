// Purpose: names one task of a job, as in a target's orders.
#ifndef FESCUEVANE_TESTS_SOAK_TASK_NAME_HPP
#define FESCUEVANE_TESTS_SOAK_TASK_NAME_HPP

#include <compare>
#include <string>

namespace fescuevane::soak
{

struct task_name
{
    std::string const job_;
    int const         occurrence_ = 0;
    int const         step_ = 0;
    int const         index_ = 0;

    friend auto operator<=>(task_name const&, task_name const&) = default;
};

// Throws std::invalid_argument when the text isn't ID.K.STEP.INDEX.
task_name   parse_task_name(std::string const& text);
std::string format_task_name(task_name const& name);

} // namespace fescuevane::soak

#endif
