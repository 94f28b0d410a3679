// Purpose: tests of traces.
#include "entry/front_error.hpp"
#include "entry/tracing.hpp"
#include "entry/tracing_context.hpp"

#include <doctest/doctest.h>
#include <glib.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <unistd.h>
#include <cstdio>
#include <fstream>
#include <vector>

namespace fescuevane::entry
{
namespace
{

struct tracing_fixture
{
    std::string const caller_ =
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00";
    std::string const file_ = std::string(g_get_tmp_dir()) +
                              "/fescuevane_trace_test_" +
                              std::to_string(getpid()) + ".jsonl";

    ~tracing_fixture() { std::remove(file_.c_str()); }

    std::vector<nlohmann::json> read_lines() const
    {
        std::vector<nlohmann::json> lines;
        std::ifstream               input(file_);
        for (std::string line; std::getline(input, line);)
        {
            lines.push_back(nlohmann::json::parse(line));
        }
        return lines;
    }
};

// Guards against a trace that breaks in two at this process.
TEST_CASE_FIXTURE(tracing_fixture,
                  "span, caller's traceparent, keeps the trace id")
{
    std::string child;
    {
        span_tracer tracer(file_, "entry-a-1");
        child = tracer.start_span("submit", caller_).traceparent();
    }
    auto const lines = read_lines();
    REQUIRE(lines.size() == 1);
    CHECK(lines[0]["trace_id"] == "0af7651916cd43dd8448eb211c80319c");
    CHECK(lines[0]["parent_id"] == "b7ad6b7169203331");
    CHECK(lines[0]["span_id"] == parse_traceparent(child)->span_id_);
    CHECK(lines[0]["name"] == "submit");
    CHECK(lines[0]["host"] == "entry-a-1");
    CHECK(lines[0]["start_us"].get<std::int64_t>() > 1'500'000'000'000'000);
    CHECK(lines[0]["duration_us"].get<std::int64_t>() >= 0);
}

// Guards against a process that keeps every span of its life in memory.
TEST_CASE_FIXTURE(tracing_fixture, "tracer, full buffer, drops and counts")
{
    span_tracer tracer(file_, "entry-a-1", 2);
    for (int i = 0; i < 5; ++i)
    {
        tracer.start_span("submit", "");
    }
    CHECK(tracer.dropped() == 3);
    tracer.flush();
    CHECK(read_lines().size() == 2);
    tracer.start_span("submit", "");
    tracer.flush();
    CHECK(read_lines().size() == 3);
}

// Guards against calls without identifiers when no file is set.
TEST_CASE_FIXTURE(tracing_fixture, "tracer, no file, still gives identifiers")
{
    span_tracer tracer("", "entry-a-1");
    CHECK(parse_traceparent(tracer.start_span("a", "").traceparent()));
    CHECK(tracer.start_span("a", "x").traceparent() !=
          tracer.start_span("a", "x").traceparent());
    CHECK_THROWS_AS(span_tracer("/absent/folder/file", "h"), front_error);
}

// Guards against a malformed header that is passed on.
TEST_CASE_FIXTURE(tracing_fixture, "traceparent, faulty text, has no value")
{
    std::string const tail = "-0af7651916cd43dd8448eb211c80319c-"
                             "b7ad6b7169203331-01";
    CHECK(format_traceparent(*parse_traceparent(caller_)) == caller_);
    CHECK(parse_traceparent("cc" + tail + "-more").has_value());
    for (std::string const& text :
         {std::string(), "ff" + tail, "00" + tail + "-more", "cc" + tail + "x",
          "0G" + tail, "00" + tail.substr(1),
          "00-" + std::string(32, '0') + tail.substr(33), tail + tail,
          "00-0AF7651916CD43DD8448EB211C80319C" + tail.substr(33)})
    {
        CAPTURE(text);
        CHECK_FALSE(parse_traceparent(text).has_value());
    }
}

// Guards against reads beyond a short text, and children that lose the trace.
TEST_CASE_FIXTURE(tracing_fixture, "traceparent, random, is kept or refused")
{
    CHECK(rc::check(
        [this](std::string const& text, std::uint8_t at, char byte)
        {
            CHECK_FALSE(parse_traceparent(text).has_value());
            std::string changed = caller_;
            changed[at % changed.size()] = byte;
            auto const parent = parse_traceparent(changed);
            auto const child = make_child(parent);
            RC_ASSERT(parse_traceparent(format_traceparent(child)) == child);
            RC_ASSERT(!parent || child.trace_id_ == parent->trace_id_);
        }));
}

} // namespace
} // namespace fescuevane::entry
