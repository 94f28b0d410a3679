// Purpose: tests of the codec between entry processes and the platform.
#include "tests/unit/wire_fixture.hpp"

#include <platform.pb.h>

#include <doctest/doctest.h>

#include <functional>

namespace fescuevane::wire
{
namespace
{

struct platform_fixture : wire_fixture
{
    static std::uint64_t make_revision()
    {
        return 1 + *rc::gen::arbitrary<std::uint32_t>();
    }

    static state::commit_rows make_commit()
    {
        std::vector<state::row_condition> conditions;
        std::vector<state::row_write>     writes;
        for (int i = *rc::gen::inRange(0, 5); i > 0; --i)
        {
            conditions.push_back({make_id(), make_revision() - 1});
            writes.push_back(
                {make_id(), make_bytes(), *rc::gen::arbitrary<bool>()});
        }
        return {.commit_id_ = make_id(),
                .conditions_ = std::move(conditions),
                .writes_ = std::move(writes)};
    }

    static state::rows_read make_rows()
    {
        std::vector<state::table_row> rows;
        for (int i = *rc::gen::inRange(0, 5); i > 0; --i)
        {
            rows.push_back({make_id(), make_bytes(), make_revision(),
                            *rc::gen::arbitrary<bool>()});
        }
        return {7, std::move(rows), make_revision()};
    }
};

struct bad_commit
{
    char const*                                       field_;
    std::function<void(platform::v1::CommitRequest&)> spoil_;
};

// Guards against conditions that are lost, so that a commit overwrites rows.
TEST_CASE_FIXTURE(platform_fixture,
                  "requests, encoded and decoded, are the same commands")
{
    CHECK(rc::check(
        []
        {
            state::commit_rows const    commit = make_commit();
            platform::v1::CommitRequest request;
            encode_commit(commit, request);
            RC_ASSERT(decode_commit(request) == commit);
            state::read_rows const    read{0, make_id(), make_revision()};
            platform::v1::ReadRequest message;
            encode_read(read, message);
            RC_ASSERT(decode_read(message) == read);
        }));
}

// Guards against a reply that is matched to another command or loses rows.
TEST_CASE_FIXTURE(platform_fixture,
                  "replies, encoded and decoded, are the same events")
{
    CHECK(rc::check(
        []
        {
            state::rows_read const  rows = make_rows();
            platform::v1::ReadReply reply;
            encode_read_reply(rows, reply);
            RC_ASSERT(decode_read_reply(reply, 7) == rows);
            state::commit_ended const ended{9,
                                            *rc::gen::arbitrary<bool>(),
                                            make_revision(),
                                            {make_id(), make_id()}};
            platform::v1::CommitReply message;
            encode_commit_reply(ended, message);
            RC_ASSERT(decode_commit_reply(message, 9) == ended);
        }));
}

// Guards against commits that the platform can't replay or attribute.
TEST_CASE_FIXTURE(platform_fixture,
                  "commit, bad message, names the field in decode_error")
{
    using request = platform::v1::CommitRequest;
    std::vector<bad_commit> const table = {
        {"commit_id",
         [](request& m)
         {
             m.clear_commit_id();
         }},
        {"commit_id",
         [](request& m)
         {
             m.set_commit_id(std::string(257, 'x'));
         }},
        {"conditions.key",
         [](request& m)
         {
             m.add_conditions();
         }},
        {"writes.key",
         [](request& m)
         {
             m.add_writes();
         }},
        {"writes.key",
         [](request& m)
         {
             m.add_writes()->set_key(std::string(max_key_bytes + 1, 'x'));
         }},
        {"writes.value",
         [](request& m)
         {
             m.add_writes()->set_value(std::string(max_body_bytes + 1, 'x'));
         }},
    };
    for (bad_commit const& row : table)
    {
        platform::v1::CommitRequest message;
        message.set_commit_id("host-1.1.1");
        row.spoil_(message);
        std::string field = "none";
        try
        {
            decode_commit(message);
        }
        catch (decode_error const& error)
        {
            field = error.field();
        }
        CHECK(field == row.field_);
    }
}

// Guards against rows without a revision, which would look absent.
TEST_CASE_FIXTURE(platform_fixture, "replies, bad message, are a decode_error")
{
    platform::v1::ReadReply reply;
    reply.add_rows()->set_key("head");
    CHECK_THROWS_WITH_AS(decode_read_reply(reply, 1),
                         "rows.revision: the field is missing", decode_error);
    platform::v1::CommitReply applied;
    applied.set_applied(true);
    CHECK_THROWS_AS(decode_commit_reply(applied, 1), decode_error);
}

} // namespace
} // namespace fescuevane::wire
