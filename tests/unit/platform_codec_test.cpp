// Purpose: tests of the translation of the platform's messages.
#include "io/http_response.hpp"
#include "platform/codec.hpp"
#include "platform/platform_error.hpp"
#include "platform/settings.hpp"
#include "platform/settings_file.hpp"

#include <doctest/doctest.h>

namespace fescuevane::platform
{
namespace
{

staged_job const header{.id_ = job_id("5c0e7a21d94b36f8"),
                        .organisation_ = organisation_id("cafe"),
                        .queue_ = queue_id("orders"),
                        .service_ = service_id("desk")};

TEST_CASE("job body, all fields, decoded")
{
    auto const job = decode_job(
        R"({"taskSpec":"work","steps":[{"count":4,"cpu":500,"memMb":256,)"
        R"("estimateMs":900,"affinity":"r1-3"},{"count":2,"cpu":2000,)"
        R"("after":[0],"checkpointing":true,"antiAffinity":1}]})",
        header);
    REQUIRE(job->steps_.size() == 2);
    CHECK(job->steps_[0].demand_ == resources(500, 256, 0));
    CHECK(job->steps_[0].near_rack_ == rack_id("r1-3"));
    CHECK(job->steps_[1].after_ == std::vector<std::uint32_t>{0});
    CHECK(job->steps_[1].spread_limit_ == 1);
}

// Guards against a malformed body that stops the process or is half accepted.
TEST_CASE("job bodies, malformed, refused")
{
    for (char const* const body :
         {"", "{", "[]", "7", "{}", R"({"steps":[]})", R"({"steps":[7]})",
          R"({"steps":[{"count":0}]})", R"({"steps":[{"count":-1}]})",
          R"({"steps":[{"count":1e30}]})", R"({"steps":[{"count":"4"}]})",
          R"({"steps":[{"count":1,"cpu":-5}]})",
          R"({"steps":[{"count":1,"after":[0]}]})",
          R"({"steps":[{"count":1,"gang":1}]})",
          R"({"steps":[{"count":1}],"taskSpec":5})",
          R"({"steps":[{"count":1}],"repeatCount":-2})"})
    {
        CAPTURE(body);
        CHECK_THROWS_AS(decode_job(body, header), platform_error);
    }
}

// Guards against answers of the store that are read as more than they say.
TEST_CASE("answers of the store, by status, told apart")
{
    struct answer_case
    {
        unsigned            status_;
        char const*         body_;
        cell::store_outcome outcome_;
    };
    for (answer_case const& entry :
         {answer_case{200, R"({"ver":4})", cell::store_outcome::done},
          answer_case{412, R"({"rows":[]})", cell::store_outcome::conflict},
          answer_case{503, "", cell::store_outcome::not_done},
          answer_case{429, "", cell::store_outcome::not_done},
          answer_case{0, "", cell::store_outcome::unknown},
          answer_case{500, "", cell::store_outcome::unknown},
          answer_case{200, "{", cell::store_outcome::unknown},
          answer_case{200, "[]", cell::store_outcome::unknown}})
    {
        CAPTURE(entry.status_);
        CHECK(decode_store(1, {entry.status_, entry.body_, "error"}).outcome_ ==
              entry.outcome_);
    }
}

// Guards against reports that are read as an empty target: its runs would be
// started again.
TEST_CASE("reports of a target, malformed, no report")
{
    cell::hold_target const asked{.request_ = 3, .target_ = target_id("t-1")};
    for (char const* const body :
         {"", "[]", R"({"running":7})", R"({"running":[[]]})",
          R"({"running":[["a.b",1]]})", R"({"running":[["a.0.x.1",1]]})",
          R"({"terminated":[[1,"a.0.0.1",1,"vanished",""]]})"})
    {
        CAPTURE(body);
        CHECK(decode_hold(asked, {200, body, ""}).outcome_ ==
              cell::target_outcome::unknown);
    }
    auto const reply = decode_hold(
        asked, {200,
                R"({"clockMs":5,"running":[["a.0.1.17",2,"c",41,9]],)"
                R"("terminated":[[58,"a.0.1.9",1,"done",""]]})",
                ""});
    REQUIRE(reply.outcome_ == cell::target_outcome::done);
    CHECK(reply.runs_[0].run_ == run_key{{job_id("a"), 0, 1}, 17, 2});
    CHECK(reply.runs_[0].percent_ == 41);
    CHECK(reply.ends_[0].number_ == 58);
}

TEST_CASE("orders of a target, by status and reason, told apart")
{
    CHECK(decode_order(1, {409, R"({"reason":"fence"})", ""}).outcome_ ==
          cell::target_outcome::superseded);
    CHECK(decode_order(1, {421, "", ""}).outcome_ ==
          cell::target_outcome::replaced);
    CHECK(decode_order(1, {409, R"({"reason":"room"})", ""}).reason_ ==
          plan::refusal::room);
    CHECK(decode_order(1, {503, "", ""}).reason_ == plan::refusal::unhealthy);
    CHECK(decode_order(1, {0, "", "late"}).outcome_ ==
          cell::target_outcome::unknown);
}

// Guards against a restart that goes unnoticed: the clock of the reply shows
// it.
TEST_CASE("orders of a target, clock read where the reply tells it")
{
    CHECK(decode_order(1, {200, R"({"clockMs":800})", ""}).clock_ms_ == 800);
    CHECK(decode_order(1, {409, R"({"clockMs":800,"reason":"late"})", ""})
              .clock_ms_ == 800);
    for (char const* const body : {"", "{}", "[7]", R"({"clockMs":"800"})",
                                   R"({"clockMs":-1})", R"({"clockMs":1e30})"})
    {
        CAPTURE(body);
        CHECK(decode_order(1, {200, body, ""}).clock_ms_ == 0);
        CHECK(decode_order(1, {200, body, ""}).outcome_ ==
              cell::target_outcome::done);
    }
}

// Guards against a job whose open occurrence exceeds the memory of a host.
TEST_CASE("job, more tasks than a host can hold open, refused with the limit")
{
    staged_job const header{.id_ = job_id("aa01")};
    auto const       write = [](std::size_t steps)
    {
        std::string body = R"({"steps":[)";
        for (std::size_t step = 0; step < steps; ++step)
        {
            body += std::string(step == 0 ? "" : ",") + R"({"count":10000})";
        }
        return body + "]}";
    };
    CHECK_NOTHROW(decode_job(write(5), header));
    CHECK_THROWS_WITH_AS(decode_job(write(6), header),
                         "steps: at most 50000 tasks in all", platform_error);
}

TEST_CASE("settings, a key is missing or wrong, refused with its name")
{
    std::string const good =
        "host: a-1\naddress: 10.0.0.1\nfailure_domain: a\n"
        "failure_domains: [a, b]\nfront: '10.0.0.1:80'\nready: '10.0.0.1:81'\n"
        "first_port: 7000\ncpu_share: 0.25\nstore: '10.0.0.9:80'\n"
        "max_lease_ms: 6000\nearly_start_ms: 250\nremote_rack_factor: 3\n"
        "stop_grace_s: 6\n";
    CHECK(parse_settings(good, 5).cell_.lease_ms_ == 4000);
    CHECK(parse_settings(good, 5).cell_.max_lease_ms_ == 6000);
    CHECK(parse_settings(good + "policy_service: '10.0.0.8:80'\n", 5)
              .policy_service_ == "10.0.0.8:80");
    CHECK(parse_settings(good, 5).cell_.row_bytes_ == 65'536);
    CHECK(parse_settings(good + "row_bytes: 131072\n", 5).cell_.row_bytes_ ==
          131'072);
    CHECK(parse_settings(good + "row_bytes:\n", 5).cell_.row_bytes_ == 65'536);
    CHECK(!parse_settings(good, 5).cell_.advice_pool_);
    CHECK(parse_settings(good + "advice_pool: on\n", 5).cell_.advice_pool_);
    CHECK(!parse_settings(good + "advice_pool: off\n", 5).cell_.advice_pool_);
    CHECK_THROWS_AS(parse_settings(good + "advice_pool: maybe\n", 5),
                    platform_error);
    for (char const* const bytes : {"0", "-1", "lots", "1e12"})
    {
        CHECK_THROWS_AS(parse_settings(good + "row_bytes: " + bytes, 5),
                        platform_error);
    }
    CHECK(parse_settings(good, 5).cell_.plan_.run_time_model_ ==
          plan::run_time_model::local);
    CHECK(parse_settings(good + "run_time_model: shared\n", 5)
              .cell_.plan_.run_time_model_ == plan::run_time_model::shared);
    CHECK_THROWS_AS(parse_settings(good + "run_time_model: best\n", 5),
                    platform_error);
    for (char const* const bad :
         {"[1]", "{", "host: a-1", "store: nowhere", "first_port: -1"})
    {
        CAPTURE(bad);
        CHECK_THROWS_AS(parse_settings(bad, 5), platform_error);
    }
    CHECK(parse_settings(good, 5).cell_.plan_.admission_ ==
          plan::admission_level::off);
    CHECK(parse_settings(good + "admission: on\n", 5).cell_.plan_.admission_ ==
          plan::admission_level::valuable);
    CHECK(parse_settings(good + "admission: on_time\n", 5)
              .cell_.plan_.admission_ == plan::admission_level::on_time);
    CHECK_THROWS_AS(parse_settings(good + "admission: maybe\n", 5),
                    platform_error);
    std::string alien = good;
    alien.replace(alien.find("[a, b]"), 6, "[b]");
    CHECK_THROWS_AS(parse_settings(alien, 5), platform_error);
}

} // namespace
} // namespace fescuevane::platform
