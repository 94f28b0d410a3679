// Purpose: fixture of tests of the HTTP front end over loopback.
#ifndef FESCUEVANE_TESTS_UNIT_HTTP_FIXTURE_HPP
#define FESCUEVANE_TESTS_UNIT_HTTP_FIXTURE_HPP

#include "core/job_result.hpp"
#include "entry/http_front.hpp"
#include "entry/tracing.hpp"
#include "state/config.hpp"
#include "state/ticket_error.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <map>
#include <string>
#include <vector>

namespace fescuevane::entry
{

struct http_answer
{
    unsigned const    status_ = 0; // 0: the connection failed
    std::string const body_;
    std::string const retry_after_;

    nlohmann::json json() const { return nlohmann::json::parse(body_); }
};

struct http_request
{
    std::string const                        method_;
    std::string const                        path_;
    std::string const                        body_;
    std::string const                        type_ = "application/json";
    std::map<std::string, std::string> const headers_ = {{"X-Team", "cafes"},
                                                         {"X-Key", "k1"}};
    bool const chunked_ = false; // without a declared length
};

// A front end with a sink that records, and a session that calls it.
struct http_fixture
{
    http_fixture()
        : front_(make_settings(), make_sink(), make_queries(), tracer_,
                 [](io::http_refusal, std::uint64_t) {})
    {
        front_.listen();
        session_ = soup_session_new_with_options("max-conns-per-host", 64,
                                                 "max-conns", 64, nullptr);
    }
    ~http_fixture()
    {
        // Callbacks of open requests refer to this fixture.
        soup_session_abort(session_);
        run_until(
            [this]
            {
                return pending_ == 0;
            });
        g_object_unref(session_);
    }
    http_fixture(http_fixture const&) = delete;
    http_fixture& operator=(http_fixture const&) = delete;

    static settings make_settings()
    {
        settings values;
        values.http_address_ = "127.0.0.1:0";
        values.operator_key_ = "op";
        values.max_open_calls_ = 3;
        values.max_body_bytes_ = 8 * 1024 * 1024;
        values.state_.host_ = host_id("entry-a-1");
        values.state_.domain_ = domain_id("amman-a");
        return values;
    }

    http_front::event_sink make_sink()
    {
        return [this](front_event event)
        {
            events_.push_back(event);
            if (react_)
            {
                react_(event);
            }
        };
    }

    front_queries make_queries()
    {
        return {
            .is_ready_ =
                [this]
            {
                return ready_;
            },
            .accepted_number_ =
                []
            {
                return ticket_number(6);
            },
            .committed_number_ =
                []
            {
                return ticket_number(7);
            },
            .effective_config_ =
                []
            {
                return make_config();
            },
            .write_config_ =
                []
            {
                return R"({"teams":{"a":{"share":1}}})";
            },
            .apply_ticket_ = &apply_fake_ticket,
            .find_ticket_ = &find_fake_ticket,
            .list_missing_domains_ =
                [](ticket_number)
            {
                return std::vector<domain_id>{domain_id("amman-b")};
            },
            .hash_key_ =
                [](std::string_view)
            {
                return "hash";
            },
            .list_shards_ =
                []
            {
                return std::vector<shard_status>{{}};
            },
            .list_targets_ =
                []
            {
                return std::vector<target_status>{{}};
            },
            .list_limits_ =
                []
            {
                return std::vector<limit_status>{{}};
            },
            .read_counters_ =
                []
            {
                return counter_values{41};
            },
        };
    }

    static std::shared_ptr<state::config const> make_config()
    {
        return std::make_shared<state::config const>(state::config{
            .teams_ = {{team_id("a"), {.team_ = team_id("a"), .share_ = 3}}}});
    }

    static std::string apply_fake_ticket(std::string_view text)
    {
        if (text.find("bad") != std::string_view::npos)
        {
            throw state::ticket_error("teams[0].share: expected 1 or more");
        }
        return R"({"teams":{"a":{"share":2}}})";
    }

    static std::optional<std::string> find_fake_ticket(ticket_number number)
    {
        return number == 7 ? std::optional<std::string>(
                                 R"({"number":7,"teams":[{"keys":["k1"]}]})")
                           : std::nullopt;
    }

