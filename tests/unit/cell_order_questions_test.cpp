// Purpose: tests of the order of requests to the policy service, under a burst
// of short requests beside long ones.
#include "cell/order_questions.hpp"

#include <doctest/doctest.h>
#include <utility>

namespace fescuevane::cell
{
namespace
{

struct order_questions_fixture
{
    pooled_question const          short_{false, false};
    pooled_question const          short_sent_{false, true};
    pooled_question const          long_{true, false};
    pooled_question const          long_sent_{true, true};
    pooled_question const          long_overdue_{true, false, true};
    instant const                  now_{10 * micros_per_second};
    std::vector<asker>             askers_;
    std::vector<std::size_t> const none_{};

    std::vector<std::size_t>
    choose(std::vector<pooled_question> const& questions) const
    {
        return choose_sendable(questions);
    }
};

// Guards against urgent work that waits behind long requests of its host.
TEST_CASE_FIXTURE(order_questions_fixture,
                  "short requests after long ones, nothing in flight, two "
                  "short ones are sent")
{
    CHECK(choose({long_, long_, short_, short_, short_}) ==
          std::vector<std::size_t>{2, 3});
}

// Guards against requests that queue at the service, where their order can't
// change any more.
TEST_CASE_FIXTURE(order_questions_fixture,
                  "long request in flight, others wait, none is sent")
{
    CHECK(choose({long_sent_, short_, long_}) == none_);
}

TEST_CASE_FIXTURE(order_questions_fixture,
                  "short request in flight, long one waits, it isn't sent")
{
    CHECK(choose({short_sent_, long_}) == none_);
    CHECK(choose({short_sent_, short_sent_, short_}) == none_);
}

TEST_CASE_FIXTURE(order_questions_fixture,
                  "only long requests, nothing in flight, the first is sent")
{
    CHECK(choose({long_, long_}) == std::vector<std::size_t>{0});
}

// Guards against a long request that a stream of short ones holds back without
// end.
TEST_CASE_FIXTURE(order_questions_fixture,
                  "long request overdue, short ones wait, it is sent next and "
                  "none before")
{
    CHECK(choose({short_sent_, short_, long_overdue_}) == none_);
    CHECK(choose({short_, long_, long_overdue_}) ==
          std::vector<std::size_t>{2});
}

// Guards against a service that idles during the reply to a short request.
TEST_CASE_FIXTURE(order_questions_fixture,
                  "short request in flight, another waits, it is sent")
{
    CHECK(choose({short_sent_, short_}) == std::vector<std::size_t>{1});
}

// Guards against bursts that only the owners' turns at the service serve.
TEST_CASE_FIXTURE(order_questions_fixture,
                  "owner busy for longer than the penalty, burst, other host "
                  "is chosen")
{
    askers_.push_back({host_id("owner"), now_.after(60'000), 0});
    askers_.push_back({host_id("idle"), now_, 40'000});
    CHECK(choose_asker(askers_).host_ == host_id("idle"));
}

TEST_CASE_FIXTURE(order_questions_fixture,
                  "owner free, single request, owner is chosen")
{
    askers_.push_back({host_id("owner"), now_, 0});
    askers_.push_back({host_id("idle"), now_, 0});
    CHECK(choose_asker(askers_).host_ == host_id("owner"));
}

} // namespace
} // namespace fescuevane::cell
