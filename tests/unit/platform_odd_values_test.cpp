// Purpose: tests of messages with values of the wrong type, size or depth.
#include "io/http_response.hpp"
#include "platform/codec.hpp"
#include "platform/platform_error.hpp"

#include <doctest/doctest.h>
#include <cstddef>
#include <string>

namespace fescuevane::platform
{
namespace
{

// As large as a caller's body may be.
constexpr std::size_t body_bytes = 250'000;

staged_job const header{.id_ = job_id("5c0e7a21d94b36f8"),
                        .organisation_ = organisation_id("cafe"),
                        .queue_ = queue_id("orders"),
                        .service_ = service_id("desk")};

std::string nest(std::string const& open, std::size_t bytes)
{
    std::string text;
    while (text.size() < bytes)
    {
        text += open;
    }
    return text;
}

// Guards against a caller whose body ends the process by recursion.
TEST_CASE("job bodies, nested deeply, refused")
{
    std::string const deep =
        nest("[", body_bytes / 2) + nest("]", body_bytes / 2);
    for (std::string const& body :
         {nest("[", body_bytes), nest(R"({"steps":)", body_bytes), deep,
          R"({"steps":)" + deep + "}", R"({"steps":[{"count":)" + deep + "}]}",
          R"({"taskSpec":)" + deep + R"(,"steps":[{"count":1}]})"})
    {
        CAPTURE(body.substr(0, 40));
        CHECK_THROWS_AS(decode_job(body, header), platform_error);
    }
    CHECK_NOTHROW(decode_job(
        R"({"other":)" + deep + R"(,"steps":[{"count":1}]})", header));
}

// Guards against sums of tasks and times that overflow.
TEST_CASE("job bodies, numbers out of bounds, refused")
{
    for (char const* const step :
         {R"("cpu":9007199254740991)", R"("memMb":9007199254740991)",
          R"("gpu":9007199254740991)", R"("estimateMs":9007199254740991)",
          R"("targetMs":9007199254740991)", R"("cpu":1e999)", R"("cpu":1e30)",
          R"("antiAffinity":-1)", R"("maxUnavailable":4294967297)",
          R"("after":[-1])", R"("after":[4294967296])", R"("after":[1e30])",
          "\"image\":\"\xff\""})
    {
        std::string const body =
            std::string(R"({"steps":[{"count":10000,)") + step + "}]}";
        CAPTURE(body);
        CHECK_THROWS_AS(decode_job(body, header), platform_error);
    }
    for (char const* const field :
         {R"("startAtMs":9007199254740991)", R"("intervalMs":9007199254740991)",
          R"("startAtMs":-1)", R"("intervalMs":-1)",
          R"("repeatCount":4294967297)"})
    {
        std::string const body =
            std::string(R"({"steps":[{"count":1}],)") + field + "}";
        CAPTURE(body);
        CHECK_THROWS_AS(decode_job(body, header), platform_error);
    }
}

// Guards against rows of operators that leave a configuration which nothing
// replaces, or limits that mean something else.
TEST_CASE("configuration, values out of range, refused")
{
    std::string const route =
        R"({"version":3,"routes":[{"name":"r","host":"h","prefix":"/p/",)";
    CHECK_NOTHROW(decode_config(route + R"("priority":2}]})"));
    for (std::string const& text :
         {std::string("[]"), std::string("{}"), nest("[", body_bytes),
          std::string(R"({"version":-1})"), std::string(R"({"version":1e30})"),
          std::string(R"({"version":"3"})"),
          std::string(R"({"version":3,"limits":{"maxBodyBytes":-1}})"),
          std::string(R"({"version":3,"limits":{"maxBodyBytes":1e15}})"),
          std::string(R"({"version":3,"routes":[7]})"),
          std::string(R"({"version":3,"tenants":[7]})"),
          route + R"("priority":4294967296}]})",
          route + R"("maxAttempts":4294967296}]})", route + R"("sloMs":-1}]})",
          route + R"("slackFactor":-1}]})",
          route + R"("recommendation":{"decisionMs":1e300}}]})",
          route + R"("recommendation":{"decisionMs":-1}}]})",
          route + R"("recommendation":{"perItemMs":1e300}}]})",
          route + R"("recommendation":{"validityMs":-1}}]})"})
    {
        CAPTURE(text.substr(0, 100));
        CHECK_THROWS_AS(decode_config(text), platform_error);
    }
}

// Guards against reports whose numbers wrap: the highest number of an end
// would make all later ends count as seen, task 0 would be taken for another.
TEST_CASE("reports of a target, numbers out of range, no report")
{
    cell::hold_target const asked{.request_ = 3, .target_ = target_id("t-1")};
    std::string const       deep = nest("[", body_bytes);
    for (std::string const& body :
         {std::string(R"({"running":[["a.0.1.17",-1]]})"),
          std::string(R"({"running":[["a.0.1.17",4294967297]]})"),
          std::string(R"({"running":[["a.0.1.17",1e30]]})"),
          std::string(R"({"running":[["a.0.1.99999999999",1]]})"),
          std::string(R"({"running":[["a.0.1.-1",1]]})"),
          std::string(R"({"running":[[".0.1.1",1]]})"),
          std::string(R"({"terminated":[[-1,"a.0.0.1",1,"done",""]]})"),
          std::string(R"({"terminated":[[1e30,"a.0.0.1",1,"done",""]]})"),
          std::string(R"({"clockMs":-1})"), std::string(R"({"clockMs":1e30})"),
          std::string(R"({"clockMs":9007199254740991})"),
          std::string(R"({"clockMs":"5"})"), std::string(R"({"born":-7})"),
          std::string("{\"running\":[[\"a\xff.0.1.1\",1]]}"), deep,
          R"({"running":)" + deep})
    {
        CAPTURE(body.substr(0, 80));
        CHECK(decode_hold(asked, {200, body, ""}).outcome_ ==
              cell::target_outcome::unknown);
    }
    auto const reply = decode_hold(
        asked, {200, R"({"running":[["a.0.1.17",2,"c",4294967296,-9]]})", ""});
    REQUIRE(reply.outcome_ == cell::target_outcome::done);
    CHECK(reply.runs_[0].percent_ == 100);
    CHECK(reply.runs_[0].load_ == 0);
}

TEST_CASE(
    "orders and questions, answers nested deeply, no reason and no answer")
{
    std::string const deep = nest("[", body_bytes);
    CHECK(decode_order(1, {409, deep, ""}).outcome_ ==
          cell::target_outcome::refused);
    CHECK(decode_order(1, {409, R"({"reason":)" + deep, ""}).outcome_ ==
          cell::target_outcome::refused);
    CHECK(decode_order(1, {409, R"({"reason":7})", ""}).outcome_ ==
          cell::target_outcome::refused);
    for (std::string const& body :
         {deep, R"({"good":)" + deep, std::string(R"({"good":7})"),
          std::string(R"({"good":[["t-1"]]})"), std::string(R"({"good":[7]})"),
          std::string(R"({"good":[["t-1",7]]})"),
          std::string(R"({"good":[["","x"]]})")})
    {
        CAPTURE(body.substr(0, 80));
        CHECK_FALSE(decode_advice(1, {200, body, ""}).answered_);
    }
}

// Guards against one odd row that keeps all others from being read: the list
// would be asked for again and again, and nobody would follow it.
TEST_CASE("answers of the store, rows with odd fields, the others read")
{
    cell::store_reply const reply = decode_store(
        1, {200,
            R"({"ver":4,"rows":[7,{"value":"eyJ9"},{"key":7},)"
            R"({"key":"a","ver":2,"value":7},{"key":"b","ver":-3},)"
            R"({"key":"c","ver":1e30},{"key":"d","ver":3,"value":"%%\u0000!"},)"
            R"({"key":"e","ver":3,"value":"e30="}]})",
            ""});
    REQUIRE(reply.outcome_ == cell::store_outcome::done);
    REQUIRE(reply.rows_.size() == 3);
    CHECK(reply.error_.starts_with("5 rows left out: "));
    CHECK(reply.rows_[0].key_.key_ == "a");
    CHECK(reply.rows_[0].revision_ == 2);
    CHECK(reply.rows_[0].value_.empty());
    CHECK(reply.rows_[1].key_.key_ == "d");
    CHECK(reply.rows_[2].value_ == "{}");
}

} // namespace
} // namespace fescuevane::platform
