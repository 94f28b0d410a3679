// Purpose: tests of the HTTP front end over loopback.
#include "tests/unit/http_fixture.hpp"

namespace fescuevane::entry
{
namespace
{

job_result make_result(job_state state, std::string body = {},
                       std::string reason = {}, std::int64_t retry = 0)
{
    return {.key_ = {team_id("cafes"), job_id("order-17")},
            .state_ = state,
            .attempt_ = 1,
            .body_ = std::make_shared<std::string const>(std::move(body)),
            .reason_ = std::move(reason),
            .retry_after_micros_ = retry,
            .target_ = target_id("target-a-1"),
            .owner_ = host_id("entry-b-1")};
}

http_request make_submit(std::string body = R"({"service":"refills"})")
{
    return {.method_ = "POST", .path_ = "/v1/jobs", .body_ = std::move(body)};
}

// Guards against a large answer that arrives cut short, or a team or key that
// is lost on the way to the node.
TEST_CASE_FIXTURE(http_fixture,
                  "submit, answer of several megabytes, arrives whole")
{
    std::string const body(5'000'000, 'x');
    answer_jobs(make_result(job_state::answered, body));
    http_answer const answer = call(make_submit());
    CHECK(answer.status_ == 200);
    CHECK(answer.json()["body"].get_ref<std::string const&>() == body);
    CHECK(answer.json()["entry"] == "entry-a-1");
    CHECK(list<submit_opened>().at(0).spec_.key_.team_ == team_id("cafes"));
    CHECK(list<submit_opened>().at(0).key_ == "k1");
    CHECK(front_.open_calls() == 0);
}

// Guards against a state that reaches the caller under a misleading status.
TEST_CASE_FIXTURE(http_fixture, "submit, each state, has its status")
{
    struct expected
    {
        job_result const  result_;
        unsigned const    status_;
        std::string const retry_after_;
    };
    std::vector<expected> const cases = {
        {make_result(job_state::queued), 202, ""},
        {make_result(job_state::running), 202, ""},
        {make_result(job_state::unknown), 504, ""},
        {make_result(job_state::not_run, "", "queue full", 1'500'000), 503,
         "2"},
        {make_result(job_state::not_run, "", "no target is large enough"), 422,
         ""},
        {make_result(job_state::not_run, "", "conflicting content"), 409, ""},
        {make_result(job_state::not_run, "", "canceled by the caller"), 410,
         ""},
    };
    for (expected const& each : cases)
    {
        answer_jobs(each.result_);
        http_answer const answer = call(make_submit());
        CAPTURE(answer.body_);
        CHECK(answer.status_ == each.status_);
        CHECK(answer.retry_after_ == each.retry_after_);
    }
}

// Guards against a malformed call that reaches the node, or a status that
// blames the wrong thing.
TEST_CASE_FIXTURE(http_fixture, "front end, faulty call, is refused at once")
{
    std::map<std::string, std::string> const team = {{"X-Team", "cafes"}};
    std::map<std::string, std::string> const wrong = {{"X-Key", "oq"}};
    struct faulty
    {
        http_request const request_;
        unsigned const     status_;
    };
    std::vector<faulty> const cases = {
        {make_submit("{"), 400},
        {{"POST", "/v1/jobs", "{}", "text/plain"}, 415},
        {{"POST", "/v1/jobs", R"({"service":"a"})", "application/json", wrong},
         400}, // a key without a team
        {{"GET", "/v1/nothing"}, 404},
        {{"DELETE", "/v1/jobs"}, 405},
        {{"GET", "/v1/jobs/a?wait_ms=-1"}, 400},
        {{"GET", "/v1/jobs/a?later=1"}, 400},
        {{"GET", "/v1/jobs/a%2Fb"}, 400},
        {{"GET", "/v1/jobs/%ff"}, 400},
        {{"POST", "/v1/jobs/a/cancel", "{}"}, 400},
        {{"POST", "/v1/jobs/cancel", R"({"ids":[7]})"}, 400},
        {{"POST", "/v1/tickets", "{}", "application/json", wrong}, 403},
        {{"POST", "/v1/tickets", "{}", "application/json", team}, 401},
        {{"GET", "/v1/config", "", "", wrong}, 403},
    };
    for (faulty const& each : cases)
    {
        http_answer const answer = call(each.request_);
        CAPTURE(each.request_.path_);
        CAPTURE(answer.body_);
        CHECK(answer.status_ == each.status_);
        CHECK(answer.json().contains("error"));
    }
    CHECK(events_.empty());
}

// Guards against open services that ask their callers for a team.
TEST_CASE_FIXTURE(http_fixture,
                  "front end, call without team and key, reaches the node")
{
    answer_jobs({.key_ = {team_id("open"), job_id("a")},
                 .state_ = job_state::answered});
    http_answer const answer = call(
        {"POST", "/v1/jobs", R"({"service":"a"})", "application/json", {}});
    CHECK(answer.status_ == 200);
    CHECK(list<submit_opened>().at(0).spec_.key_.team_.empty());
}

// Guards against memory that a caller can fill with one large request.
TEST_CASE_FIXTURE(http_fixture, "front end, oversized request, is refused")
{
    std::string oversized;
    oversized.resize(9'000'000, ' ');
    http_answer const body = call(make_submit(oversized));
    CHECK(body.status_ == 413);
    http_answer const chunked = call({.method_ = "POST",
                                      .path_ = "/v1/jobs",
                                      .body_ = oversized,
                                      .chunked_ = true});
    CHECK(chunked.status_ == 413);
    http_answer const headers =
        call({.method_ = "GET",
              .path_ = "/healthz",
              .headers_ = {{"X-Key", std::string(20'000, 'k')}}});
    CHECK(headers.status_ == 431);
    CHECK(events_.empty());
}

// Guards against answers that are swapped when they come in another order than
// the calls, and against a second answer to one call.
TEST_CASE_FIXTURE(http_fixture,
                  "front end, answers in reverse order, reach their callers")
{
    std::vector<std::size_t> slots(3);
    for (std::size_t& slot : slots)
    {
        g_object_unref(start(make_submit(), slot));
        std::size_t const count = events_.size() + 1;
        REQUIRE(run_until(
            [&]
            {
                return events_.size() == count;
            }));
    }
    auto const opened = list<submit_opened>();
    for (std::size_t i = opened.size(); i-- > 0;)
    {
        job_told const told{opened[i].call_, make_result(job_state::answered,
                                                         std::to_string(i))};
        front_.deliver(told);
        front_.deliver(told);
    }
    for (std::size_t i = 0; i < slots.size(); ++i)
    {
        CHECK(finish(slots[i]).json()["body"] == std::to_string(i));
    }
}

// Guards against an unbounded number of open calls, and against a refusal that
// doesn't say that nothing ran.
TEST_CASE_FIXTURE(http_fixture, "front end, too many open calls, is not run")
{
    std::vector<std::size_t> slots(3);
    for (std::size_t& slot : slots)
    {
        g_object_unref(start(make_submit(), slot));
    }
    REQUIRE(run_until(
        [&]
        {
            return front_.open_calls() == 3;
        }));
    http_answer const answer = call(make_submit());
    CHECK(answer.status_ == 503);
    CHECK(answer.json()["state"] == "not_run");
    CHECK(answer.retry_after_ == "1");
    CHECK(call({"GET", "/v1/jobs/a"}).retry_after_ == "1");
    CHECK(list<submit_opened>().size() == 3);
}

// Guards against rows that stay when callers close their connections.
TEST_CASE_FIXTURE(http_fixture, "front end, closed connection, is abandoned")
{
    std::size_t slot = 0;
    g_object_unref(start(make_submit(), slot));
    REQUIRE(run_until(
        [&]
        {
            return front_.open_calls() == 1;
        }));
    soup_session_abort(session_);
    REQUIRE(run_until(
        [&]
        {
            return front_.open_calls() == 0;
        }));
    CHECK(list<call_abandoned>().size() == 1);
    CHECK(list<call_abandoned>().at(0).call_ ==
          list<submit_opened>().at(0).call_);
}

// Guards against a rejection that the caller reads as something else.
TEST_CASE_FIXTURE(http_fixture, "front end, rejected call, has its status")
{
    std::vector<std::pair<call_error, unsigned>> const cases = {
        {call_error::key_missing, 401},
        {call_error::key_rejected, 403},
        {call_error::not_found, 404},
        {call_error::invalid, 400}};
    for (auto const& [error, status] : cases)
    {
        react_ = [this, error = error](front_event const& event)
        {
            front_.deliver(call_rejected{std::get<lookup_opened>(event).call_,
                                         error, "why"});
        };
        CHECK(call({"GET", "/v1/jobs/order-17?wait_ms=5"}).status_ == status);
    }
}

// Guards against a cancellation that is answered with a count, not the job.
TEST_CASE_FIXTURE(http_fixture, "cancel, one and many, answer job and count")
{
    react_ = [this](front_event const& event)
    {
        if (auto const* opened = std::get_if<cancel_opened>(&event))
        {
            front_.deliver(cancel_told{opened->call_, opened->jobs_.size()});
        }
        else if (auto const* asked = std::get_if<lookup_opened>(&event))
        {
            front_.deliver(
                job_told{asked->call_, make_result(job_state::running)});
        }
    };
    CHECK(call({"POST", "/v1/jobs/order-17/cancel"}).json()["state"] ==
          "running");
    CHECK(list<lookup_opened>().at(0).key_ == "k1");
    http_answer const many =
        call({"POST", "/v1/jobs/cancel", R"({"ids":["a","b"]})"});
    CHECK(many.json()["accepted"] == 2);
}

// Guards against a trace that ends at the entry process.
TEST_CASE_FIXTURE(http_fixture, "submit, traceparent, is passed to the node")
{
    std::string const trace = "0af7651916cd43dd8448eb211c80319c";
    answer_jobs(make_result(job_state::answered));
    call({.method_ = "POST",
          .path_ = "/v1/jobs",
          .body_ = R"({"service":"refills"})",
          .headers_ = {
              {"X-Team", "cafes"},
              {"traceparent", "00-" + trace + "-b7ad6b7169203331-01"}}});
    call(make_submit());
    auto const opened = list<submit_opened>();
    CHECK(opened.at(0).spec_.traceparent_.substr(3, 32) == trace);
    CHECK(opened.at(1).spec_.traceparent_.size() == 55);
}

// Guards against a call that stays open forever when the node tells nothing.
TEST_CASE_FIXTURE(http_fixture, "submit, node tells nothing, is unknown")
{
    http_answer const answer =
        call(make_submit(R"({"service":"refills","wait_ms":1})"));
    CHECK(answer.status_ == 504);
    CHECK(answer.json()["state"] == "unknown");
    CHECK(list<call_abandoned>().size() == 1);
}

// Guards against a ticket whose stage gets the wrong status, and against keys
// in what is read back.
TEST_CASE_FIXTURE(http_fixture, "tickets, filed and read, show stage, no keys")
{
    std::map<std::string, std::string> const key = {{"X-Key", "op"}};
    react_ = [this](front_event const& event)
    {
        front_.deliver(
            ticket_told{{.call_ = std::get<ticket_opened>(event).call_,
                         .number_ = 7,
                         .stage_ = state::ticket_stage::committed,
                         .missing_ = {domain_id("amman-b")}}});
    };
    auto const post = [&](std::string const& path, std::string const& body)
    {
        return call({"POST", path, body, "application/json", key});
    };
    auto const get = [&](std::string const& path)
    {
        return call({"GET", path, "", "", key});
    };
    CHECK(post("/v1/tickets", R"({"number":7})").status_ == 202);
    CHECK(post("/v1/tickets/validate", "{}").json()["valid"] == true);
    CHECK(post("/v1/tickets/validate", R"({"bad":1})").status_ == 422);
    CHECK(post("/v1/tickets/diff", "{}").json()["changes"][0] ==
          nlohmann::json(
              {{"path", "/teams/a/share"}, {"before", 1}, {"after", 2}}));
    http_answer const ticket = get("/v1/tickets/7");
    CHECK(ticket.json()["stage"] == "committed");
    CHECK(ticket.body_.find("k1") == std::string::npos);
    CHECK(ticket.json()["ticket"]["teams"][0]["key_hashes"][0] == "hash");
    CHECK(get("/v1/tickets/8").status_ == 404);
    CHECK(get("/v1/tickets/x").status_ == 400);
    CHECK(get("/v1/config").json()["committed"] == 7);
}

// Guards against a read-back that fails or misses its list.
TEST_CASE_FIXTURE(http_fixture, "read-backs, each path, answer their lists")
{
    for (std::string const name : {"teams", "targets", "shards", "limits"})
    {
        CAPTURE(name);
        CHECK(call({"GET", "/v1/" + name}).json()[name].size() == 1);
    }
    CHECK(call({"GET", "/v1/info"}).json()["host"] == "entry-a-1");
    CHECK(call({"GET", "/healthz"}).status_ == 200);
    CHECK(call({"GET", "/readyz"}).status_ == 200);
    ready_ = false;
    CHECK(call({"GET", "/readyz"}).status_ == 503);
    std::string const metrics = call({"GET", "/metrics"}).body_;
    CHECK(metrics.find("fescuevane_calls_opened_total 41\n") !=
          std::string::npos);
}

} // namespace
} // namespace fescuevane::entry
