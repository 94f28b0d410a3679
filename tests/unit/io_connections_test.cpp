// Purpose: tests of who has to go when clients reach a bound, without a
// network.
#include "io/bounded_json.hpp"
#include "io/connection_activity.hpp"
#include "io/connection_table.hpp"
#include "io/host_budget.hpp"

#include <doctest/doctest.h>
#include <array>
#include <string>

namespace fescuevane::io
{
namespace
{

struct connections_fixture
{
    connection_table           table_{{.max_connections_ = 3,
                                       .max_header_bytes_ = 100,
                                       .max_body_bytes_ = 50,
                                       .max_body_sum_bytes_ = 80,
                                       .read_micros_ = 30,
                                       .answer_micros_ = 600,
                                       .drain_micros_ = 5}};
    std::vector<connection_id> closed_;

    static instant at(std::int64_t micros) { return instant(micros); }

    connection_id add(std::int64_t micros)
    {
        auto const id = table_.add(at(micros), closed_);
        REQUIRE(id);
        return *id;
    }

    // One whole request and its answer.
    void complete(connection_id id, std::int64_t micros)
    {
        CHECK(!table_.note_headers(id, 10, 0, at(micros)));
        table_.note_read(id, at(micros));
        table_.note_answered(id, 10, at(micros));
    }

