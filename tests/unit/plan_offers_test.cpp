// Purpose: tests of replies to offers of other shards' tasks.
#include "core/staged_job.hpp"
#include "plan_fixture.hpp"

#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <vector>

namespace fescuevane::plan
{
namespace
{

constexpr advice_policy slow_advice{400, 6, 2500};

// Three targets with room for four tasks each; a question names two of them.
struct offers_plan_fixture : plan_fixture
{
    static constexpr std::int64_t wait_micros = 2'500'000; // of an offer

    offers_plan_fixture() : plan_fixture(make_settings())
    {
        set_queue(slow_advice);
        for (char const* const name : {"t-1", "t-2", "t-3"})
        {
            set_target(name);
        }
        tick();
    }

    static settings make_settings()
    {
        settings values;
        values.advice_targets_ = 2;
        return values;
    }

    static std::shared_ptr<staged_job const> make_offer(std::string const& job)
    {
        constexpr std::uint32_t    width = 12;
        std::vector<std::uint32_t> indices;
        for (std::uint32_t index = 0; index < width; ++index)
        {
            indices.push_back(index);
        }
        return std::make_shared<staged_job const>(staged_job{
            .id_ = job_id(job + "~offer-0-0"),
            .organisation_ = organisation_id("cafe"),
            .queue_ = queue_id("orders"),
            .service_ = service_id("desk"),
            .payload_ = "work",
            .steps_ = {{.count_ = width,
                        .demand_ = {1000, 512, 0},
                        .estimate_ms_ = 1000,
                        .gang_ = true}},
            .alias_ =
                task_alias{.stage_ = {job_id(job), 0, 0},
                           .indices_ = indices,
                           .failures_ = std::vector<std::uint32_t>(width),
                           .checkpoints_ = std::vector<std::string>(width)}});
    }

    void offer(std::string const& job)
    {
        post(job_offered{.job_ = make_offer(job),
                         .accepted_at_ = now_,
                         .answer_by_ = now_.after(wait_micros)});
    }

    // Allows all targets of a question.
    void answer(advice_request const& question)
    {
        std::vector<target_ticket> good;
        for (target_id const& target : question.targets_)
        {
            good.push_back({target, "ticket"});
        }
        post(advice_given{.stage_ = question.stage_,
                          .asked_ = question.targets_,
                          .good_ = std::move(good),
                          .valid_until_ = now_.after(wait_micros)});
    }

    std::vector<advice_request> tick_for_questions()
    {
        tick();
        return list<advice_request>();
    }

    std::vector<answer_offer> tick_for_answers()
    {
        tick();
        return list<answer_offer>();
    }
};

// Guards against a shard that hasn't heard of the policy service in time and
// looks as if it had no room.
TEST_CASE_FIXTURE(offers_plan_fixture,
                  "offer, question unanswered when due, all targets unknown")
{
    offer("aa01");
    REQUIRE(tick_for_questions().size() == 1);
    advance(wait_micros);
    auto const answers = tick_for_answers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].fit_later_ == 0);
    CHECK(answers[0].unknown_ == 3);
}

// Guards against answers about some targets that count as answers about all.
TEST_CASE_FIXTURE(offers_plan_fixture,
                  "offer, one of two questions answered, rest unknown")
{
    offer("aa01");
    auto const questions = tick_for_questions();
    REQUIRE(questions.size() == 1);
    answer(questions[0]);
    tick();
    advance(wait_micros);
    auto const answers = tick_for_answers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].fit_later_ == 8);
    CHECK(answers[0].unknown_ == 1);
}

// Guards against targets that count as unknown once they are known.
TEST_CASE_FIXTURE(offers_plan_fixture,
                  "offer, all questions answered, no target unknown")
{
    offer("aa01");
    auto const first = tick_for_questions();
    REQUIRE(first.size() == 1);
    answer(first[0]);
    auto const second = tick_for_questions();
    REQUIRE(second.size() == 1);
    answer(second[0]);
    auto const answers = tick_for_answers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].fit_now_ == 12);
    CHECK(answers[0].unknown_ == 0);
}

// Guards against a shard with too many offers that looks as if it had no room.
TEST_CASE_FIXTURE(offers_plan_fixture,
                  "offer beside sixteen, turned away, all targets unknown")
{
    constexpr int stored = 16;
    for (int job = 0; job < stored; ++job)
    {
        offer("bb" + std::to_string(100 + job));
    }
    REQUIRE(tick_for_answers().empty());
    offer("aa01");
    auto const answers = tick_for_answers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].id_ == job_id("aa01~offer-0-0"));
    CHECK(answers[0].unknown_ == 3);
}

// Guards against a shard that forgets the question about an offer when it is
// asked again, and asks twice.
TEST_CASE_FIXTURE(offers_plan_fixture,
                  "offer made again, question in flight, its answer counts")
{
    offer("aa01");
    auto const questions = tick_for_questions();
    REQUIRE(questions.size() == 1);
    advance(wait_micros);
    REQUIRE(tick_for_answers().size() == 1);
    offer("aa01");
    CHECK(tick_for_questions().empty());
    answer(questions[0]);
    auto const second = tick_for_questions();
    REQUIRE(second.size() == 1);
    CHECK(second[0].targets_ == std::vector{target_id("t-3")});
    advance(wait_micros);
    auto const answers = tick_for_answers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].fit_later_ == 8);
    CHECK(answers[0].unknown_ == 1);
}

} // namespace
} // namespace fescuevane::plan
