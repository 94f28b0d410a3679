// Purpose: tests of the log.
#include "entry/logging.hpp"
#include "entry/settings.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <iostream>
#include <sstream>

namespace fescuevane::entry
{
namespace
{

struct logging_fixture
{
    log_fields const fields_ = {{"shard", "amman-a.0"},
                                {"reason", "two \"words\"\nshard=x"}};

    // The lines that one state change gives.
    std::string write(std::string const& format, std::string const& level) const
    {
        settings values;
        values.log_format_ = format;
        values.log_level_ = level;
        std::ostringstream    text;
        std::streambuf* const before = std::cerr.rdbuf(text.rdbuf());
        log_state_change(make_state_logger(values), "shard_acquired", fields_);
        std::cerr.rdbuf(before);
        return text.str();
    }
};

// Guards against a value that forges a line or a field of the log.
TEST_CASE_FIXTURE(logging_fixture, "log, text, quotes values in one line")
{
    std::string const line = write("text", "info");
    CHECK(line.find("INFO shard_acquired shard=amman-a.0 "
                    "reason=\"two \\\"words\\\"\\nshard=x\"\n") !=
          std::string::npos);
    CHECK(std::count(line.begin(), line.end(), '\n') == 1);
}

// Guards against lines that a reader of JSON can't take.
TEST_CASE_FIXTURE(logging_fixture, "log, JSON, is one object with all fields")
{
    auto const line = nlohmann::json::parse(write("json", "debug"));
    CHECK(line["event"] == "shard_acquired");
    CHECK(line["level"] == "INFO");
    CHECK(line["reason"] == fields_[1].second);
    CHECK(line["time"].get<std::string>().back() == 'Z');
}

// Guards against a level that is ignored, and against lines of a former setup.
TEST_CASE_FIXTURE(logging_fixture, "log, level above info, writes nothing")
{
    CHECK(write("text", "warn").empty());
}

} // namespace
} // namespace fescuevane::entry
