// Purpose: names one task of a job, as in a target's orders.
#include "tests/soak/task_name.hpp"

#include <array>
#include <charconv>
#include <stdexcept>
#include <string_view>

namespace fescuevane::soak
{

task_name parse_task_name(std::string const& text)
{
    std::array<int, 3> numbers{};
    std::string_view   rest(text);
    for (std::size_t part = numbers.size(); part > 0; --part)
    {
        std::size_t const dot = rest.rfind('.');
        if (dot == std::string_view::npos)
        {
            throw std::invalid_argument("task: expected ID.K.STEP.INDEX");
        }
        std::string_view const digits = rest.substr(dot + 1);
        char const* const      end = digits.data() + digits.size();
        if (digits.empty() ||
            std::from_chars(digits.data(), end, numbers.at(part - 1)).ptr !=
                end)
        {
            throw std::invalid_argument("task: expected a number");
        }
        rest = rest.substr(0, dot);
    }
    return {std::string(rest), numbers[0], numbers[1], numbers[2]};
}

std::string format_task_name(task_name const& name)
{
    return name.job_ + "." + std::to_string(name.occurrence_) + "." +
           std::to_string(name.step_) + "." + std::to_string(name.index_);
}

} // namespace fescuevane::soak