    // Starts a request; `finish` gives its answer.
    SoupMessage* start(http_request const& request, std::size_t& slot)
    {
        std::string const uri =
            "http://127.0.0.1:" + std::to_string(front_.port()) + request.path_;
        SoupMessage* const message =
            soup_message_new(request.method_.c_str(), uri.c_str());
        for (auto const& [name, value] : request.headers_)
        {
            soup_message_headers_append(
                soup_message_get_request_headers(message), name.c_str(),
                value.c_str());
        }
        if (!request.body_.empty())
        {
            GBytes* const bytes =
                g_bytes_new(request.body_.data(), request.body_.size());
            GInputStream* const stream =
                g_memory_input_stream_new_from_bytes(bytes);
            soup_message_set_request_body(
                message, request.type_.c_str(), stream,
                request.chunked_ ? -1 : gssize(request.body_.size()));
            g_object_unref(stream);
            g_bytes_unref(bytes);
        }
        slot = answers_.size();
        answers_.emplace_back();
        ++pending_;
        soup_session_send_and_read_async(
            session_, message, G_PRIORITY_DEFAULT, nullptr, &on_answer,
            new std::pair<http_fixture*, std::size_t>(this, slot));
        return message;
    }

    static void on_answer(GObject* session, GAsyncResult* result, void* data)
    {
        auto* const place =
            static_cast<std::pair<http_fixture*, std::size_t>*>(data);
        GBytes* const bytes = soup_session_send_and_read_finish(
            SOUP_SESSION(session), result, nullptr);
        SoupMessage* const message = soup_session_get_async_result_message(
            SOUP_SESSION(session), result);
        place->first->answers_[place->second] = read_answer(message, bytes);
        --place->first->pending_;
        delete place;
    }

    static std::shared_ptr<http_answer const> read_answer(SoupMessage* message,
                                                          GBytes*      bytes)
    {
        if (bytes == nullptr)
        {
            return std::make_shared<http_answer const>();
        }
        gsize             size = 0;
        void const* const data = g_bytes_get_data(bytes, &size);
        std::string       body(static_cast<char const*>(data), size);
        char const* const retry = soup_message_headers_get_one(
            soup_message_get_response_headers(message), "Retry-After");
        g_bytes_unref(bytes);
        return std::make_shared<http_answer const>(
            http_answer{soup_message_get_status(message), std::move(body),
                        retry == nullptr ? "" : retry});
    }

    // Runs the main context until `done`; false after ten seconds.
    static bool run_until(std::function<bool()> const& done)
    {
        std::int64_t const end = g_get_monotonic_time() + 10'000'000;
        // Wakes the loop, so that the bound is checked without events.
        guint const alarm = g_timeout_add(
            50,
            [](void*) -> gboolean
            {
                return G_SOURCE_CONTINUE;
            },
            nullptr);
        while (!done() && g_get_monotonic_time() < end)
        {
            g_main_context_iteration(nullptr, TRUE);
        }
        g_source_remove(alarm);
        return done();
    }

    http_answer finish(std::size_t slot)
    {
        REQUIRE(run_until(
            [&]
            {
                return answers_[slot] != nullptr;
            }));
        return *answers_[slot];
    }

    http_answer call(http_request const& request)
    {
        std::size_t slot = 0;
        g_object_unref(start(request, slot));
        return finish(slot);
    }

    // Answers each submission with this result.
    void answer_jobs(job_result const& result)
    {
        react_ = [this, result](front_event const& event)
        {
            if (auto const* opened = std::get_if<submit_opened>(&event))
            {
                front_.deliver(job_told{opened->call_, result});
            }
        };
    }

    template <typename Event>
    std::vector<Event> list() const
    {
        std::vector<Event> found;
        for (front_event const& each : events_)
        {
            if (auto const* value = std::get_if<Event>(&each))
            {
                found.push_back(*value);
            }
        }
        return found;
    }

    bool                                            ready_ = true;
    std::size_t                                     pending_ = 0;
    std::vector<front_event>                        events_;
    std::function<void(front_event const&)>         react_;
    std::vector<std::shared_ptr<http_answer const>> answers_;
    span_tracer                                     tracer_{"", "entry-a-1"};
    http_front                                      front_;
    SoupSession*                                    session_ = nullptr;
};

} // namespace fescuevane::entry

#endif