    void start_body(connection_id id, std::int64_t micros)
    {
        CHECK(!table_.note_headers(id, 10, 0, at(micros)));
    }
};

} // namespace

// Guards against idle connections that keep ordinary callers out.
TEST_CASE_FIXTURE(connections_fixture,
                  "connections, all places taken, lose the one that was never "
                  "used before one that was")
{
    connection_id const used = add(1);
    complete(used, 2);
    connection_id const unused = add(10);
    add(11);
    add(12);
    CHECK(closed_ == std::vector{unused});
}

// Guards against answers that are lost to make place for another client.
TEST_CASE_FIXTURE(connections_fixture,
                  "connections, all awaiting answers, have no place for "
                  "another")
{
    for (std::int64_t time = 1; time <= 3; ++time)
    {
        connection_id const id = add(time);
        start_body(id, time);
        table_.note_read(id, at(time));
    }
    CHECK(!table_.add(at(4), closed_));
    CHECK(closed_.empty());
}

// Guards against kept connections that are closed while nobody needs their
// place, and against slow senders that keep theirs.
TEST_CASE_FIXTURE(connections_fixture,
                  "deadline, idle connection and slow request, ends only the "
                  "request")
{
    connection_id const kept = add(1);
    complete(kept, 2);
    connection_id const slow = add(3);
    CHECK(table_.find_expired(at(33)) == std::vector{kept, slow});
    table_.note_idle(kept, 10, at(33));
    table_.note_idle(slow, 4, at(33));
    CHECK(table_.find_phase(kept) == connection_phase::idle);
    CHECK(table_.find_phase(slow) == connection_phase::headers);
    CHECK(table_.next_deadline() == at(63));
}

// Guards against a kept connection that is closed first while its next request
// comes in, for the time that it was idle.
TEST_CASE_FIXTURE(connections_fixture,
                  "connections, all places taken, lose an idle one before one "
                  "that began to send later")
{
    connection_id const sending = add(1);
    complete(sending, 2);
    connection_id const idle = add(3);
    complete(idle, 4);
    table_.note_idle(sending, 11, at(32));
    connection_id const other = add(33);
    complete(other, 34);
    add(35);
    CHECK(closed_ == std::vector{idle});
}

// Guards against bodies that are read although their headers break a limit.
TEST_CASE_FIXTURE(connections_fixture,
                  "request, headers or announced body above the limit, is "
                  "refused")
{
    connection_id const id = add(1);
    CHECK(table_.note_headers(id, 101, 0, at(1)) ==
          http_refusal::headers_too_large);
    CHECK(table_.note_headers(id, 100, 51, at(1)) ==
          http_refusal::body_too_large);
    CHECK(!table_.note_headers(id, 100, 50, at(1)));
}

// Guards against bodies of undeclared length that go on for ever.
TEST_CASE_FIXTURE(connections_fixture,
                  "body, in parts above the limit, is refused and frees what "
                  "it held")
{
    connection_id const id = add(1);
    start_body(id, 1);
    CHECK(!table_.note_body(id, 50, closed_));
    CHECK(table_.body_bytes() == 50);
    CHECK(table_.note_body(id, 1, closed_) == http_refusal::body_too_large);
    table_.note_refused(id, at(2));
    CHECK(table_.body_bytes() == 0);
    CHECK(table_.find_expired(at(7)) == std::vector{id});
}

// Guards against slow bodies that hold the memory which ordinary ones need.
TEST_CASE_FIXTURE(connections_fixture,
                  "bodies, above their sum, lose the one that takes longest")
{
    connection_id const slow = add(1);
    start_body(slow, 1);
    CHECK(!table_.note_body(slow, 45, closed_));
    connection_id const next = add(2);
    start_body(next, 2);
    CHECK(!table_.note_body(next, 45, closed_));
    CHECK(closed_ == std::vector{slow});
}

// Guards against more memory for bodies than the host has, where all of them
// wait for answers.
TEST_CASE_FIXTURE(connections_fixture,
                  "body, sum taken by requests that await answers, is refused")
{
    connection_id const whole = add(1);
    start_body(whole, 1);
    CHECK(!table_.note_body(whole, 45, closed_));
    table_.note_read(whole, at(1));
    connection_id const next = add(2);
    start_body(next, 2);
    CHECK(table_.note_body(next, 45, closed_) == http_refusal::no_memory);
    table_.note_answered(whole, 10, at(3));
    CHECK(!table_.note_body(next, 45, closed_));
    CHECK(closed_.empty());
}

// Guards against connections between hosts that are cut for those of strangers.
TEST_CASE("connections of a library, all places taken, lose a silent one first")
{
    std::array<connection_activity, 3> const rows = {
        {{.received_bytes_ = 900, .silent_ms_ = 70'000},
         {.received_bytes_ = 0, .silent_ms_ = 20},
         {.received_bytes_ = 0, .silent_ms_ = 10}}};
    CHECK(choose_idle(rows) == 1);
    CHECK(choose_idle(std::span(rows).first(1)) == 0);
}

// Guards against texts whose parsed form is far larger than they are.
TEST_CASE("JSON text, nested or split beyond the limits, doesn't fit")
{
    constexpr json_limits limits{.max_depth_ = 3, .max_values_ = 5};
    CHECK(fits(R"({"a":[[1]]})", limits));
    CHECK(!fits(R"({"a":[[[1]]]})", limits));
    CHECK(fits("[1,2,3,4]", limits));
    CHECK(!fits("[1,2,3,4,5]", limits));
    CHECK(fits(R"(["[[[[\"[[[[,,,,,,"])", limits));
    CHECK(fits("]]]][[[", limits));
}

// Guards against ports for probes that take the descriptors of callers.
TEST_CASE("limits, of few descriptors, leave most of them to callers")
{
    CHECK(make_probe_limits({.max_descriptors_ = 4100}).max_connections_ == 64);
    CHECK(make_probe_limits({.max_descriptors_ = 300}).max_connections_ == 12);
}

// Guards against defaults that a client inside the pages' limits meets: bodies
// of 262,144 bytes, hosts of 160 MB and 4,100 descriptors.
TEST_CASE("limits, of the smallest host, have room for ordinary clients")
{
    http_limits const limits = make_caller_limits(
        {.memory_mb_ = 160, .max_descriptors_ = 4100}, 262'144);
    CHECK(limits.max_connections_ == 1950);
    CHECK(limits.max_body_sum_bytes_ >= 64 * limits.max_body_bytes_);
    std::string numbers = "[1";
    std::string lists = "[[]";
    while (numbers.size() + 3 <= 262'144)
    {
        numbers += ",1";
    }
    while (lists.size() + 4 <= 262'144)
    {
        lists += ",[]";
    }
    CHECK(fits(numbers + "]", json_limits()));
    CHECK(fits(lists + "]", json_limits()));
}

} // namespace fescuevane::io
