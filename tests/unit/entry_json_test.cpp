// Purpose: tests of the codecs of the HTTP API.
#include "core/job_result.hpp"
#include "entry/http_error.hpp"
#include "entry/http_json.hpp"
#include "entry/http_reply.hpp"
#include "entry/http_submission.hpp"

#include <doctest/doctest.h>
#include <glib.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace fescuevane::entry
{
namespace
{

struct json_fixture
{
    instant const now_ = instant(1'000'000);
    team_id const team_ = team_id("cafes");

    http_submission parse(std::string const& text) const
    {
        return parse_job(text, team_, "", now_);
    }

    // Message of the error that a body gives; empty: none.
    std::string find_error(std::string const& text) const
    {
        try
        {
            parse(text);
        }
        catch (http_error const& error)
        {
            CHECK(error.status() == 400);
            return error.what();
        }
        return "";
    }
};

// Guards against a field that is dropped or gets the wrong unit.
TEST_CASE_FIXTURE(json_fixture, "job, all fields, are read in their units")
{
    http_submission const read = parse(
        R"({"id":"o-1","service":"s","kind":"gang","tasks":4,"cpu_millis":500,
            "memory_mib":256,"accelerators":2,"idempotent":false,
            "start_within_ms":2000,"run_ms":300,"payload":"p","wait_ms":5})");
    CHECK(read.spec_.key_ == job_key{team_, job_id("o-1")});
    CHECK(read.spec_.kind_ == work_kind::gang);
    CHECK(read.spec_.task_count_ == 4);
    CHECK(read.spec_.demand_ == resources(500, 256, 2));
    CHECK_FALSE(read.spec_.idempotent_);
    CHECK(read.spec_.start_deadline_ == now_.after(2'000'000));
    CHECK(read.spec_.declared_run_micros_ == 300'000);
    CHECK(*read.spec_.payload_ == "p");
    CHECK(read.wait_deadline_ == now_.after(5'000));
}

// Guards against a call that waits by a default of another kind of work.
TEST_CASE_FIXTURE(json_fixture, "job, only a service, has the defaults")
{
    http_submission const request = parse(R"({"service":"s"})");
    CHECK(request.wait_deadline_ == now_.after(30'000'000));
    CHECK(request.spec_.start_deadline_ == instant::never());
    CHECK(request.spec_.key_.job_.empty());
    http_submission const batch = parse(R"({"service":"s","kind":"batch"})");
    CHECK(batch.wait_deadline_ == now_);
}

// Guards against a faulty job that is accepted, or an error without its place.
TEST_CASE_FIXTURE(json_fixture, "job, faulty body, names the place")
{
    std::vector<std::pair<std::string, std::string>> const cases = {
        {"", "parse error at line 1"},
        {"[]", "body: expected an object"},
        {"{}", "service: is required"},
        {"{\n\"service\":\"s\",}", "line 2"},
        {"{\"service\":\"\xff\"}", "ill-formed UTF-8"},
        {R"({"service":5})", "service: expected a string"},
        {R"({"service":"s","colour":1})", "colour: unknown field"},
        {R"({"service":"s","kind":"song"})", "kind: expected request"},
        {R"({"service":"s","tasks":2})", "tasks: expected a whole number"},
        {R"({"service":"s","kind":"gang","tasks":0})", "tasks: "},
        {R"({"service":"s","cpu_millis":-1})", "cpu_millis: "},
        {R"({"service":"s","cpu_millis":1.5})", "cpu_millis: "},
        {R"({"service":"s","memory_mib":18446744073709551615})", "memory_mib"},
        {R"({"service":"s","accelerators":1e30})", "accelerators: "},
        {R"({"service":"s","idempotent":1})", "idempotent: expected true"},
        {R"({"service":"s","start_within_ms":-5})", "start_within_ms: "},
        {R"({"service":"s","wait_ms":600001})", "wait_ms: "},
        {R"({"service":"s","id":"a/b"})", "id: expected 1 to 200"},
        {R"({"service":"s","id":"a b"})", "id: expected 1 to 200"},
    };
    for (auto const& each : cases)
    {
        CAPTURE(each.first);
        std::string const error = find_error(each.first);
        CHECK_MESSAGE(error.find(each.second) != std::string::npos, error);
    }
}

// Guards against an exception of another type, which would be answered as a
// fault of the server.
TEST_CASE_FIXTURE(json_fixture, "parsers, random bytes, give a http_error")
{
    CHECK(rc::check(
        [this](std::string const& text)
        {
            RC_ASSERT(!find_error(text).empty());
            RC_ASSERT(!find_error(R"({"service":"s",)" + text + "}").empty() ||
                      text.empty());
            RC_ASSERT_THROWS_AS(parse_ids(text), http_error);
        }));
}

// Guards against payloads and ids that change on the way.
TEST_CASE_FIXTURE(json_fixture, "job, random numbers and ids, are kept")
{
    CHECK(rc::check(
        [this](std::string const& name)
        {
            auto const  cpu = *rc::gen::inRange<std::int64_t>(0, 100'000'000);
            std::string id = "i";
            for (unsigned char const c : name)
            {
                id += static_cast<char>('a' + c % 26);
            }
            nlohmann::json const body = {
                {"service", "s"}, {"id", id}, {"cpu_millis", cpu}};
            job_spec const spec = parse(body.dump()).spec_;
            RC_ASSERT(spec.key_.job_.str() == id);
            RC_ASSERT(spec.demand_.cpu_millis() == cpu);
            nlohmann::json const ids = {{"ids", {id, id + "2"}}};
            RC_ASSERT(parse_ids(ids.dump()).at(1).str() == id + "2");
        }));
}

// Guards against a bulk cancellation of nothing or of something unreadable.
TEST_CASE_FIXTURE(json_fixture, "ids, faulty list, is an error")
{
    for (std::string const text :
         {"{}", R"({"ids":[]})", R"({"ids":"a"})", R"({"ids":[1]})",
          R"({"ids":["a"],"x":1})", R"({"ids":["a/b"]})"})
    {
        CAPTURE(text);
        CHECK_THROWS_AS(parse_ids(text), http_error);
    }
}

// Guards against bytes of an answer that are lost because JSON has no form for
// them.
TEST_CASE_FIXTURE(json_fixture, "answer, random bytes, are all written")
{
    CHECK(rc::check(
        [](std::string const& body)
        {
            http_reply const reply =
                write_job({.state_ = job_state::answered,
                           .body_ = std::make_shared<std::string const>(body)},
                          host_id("e"));
            auto const json = nlohmann::json::parse(reply.body_);
            if (json.contains("body"))
            {
                RC_ASSERT(json["body"].get<std::string>() == body);
                return;
            }
            std::size_t size = 0;
            auto* const bytes = g_base64_decode(
                json["body_base64"].get<std::string>().c_str(), &size);
            std::string const read(reinterpret_cast<char*>(bytes), size);
            g_free(bytes);
            RC_ASSERT(read == body);
        }));
}

} // namespace
} // namespace fescuevane::entry
