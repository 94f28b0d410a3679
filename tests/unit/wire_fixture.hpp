// Purpose: fixture of tests of the codecs: generators of random values.
#ifndef FESCUEVANE_TESTS_UNIT_WIRE_FIXTURE_HPP
#define FESCUEVANE_TESTS_UNIT_WIRE_FIXTURE_HPP

#include "core/core.hpp"
#include "wire/wire.hpp"

#include <rapidcheck.h>

#include <memory>
#include <string>
#include <vector>

namespace fescuevane::wire
{

struct wire_fixture
{
    instant const   now_ = instant(5'000'000);
    target_id const target_ = target_id("worker-7");

    static std::string make_text(char const* alphabet)
    {
        return *rc::gen::nonEmpty(rc::gen::container<std::string>(
            rc::gen::elementOf(std::string(alphabet))));
    }

    static std::string  make_id() { return make_text("abz019._~:-"); }
    static std::string  make_bytes() { return *rc::gen::string<std::string>(); }
    static shared_bytes make_body()
    {
        return std::make_shared<std::string const>(make_bytes());
    }
    static std::int64_t make_amount(std::int64_t high)
    {
        return *rc::gen::resize(100, rc::gen::inRange<std::int64_t>(0, high));
    }

    static resources make_resources()
    {
        return {make_amount(max_amount), make_amount(max_amount),
                make_amount(max_amount)};
    }

    static job_key make_key()
    {
        return {team_id(make_id()), job_id(make_id())};
    }

    static task_key make_task()
    {
        return {make_key(), *rc::gen::inRange<std::uint32_t>(0, 1000),
                *rc::gen::inRange<std::uint32_t>(1, 1000)};
    }

    instant make_deadline() const
    {
        return *rc::gen::arbitrary<bool>()
                   ? instant::never()
                   : now_.after(1 + make_amount(max_span_micros - 1));
    }

    job_spec make_spec() const
    {
        return {.key_ = make_key(),
                .service_ = service_id(make_id()),
                .kind_ = static_cast<work_kind>(*rc::gen::inRange(0, 4)),
                .task_count_ = *rc::gen::inRange<std::uint32_t>(1, 1000),
                .demand_ = make_resources(),
                .idempotent_ = *rc::gen::arbitrary<bool>(),
                .start_deadline_ = make_deadline(),
                .declared_run_micros_ = make_amount(max_span_micros),
                .payload_ = make_body(),
                .traceparent_ = make_id()};
    }

    static outcome make_outcome()
    {
        return static_cast<outcome>(*rc::gen::inRange(0, 3));
    }
};

} // namespace fescuevane::wire

#endif
