// Purpose: tests of rows of targets, also of those that other writers left.
#include "cell/event.hpp"
#include "cell/stored_row.hpp"
#include "platform/codec.hpp"
#include "platform/platform_error.hpp"
#include "platform/target_rows.hpp"
#include "platform/unreadable_rows.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace fescuevane::platform
{
namespace
{

using nlohmann::json;

json make_row()
{
    return {{"state", "ready"},
            {"addr", "10.0.0.1:8080"},
            {"zone", "east"},
            {"service", "desk"},
            {"labels", {"a", "r1-3"}},
            {"capacity", {{"cpu", 4000}, {"memMb", 100}, {"gpu", 0}}},
            {"born", 1'700'000'000'000}};
}

std::string nest(std::string const& open, std::size_t levels)
{
    std::string text;
    for (std::size_t level = 0; level < levels; ++level)
    {
        text += open;
    }
    return text;
}

// What any user of a target relies on.
bool is_usable(cell::listed_target const& target)
{
    std::size_t const colon = target.address_.find(':');
    if (colon == std::string::npos)
    {
        return false;
    }
    std::string const port = target.address_.substr(colon + 1);
    bool const        digits =
        !port.empty() && port.size() <= 5 &&
        port.find_first_not_of("0123456789") == std::string::npos;
    resources const most(4'096'000, 67'108'864, 1024);
    return digits && std::stoi(port) >= 1 && std::stoi(port) <= 65535 &&
           target.address_.substr(0, colon).find_first_not_of("0123456789.") ==
               std::string::npos &&
           !target.domain_.empty() && !target.service_.empty() &&
           target.capacity_.cpu_millis() >= 1 &&
           !target.capacity_.has_negative() && target.capacity_.fits_in(most) &&
           target.labels_.size() <= 16 && target.born_unix_ms_ >= 0;
}

std::optional<cell::listed_target> try_decode(std::string const& text)
{
    try
    {
        return decode_target("t-1", text);
    }
    catch (platform_error const&)
    {
        return std::nullopt;
    }
}

TEST_CASE("target row, all fields, decoded")
{
    json row = make_row();
    row["state"] = "draining";
    cell::listed_target const target = decode_target("t-1", row.dump());
    CHECK(target.id_ == target_id("t-1"));
    CHECK(target.address_ == "10.0.0.1:8080");
    CHECK(target.leaving_);
    CHECK(target.rack_ == rack_id("r1-3"));
    CHECK(target.capacity_ == resources(4000, 100, 0));
    CHECK(target.born_unix_ms_ == 1'700'000'000'000);
}

// Guards against rows of other writers that are taken for targets.
TEST_CASE("target rows, malformed, name no target")
{
    for (char const* const text :
         {"", "\xff\xfe", "[]", "{}", R"({"state":"ready"})",
          R"({"state":"lost","addr":"1:2","zone":"z","service":"s",)"
          R"("capacity":{},"labels":[]})",
          R"({"state":"ready","addr":7,"zone":"z","service":"s",)"
          R"("capacity":{},"labels":[]})",
          R"({"state":"ready","addr":"1:2","zone":"z","service":"s",)"
          R"("capacity":5,"labels":[]})",
          R"({"state":"ready","addr":"1:2","zone":"z","service":"s",)"
          R"("capacity":{},"labels":[4]})"})
    {
        CAPTURE(text);
        CHECK_THROWS_AS(decode_target("t-1", text), platform_error);
    }
}

struct odd_field
{
    char const* path_;
    json        value_;
};

// Guards against targets that can't be called or used: they stay `attaching`
// for good, new owners wait for them, and the division of a failure domain
// counts their capacity.
TEST_CASE("target rows, one odd field, name no target")
{
    std::string const long_text(201, 'x');
    for (odd_field const& odd :
         {odd_field{"/addr", ""},
          odd_field{"/addr", "10.0.0.1"},
          odd_field{"/addr", "10.0.0.1:"},
          odd_field{"/addr", "10.0.0.1:0"},
          odd_field{"/addr", "10.0.0.1:-1"},
          odd_field{"/addr", "10.0.0.1:+80"},
          odd_field{"/addr", "10.0.0.1:080"},
          odd_field{"/addr", "10.0.0.1:65536"},
          odd_field{"/addr", "10.0.0.1:99999"},
          odd_field{"/addr", "10.0.0.1:99999999999999999999"},
          odd_field{"/addr", "10.0.0.1:80/path"},
          odd_field{"/addr", "10.0.0.1:80 "},
          odd_field{"/addr", "10.0.0.1:80:80"},
          odd_field{"/addr", "http://10.0.0.1:80"},
          odd_field{"/addr", "localhost:80"},
          odd_field{"/addr", "10.0.0:80"},
          odd_field{"/addr", "10.0.0.256:80"},
          odd_field{"/addr", "0.0.0.0:80"},
          odd_field{"/addr", "224.0.0.1:80"},
          odd_field{"/addr", "255.255.255.255:80"},
          odd_field{"/addr", "[::1]:80"},
          odd_field{"/addr", std::string("10.0.0.1\0:80", 12)},
          odd_field{"/addr", json::array({"10.0.0.1:80"})},
          odd_field{"/zone", ""},
          odd_field{"/zone", long_text},
          odd_field{"/zone", nullptr},
          odd_field{"/service", ""},
          odd_field{"/service", long_text},
          odd_field{"/service", 7},
          odd_field{"/state", "Ready"},
          odd_field{"/state", true},
          odd_field{"/capacity", nullptr},
          odd_field{"/capacity", json::object()},
          odd_field{"/capacity", json::array({4000, 100, 0})},
          odd_field{"/capacity/cpu", 0},
          odd_field{"/capacity/cpu", -4000},
          odd_field{"/capacity/cpu", 4'096'001},
          odd_field{"/capacity/cpu", 9007199254740991},
          odd_field{"/capacity/cpu", 1e30},
          odd_field{"/capacity/cpu", "4000"},
          odd_field{"/capacity/memMb", -1},
          odd_field{"/capacity/memMb", 67'108'865},
          odd_field{"/capacity/gpu", -1},
          odd_field{"/capacity/gpu", 1025},
          odd_field{"/labels", "a"},
          odd_field{"/labels", json::array({""})},
          odd_field{"/labels", json::array({long_text})},
          odd_field{"/labels", json::array({"a", json::array()})},
          odd_field{"/labels", std::vector<std::string>(17, "a")},
          odd_field{"/born", -1},
          odd_field{"/born", 1e30},
          odd_field{"/born", "now"}})
    {
        json row = make_row();
        row[json::json_pointer(odd.path_)] = odd.value_;
        CAPTURE(row.dump());
        CHECK_THROWS_AS(decode_target("t-1", row.dump()), platform_error);
    }
}

// Guards against a reader that ends, by recursion or by a number, at a row that
// any writer may leave.
TEST_CASE("target rows, nested deeply or with huge numbers, name no target")
{
    constexpr std::size_t levels = 1'000'000;
    std::string const     whole = make_row().dump();
    std::string const     rest = whole.substr(1);
    for (std::string const& text :
         {nest("[", levels), nest(R"({"a":)", levels),
          nest("[", levels) + nest("]", levels),
          nest(R"({"a":)", levels) + "1" + nest("}", levels),
          R"({"capacity":)" + nest("[", levels) + nest("]", levels) + "}",
          R"({"a":1e999,)" + rest, R"({"a":-1e999,)" + rest,
          std::string("{\"a\":\"\xff\",") + rest, whole + whole,
          whole.substr(0, whole.size() - 1)})
    {
        CAPTURE(text.substr(0, 60));
        CHECK_THROWS_AS(decode_target("t-1", text), platform_error);
    }
    // A field that isn't read doesn't matter, whatever its depth.
    CHECK(try_decode(R"({"a":)" + nest("[", levels) + nest("]", levels) + "," +
                     rest));
}

json make_random(int depth)
{
    switch (*rc::gen::inRange(0, depth > 0 ? 10 : 8))
    {
    case 0:
        return nullptr;
    case 1:
        return *rc::gen::arbitrary<bool>();
    case 2:
        return *rc::gen::arbitrary<std::int64_t>();
    case 3:
        return *rc::gen::element<json>(0, 1, -1, 65536, 9007199254740991, 1e308,
                                       -1e30, 0.5, 18446744073709551615ULL);
    case 4:
        return *rc::gen::arbitrary<double>();
    case 5:
        return *rc::gen::element<std::string>("", "ready", "10.0.0.1:70000",
                                              "10.0.0.1:80", ":", "::", "1:2");
    case 6:
    case 7:
        return *rc::gen::string<std::string>();
    case 8:
    {
        json list = json::array();
        for (int left = *rc::gen::inRange(0, 4); left > 0; --left)
        {
            list.push_back(make_random(depth - 1));
        }
        return list;
    }
    default:
    {
        json object = json::object();
        for (int left = *rc::gen::inRange(0, 4); left > 0; --left)
        {
            object[*rc::gen::element<std::string>("cpu", "memMb", "gpu", "x")] =
                make_random(depth - 1);
        }
        return object;
    }
    }
}

std::string dump(json const& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::ignore);
}

// Guards against any other row that ends the reader or is used although it
// names no usable target.
TEST_CASE("target rows, random JSON and changed rows, usable or refused")
{
    CHECK(rc::check("random JSON",
                    []
                    {
                        auto const target = try_decode(dump(make_random(4)));
                        RC_ASSERT((!target || is_usable(*target)));
                    }));
    CHECK(
        rc::check("rows with changed fields",
                  []
                  {
                      json row = make_row();
                      for (int left = *rc::gen::inRange(1, 4); left > 0; --left)
                      {
                          auto const path = *rc::gen::element<std::string>(
                              "/addr", "/zone", "/service", "/state", "/labels",
                              "/labels/0", "/capacity", "/capacity/cpu",
                              "/capacity/memMb", "/capacity/gpu", "/born");
                          try
                          {
                              row[json::json_pointer(path)] = make_random(2);
                          }
                          catch (json::exception const&)
                          {
                              // The parent was changed to a value without
                              // fields.
                          }
                      }
                      auto const target = try_decode(dump(row));
                      RC_ASSERT((!target || is_usable(*target)));
                  }));
    CHECK(rc::check("rows with changed bytes",
                    []
                    {
                        std::string text = make_row().dump();
                        for (int left = *rc::gen::inRange(1, 6); left > 0;
                             --left)
                        {
                            auto const at =
                                *rc::gen::inRange<std::size_t>(0, text.size());
                            text[at] = *rc::gen::arbitrary<char>();
                        }
                        auto const target = try_decode(text);
                        RC_ASSERT((!target || is_usable(*target)));
                    }));
}

// Rows of targets, and what comes of them.
struct target_rows_fixture
{
    using line = std::pair<std::string, std::string>; // name, reason

    std::vector<cell::event> events_;
    std::uint64_t            unreadable_ = 0;
    std::vector<line>        lines_;
    std::uint64_t            unlogged_ = 0; // of the latest line
    instant                  now_ = instant(micros_per_second);
    target_rows              rows_{
        {.post_ =
                          [this](cell::event input)
                      {
             events_.push_back(std::move(input));
         },
                      .count_unreadable_ =
                          [this]
                      {
             ++unreadable_;
         },
                      .log_unreadable_ =
                          [this](std::string const& name, std::string const& reason,
                    std::uint64_t unlogged)
                      {
             lines_.emplace_back(name, reason);
             unlogged_ = unlogged;
         }}};

    void change(std::string const& name, std::string const& text)
    {
        rows_.apply({{"servers", "", name}, text, 1}, now_);
    }

    void remove(std::string const& name)
    {
        rows_.apply({{"servers", "", name}, "", 0}, now_);
    }
};

TEST_CASE_FIXTURE(target_rows_fixture,
                  "target row, written and removed, listed and unlisted")
{
    change("t-1", make_row().dump());
    remove("t-1");
    REQUIRE(events_.size() == 2);
    CHECK(std::get<cell::target_listed>(events_[0]).target_ ==
          decode_target("t-1", make_row().dump()));
    CHECK(std::get<cell::target_unlisted>(events_[1]).id_ == target_id("t-1"));
    CHECK(unreadable_ == 0);
}

// Guards against work that is sent by an entry which another writer replaced:
// it may be out of date, and hide that the target is about to leave.
TEST_CASE_FIXTURE(
    target_rows_fixture,
    "known target, row turns unreadable, unlisted until it is back")
{
    change("t-1", make_row().dump());
    change("t-1", "[[[[");
    change("t-1", make_row().dump());
    REQUIRE(events_.size() == 3);
    REQUIRE(std::holds_alternative<cell::target_unlisted>(events_[1]));
    CHECK(std::get<cell::target_unlisted>(events_[1]).id_ == target_id("t-1"));
    CHECK(std::holds_alternative<cell::target_listed>(events_[2]));
    CHECK(unreadable_ == 1);
}

// Guards against odd rows that nobody can trace to their writer.
TEST_CASE_FIXTURE(target_rows_fixture,
                  "row unreadable, reason and readability change, logged each")
{
    json row = make_row();
    change("t-1", "[");
    change("t-1", "[");
    row["addr"] = "10.0.0.1:99999";
    change("t-1", row.dump());
    change("t-1", make_row().dump());
    change("t-1", "[");
    remove("t-1");
    change("t-1", "[");
    CHECK(unreadable_ == 5);
    CHECK(lines_ ==
          std::vector<line>{{"t-1", "malformed JSON"},
                            {"t-1", "addr: expected an IPv4 address and a "
                                    "port from 1 to 65535"},
                            {"t-1", "malformed JSON"},
                            {"t-1", "malformed JSON"}});
}

// Guards against a writer of many odd rows that fills the log or the memory.
TEST_CASE_FIXTURE(target_rows_fixture,
                  "10,000 odd rows, reported again and again, few lines")
{
    for (int round = 0; round < 3; ++round)
    {
        for (int row = 0; row < 10'000; ++row)
        {
            change("t-" + std::to_string(row), "[[[[");
        }
    }
    CHECK(unreadable_ == 30'000);
    CHECK(lines_.size() == unreadable_rows::max_lines);
    now_ = now_.after(unreadable_rows::period_micros);
    change("t-other", "7");
    CHECK(lines_.size() == unreadable_rows::max_lines + 1);
    // Those of the first names aren't counted twice.
    CHECK(unlogged_ >= 10'000 - unreadable_rows::max_lines);
}

} // namespace
} // namespace fescuevane::platform
