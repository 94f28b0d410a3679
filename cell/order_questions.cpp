// Purpose: decides which host sends a request to the policy service, and which
// requests a host sends next.
#include "cell/order_questions.hpp"

#include <algorithm>

namespace fescuevane::cell
{
namespace
{

// The second one reaches the service before the reply to the first one is back,
// so the service never waits for the network.
constexpr std::ptrdiff_t max_short_in_flight = 2;

} // namespace

asker const& choose_asker(std::span<asker const> askers)
{
    return *std::min_element(askers.begin(), askers.end(),
                             [](asker const& a, asker const& b)
                             {
                                 return a.free_at_.after(a.penalty_micros_) <
                                        b.free_at_.after(b.penalty_micros_);
                             });
}

std::vector<std::size_t>
choose_sendable(std::span<pooled_question const> questions)
{
    auto       in_flight = std::count_if(questions.begin(), questions.end(),
                                         [](pooled_question const& question)
                                         {
                                       return question.sent_;
                                   });
    bool const long_in_flight =
        std::any_of(questions.begin(), questions.end(),
                    [](pooled_question const& question)
                    {
                        return question.sent_ && question.is_long_;
                    });
    std::vector<std::size_t> chosen;
    if (long_in_flight)
    {
        return chosen;
    }
    auto const overdue = std::find_if(questions.begin(), questions.end(),
                                      [](pooled_question const& question)
                                      {
                                          return question.overdue_;
                                      });
    if (overdue != questions.end())
    {
        if (in_flight == 0)
        {
            chosen.push_back(
                static_cast<std::size_t>(overdue - questions.begin()));
        }
        return chosen;
    }
    for (std::size_t at = 0; at < questions.size(); ++at)
    {
        if (!questions[at].is_long_ && !questions[at].sent_ &&
            in_flight < max_short_in_flight)
        {
            chosen.push_back(at);
            ++in_flight;
        }
    }
    if (in_flight > 0)
    {
        return chosen;
    }
    // All unsent ones are long here.
    for (std::size_t at = 0; at < questions.size() && chosen.empty(); ++at)
    {
        if (!questions[at].sent_)
        {
            chosen.push_back(at);
        }
    }
    return chosen;
}

} // namespace fescuevane::cell
