// Purpose: tests of printers, percentiles and load summaries.
#include "ctl/load_summary.hpp"
#include "ctl/percentile.hpp"
#include "ctl/printer.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <algorithm>
#include <sstream>
#include <string>
#include <vector>

namespace fescuevane::ctl
{
namespace
{

struct printer_fixture
{
    std::string print_rows(char const* format, json const& reply)
    {
        output_.str("");
        find_printer(format)->print_rows_(output_, reply, "teams");
        return output_.str();
    }

    std::string print_record(char const* format, json const& record)
    {
        output_.str("");
        find_printer(format)->print_record_(output_, record);
        return output_.str();
    }

    std::ostringstream output_;
    json const         teams_ = json::parse(
                R"({"teams":[{"id":"cafes","share":3},{"id":"kiosks","limit":1}]})");
};

// Guards against columns that shift when a row lacks a field.
TEST_CASE_FIXTURE(printer_fixture, "text rows, fields differ, align columns")
{
    CHECK(print_rows("text", teams_) == "id      share  limit\n"
                                        "cafes   3      -\n"
                                        "kiosks  -      1\n");
}

// Guards against empty output that looks like a failed command.
TEST_CASE_FIXTURE(printer_fixture, "text rows, empty list, says so")
{
    CHECK(print_rows("text", json::parse(R"({"teams":[]})")) == "no teams\n");
    CHECK(print_rows("text", json::parse("{}")) == "no teams\n");
}

// Guards against JSON output that differs from the reply.
TEST_CASE_FIXTURE(printer_fixture, "json, any reply, prints it unchanged")
{
    CHECK(json::parse(print_rows("json", teams_)) == teams_);
    CHECK(json::parse(print_record("json", teams_)) == teams_);
}

// Guards against quoted text and misaligned fields.
TEST_CASE_FIXTURE(printer_fixture, "text record, mixed fields, aligns values")
{
    CHECK(print_record("text", json::parse(R"({"id":"a","attempt":1})")) ==
          "id       a\nattempt  1\n");
}

// Guards against an unknown format that crashes.
TEST_CASE("printer, unknown name, is absent")
{
    CHECK(find_printer("xml") == nullptr);
}

// Guards against percentiles that are off by one rank.
TEST_CASE("percentile, one to hundred, is the nearest rank")
{
    std::vector<std::int64_t> values;
    for (std::int64_t i = 1; i <= 100; ++i)
    {
        values.push_back(i);
    }
    CHECK(find_percentile(values, 50) == 50);
    CHECK(find_percentile(values, 99) == 99);
    CHECK(find_percentile(values, 100) == 100);
    CHECK(find_percentile(values, 0) == 1);
    CHECK(find_percentile({}, 50) == 0);
    CHECK(find_percentile(std::vector<std::int64_t>{7}, 99) == 7);
}

// Guards against a percentile that too few values lie below.
TEST_CASE("percentile, random values, covers the asked part of them")
{
    CHECK(rc::check(
        [](std::vector<std::int64_t> values)
        {
            RC_PRE(!values.empty());
            std::sort(values.begin(), values.end());
            auto const percent = *rc::gen::inRange(0, 101);
            auto const found = find_percentile(values, percent);
            auto const covered =
                std::upper_bound(values.begin(), values.end(), found) -
                values.begin();
            RC_ASSERT(static_cast<std::size_t>(covered) * 100 >=
                      static_cast<std::size_t>(percent) * values.size());
        }));
}

// Guards against units or counts that are wrong in the summary.
TEST_CASE("load summary, known waits, gives milliseconds and throughput")
{
    json const summary = summarize_load(5, 4, {{"answered", 4}},
                                        {4000, 1000, 3000, 2000}, 2'000'000);
    CHECK(summary.at("planned") == 5);
    CHECK(summary.at("sent") == 4);
    CHECK(summary.at("answered_per_second") == doctest::Approx(2.0));
    CHECK(summary.at("wait_ms_p50") == doctest::Approx(2.0));
    CHECK(summary.at("wait_ms_max") == doctest::Approx(4.0));
}

// Guards against failed jobs that are counted as answered.
TEST_CASE("load end, states and errors, are told apart")
{
    auto const name = [](unsigned status, char const* text)
    {
        return name_load_end(status, json::parse(text));
    };
    CHECK(name(200, R"({"state":"answered","outcome":"succeeded"})") ==
          "answered");
    CHECK(name(200, R"({"state":"answered","outcome":"failed"})") ==
          "answered/failed");
    CHECK(name(503, R"({"state":"not_run"})") == "not_run");
    CHECK(name(403, R"({"error":{}})") == "status 403");
}

} // namespace
} // namespace fescuevane::ctl
