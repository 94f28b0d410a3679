// Purpose: tests of the feed of a table, against a store that the test answers
// for over the loopback interface.
#include "platform/load_meter.hpp"
#include "platform/row_feed.hpp"

#include "io/http_client.hpp"
#include "io/main_loop.hpp"
#include "io/measures.hpp"
#include "io/timer.hpp"

#include <doctest/doctest.h>
#include <libsoup/soup.h>
#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace fescuevane::platform
{
namespace
{

constexpr std::int64_t lease_micros = 4'000'000;
constexpr std::int64_t long_gather_micros = 30'000'000;
constexpr std::int64_t short_gather_micros = 50'000;
constexpr std::int64_t most_micros = 10'000'000; // of a step of a test

struct feed_fixture
{
    SoupServer*                    server_;
    std::optional<io::http_client> client_;
    io::measures                   measures_;
    load_meter               meter_{measures_, lease_micros, io::read_clock()};
    std::optional<row_feed>  feed_;
    std::vector<std::string> questions_; // waits that feeds asked for
    std::string              answer_ = R"({"rows":[],"ver":5})";
    bool                     held_ = false; // the next feed isn't answered
    SoupServerMessage*       open_ = nullptr;
    std::vector<revision>    reported_;
    std::size_t              complete_ = 0;

    feed_fixture()
        : server_(soup_server_new(nullptr, nullptr)), client_(std::in_place, 4)
    {
        soup_server_add_handler(server_, "/rows-get", &on_read, this, nullptr);
        soup_server_add_handler(server_, "/rows-feed", &on_feed, this, nullptr);
        REQUIRE(soup_server_listen_local(
            server_, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, nullptr));
        GSList* const uris = soup_server_get_uris(server_);
        int const     port = g_uri_get_port(static_cast<GUri*>(uris->data));
        g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(&g_uri_unref));
        feed_.emplace(
            *client_, meter_, "127.0.0.1:" + std::to_string(port), "servers",
            std::vector<std::string>{""}, long_gather_micros,
            row_feed::handlers{.changed_ =
                                   [this](cell::stored_row const& row)
                               {
                                   reported_.push_back(row.revision_);
                               },
                               .complete_ =
                                   [this]
                               {
                                   ++complete_;
                               },
                               .contact_ = [](bool, std::string const&) {}});
    }
    ~feed_fixture()
    {
        client_.reset(); // its calls end without a report
        feed_.reset();
        soup_server_disconnect(server_);
        g_object_unref(server_);
    }
    feed_fixture(feed_fixture const&) = delete;
    feed_fixture& operator=(feed_fixture const&) = delete;

    static void respond(SoupServerMessage* message, std::string const& body)
    {
        soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
        soup_server_message_set_response(message, "application/json",
                                         SOUP_MEMORY_COPY, body.data(),
                                         body.size());
    }

    static void on_read(SoupServer* /*server*/, SoupServerMessage* message,
                        char const* /*path*/, GHashTable* /*query*/,
                        void* /*data*/)
    {
        respond(message, R"({"rows":[],"ver":5,"truncated":false})");
    }

    static void on_feed(SoupServer* /*server*/, SoupServerMessage* message,
                        char const* /*path*/, GHashTable* query, void* data)
    {
        auto& own = *static_cast<feed_fixture*>(data);
        own.questions_.emplace_back(
            static_cast<char const*>(g_hash_table_lookup(query, "waitMs")));
        if (own.held_)
        {
            own.held_ = false;
            own.open_ = message;
            soup_server_message_pause(message);
            return;
        }
        respond(message, own.answer_);
    }

    static std::string write_row(int ver)
    {
        return R"({"rows":[{"table":"servers","part":"","key":"t-1",)"
               R"("value":"e30=","ver":)" +
               std::to_string(ver) + R"(}],"ver":)" + std::to_string(ver) + "}";
    }

    // Runs the main loop until the condition holds, at most for some time.
    template <typename Condition>
    bool run_until(Condition const& holds, std::int64_t micros)
    {
        bool      due = false;
        io::timer wake(
            [&due]
            {
                due = true;
            });
        wake.arm(io::read_clock().after(micros));
        while (!due && !holds())
        {
            g_main_context_iteration(nullptr, TRUE);
        }
        return holds();
    }

    bool run_until_asked(std::size_t questions, std::int64_t micros)
    {
        return run_until(
            [this, questions]
            {
                return questions_.size() >= questions;
            },
            micros);
    }
};

// Guards against processor time for changes that nobody needs yet.
TEST_CASE_FIXTURE(feed_fixture, "gathering is long, answer came, feed pauses")
{
    feed_->start();
    REQUIRE(run_until_asked(1, most_micros));
    CHECK_FALSE(run_until_asked(2, 400'000));
    CHECK(complete_ == 1); // the table was read
}

// Guards against claims with an old list, and against ones that wait for a
// change of it.
TEST_CASE_FIXTURE(feed_fixture,
                  "gathering gets shorter, feed pauses, it asks at once")
{
    feed_->start();
    REQUIRE(run_until_asked(1, most_micros));
    run_until_asked(2, 100'000); // the answer arrives
    feed_->gather_for(short_gather_micros);
    REQUIRE(run_until(
        [this]
        {
            return complete_ == 2;
        },
        most_micros));
    REQUIRE(questions_.size() >= 2);
    CHECK(questions_[1] == "1");
    CHECK(run_until_asked(4, most_micros)); // and goes on
    CHECK(questions_[2] == "1000");
    CHECK(complete_ == 2);
}

// Guards against an older state of a row that replaces a newer one.
TEST_CASE_FIXTURE(
    feed_fixture,
    "two questions are open, older is answered late, it is dropped")
{
    held_ = true;
    feed_->start();
    REQUIRE(run_until_asked(1, most_micros));
    REQUIRE(open_ != nullptr);
    answer_ = write_row(7);
    feed_->gather_for(short_gather_micros);
    REQUIRE(run_until(
        [this]
        {
            return complete_ == 2;
        },
        most_micros));
    respond(open_, write_row(6));
    soup_server_message_unpause(open_);
    run_until_asked(questions_.size() + 4, most_micros);
    REQUIRE(!reported_.empty());
    CHECK(std::count(reported_.begin(), reported_.end(), 6) == 0);
}

} // namespace
} // namespace fescuevane::platform
