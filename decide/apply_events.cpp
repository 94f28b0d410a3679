// Purpose: the system that applies posted events to the tables.
#include "decide/apply_event.hpp"
#include "decide/scheduler.hpp"

#include <utility>

namespace fescuevane::decide
{

void apply_events(scheduler& context)
{
    std::vector<event> const inbox = std::exchange(context.inbox_, {});
    for (event const& input : inbox)
    {
        std::visit(
            [&context](auto const& value)
            {
                apply_event(context, value);
            },
            input);
    }
}

} // namespace fescuevane::decide
