// Purpose: tests of the link between two hosts, over the loopback interface.
#include "io/peer_limits.hpp"
#include "peer/peer_link.hpp"

#include "cell/advice_reply.hpp"
#include "cell/heartbeat.hpp"
#include "cell/job_answer.hpp"
#include "cell/job_call.hpp"
#include "cell/send_question.hpp"
#include "io/main_loop.hpp"
#include "io/timer.hpp"
#include "peer/peer_error.hpp"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fescuevane::peer
{
namespace
{

// Listens on a free port; closes it in the end.
class listener
{
public:
    listener() : socket_(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t   size = sizeof address;
        auto* const place = reinterpret_cast<sockaddr*>(&address);
        REQUIRE(bind(socket_, place, size) == 0);
        REQUIRE(listen(socket_, SOMAXCONN) == 0);
        getsockname(socket_, place, &size);
        port_ = ntohs(address.sin_port);
    }
    ~listener() { close(socket_); }
    listener(listener const&) = delete;
    listener& operator=(listener const&) = delete;

    [[nodiscard]] int           get() const { return socket_; }
    [[nodiscard]] std::uint16_t port() const { return port_; }

private:
    int           socket_;
    std::uint16_t port_ = 0;
};

// Passes bytes between its connections and a port, in the main loop. Each
// connection passes nothing until some time after it was opened.
class relay
{
public:
    explicit relay(std::uint16_t to, std::int64_t delay_micros = 0)
        : to_(to)
        , delay_micros_(delay_micros)
        , opening_(
              [this]
              {
                  open_due_pipes();
              })
        , accepting_(g_unix_fd_add(listener_.get(), G_IO_IN, &on_accept, this))
    {
    }
    ~relay()
    {
        silence();
        g_source_remove(accepting_);
        for (auto const& own : pipes_)
        {
            close(own->from_);
        }
    }
    relay(relay const&) = delete;
    relay& operator=(relay const&) = delete;

    [[nodiscard]] std::uint16_t port() const { return listener_.port(); }
    [[nodiscard]] std::size_t   connections() const { return connections_; }

    // Connections that are open stay so and pass nothing any more.
    void silence()
    {
        for (auto const& own : pipes_)
        {
            if (own->source_ != 0)
            {
                g_source_remove(own->source_);
                own->source_ = 0;
            }
            own->opens_at_ = instant::never();
        }
    }

private:
    struct pipe
    {
        int const from_;
        int const to_;
        instant   opens_at_; // never: it is open or was closed
        guint     source_ = 0;
    };

    static gboolean on_accept(int   socket_of_listener, GIOCondition /*why*/,
                              void* data)
    {
        auto&       own = *static_cast<relay*>(data);
        int const   near = accept(socket_of_listener, nullptr, nullptr);
        int const   far = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(own.to_);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(connect(far, reinterpret_cast<sockaddr*>(&address),
                        sizeof address) == 0);
        ++own.connections_;
        own.add_pipe(near, far);
        own.add_pipe(far, near);
        return G_SOURCE_CONTINUE;
    }

    static gboolean on_bytes(int from, GIOCondition /*why*/, void* data)
    {
        auto&         own = *static_cast<pipe*>(data);
        char          bytes[4096];
        ssize_t const size = read(from, bytes, sizeof bytes);
        if (size <= 0 ||
            write(own.to_, bytes, static_cast<size_t>(size)) != size)
        {
            shutdown(own.to_, SHUT_RDWR);
            own.source_ = 0;
            return G_SOURCE_REMOVE;
        }
        return G_SOURCE_CONTINUE;
    }

    void add_pipe(int from, int to)
    {
        pipes_.push_back(std::make_unique<pipe>(
            pipe{from, to, io::read_clock().after(delay_micros_)}));
        open_due_pipes();
    }

    void open_due_pipes()
    {
        instant const now = io::read_clock();
        instant       next = instant::never();
        for (auto const& own : pipes_)
        {
            if (own->opens_at_ <= now)
            {
                own->opens_at_ = instant::never();
                own->source_ =
                    g_unix_fd_add(own->from_, G_IO_IN, &on_bytes, own.get());
            }
            next = std::min(next, own->opens_at_);
        }
        opening_.arm(next);
    }

    std::uint16_t const                to_;
    std::int64_t const                 delay_micros_;
    listener                           listener_;
    io::timer                          opening_;
    guint                              accepting_;
    std::vector<std::unique_ptr<pipe>> pipes_;
    std::size_t                        connections_ = 0;
};

std::string name_address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::uint16_t find_port()
{
    return listener().port();
}

struct link_fixture
{
    std::string   address_;
    std::uint16_t other_port_ = 0; // set by start_other
    std::string   other_address_;

    std::vector<cell::heartbeat>    beats_;      // heard by the first host
    std::vector<cell::heartbeat>    others_;     // heard by the other one
    std::size_t                     called_ = 0; // the first host, by others
    std::vector<std::uint64_t>      replied_;
    std::vector<cell::job_answer>   answers_;
    std::vector<cell::advice_reply> advice_;
    std::optional<peer_link>        other_;
    std::optional<peer_link>        link_;

    link_fixture()
    {
        std::uint16_t const port = listen_on_free_port(
            link_,
            peer_handlers{
                .beat_ =
                    [this](cell::heartbeat const& beat)
                {
                    beats_.push_back(beat);
                },
                .answer_beat_ =
                    []
                {
                    return make_beat("host-1");
                },
                .called_ =
                    [this](std::uint64_t, cell::job_call const&)
                {
                    ++called_; // and isn't answered
                },
                .replied_ =
                    [this](std::uint64_t           request,
                           cell::job_answer const& answer)
                {
                    replied_.push_back(request);
                    answers_.push_back(answer);
                },
                .asked_ = [](std::uint64_t, cell::send_question const&) {},
                .advised_ =
                    [this](cell::advice_reply const& reply)
                {
                    advice_.push_back(reply);
                }});
        address_ = name_address(port);
    }

    // Another process may take a free port before the link listens on it.
    static std::uint16_t listen_on_free_port(std::optional<peer_link>& link,
                                             peer_handlers const&      handlers)
    {
        constexpr int attempts = 20;
        for (int attempt = 1;; ++attempt)
        {
            std::uint16_t const port = find_port();
            try
            {
                link.emplace(name_address(port), io::peer_limits(), handlers);
                return port;
            }
            catch (peer_error const&)
            {
                REQUIRE(attempt < attempts);
            }
        }
    }

    void start_other()
    {
        other_port_ = listen_on_free_port(
            other_,
            peer_handlers{
                .beat_ =
                    [this](cell::heartbeat const& beat)
                {
                    others_.push_back(beat);
                },
                .answer_beat_ =
                    []
                {
                    return make_beat("host-2");
                },
                .called_ =
                    [this](std::uint64_t call, cell::job_call const&)
                {
                    other_->reply(call,
                                  {.outcome_ = cell::job_outcome::uncertain,
                                   .retry_after_ms_ = 7});
                },
                .replied_ = [](std::uint64_t, cell::job_answer const&) {},
                .asked_ =
                    [this](std::uint64_t call, cell::send_question const&)
                {
                    other_->advise(call, {.answered_ = true});
                },
                .advised_ = [](cell::advice_reply const&) {}});
        other_address_ = name_address(other_port_);
    }

    static cell::heartbeat make_beat(std::string const& host)
    {
        plan::load_summary const load{
            .capacity_ = {4000, 8192, 0},
            .organisations_ = {
                {organisation_id("bar"), {500, 0, 0}, {}, {}},
                {organisation_id("cafe"),
                 {1000, 512, 0},
                 {2000, 1024, 0},
                 plan::limit_claim{{2000, 1024, 0}, 1'000'007}}}};
        return {.host_ = host_id(host),
                .incarnation_ = 3,
                .shards_ = {{.shard_ = {domain_id("east"), 1},
                             .epoch_ = 2,
                             .serving_ = true,
                             .load_ = load}}};
    }

    void beat(std::string const& address, std::int64_t micros)
    {
        link_->beat(address, make_beat("host-1"),
                    io::read_clock().after(micros));
    }

    // Runs the main loop until the condition holds, at most for some time.
    template <typename Condition>
    bool run_until(Condition const& holds, std::int64_t micros)
    {
        instant const end = io::read_clock().after(micros);
        bool          due = false;
        io::timer     wake(
            [&due]
            {
                due = true;
            });
        wake.arm(end);
        while (!due && !holds())
        {
            g_main_context_iteration(nullptr, TRUE);
        }
        return holds();
    }
};

TEST_CASE_FIXTURE(link_fixture, "other host is well, heartbeats, each answered")
{
    start_other();
    constexpr std::size_t count = 50;
    for (std::size_t row = 0; row < count; ++row)
    {
        beat(other_address_, 10 * micros_per_second);
    }
    CHECK(run_until(
        [this]
        {
            return beats_.size() == count;
        },
        10 * micros_per_second));
    REQUIRE(others_.size() == count);
    CHECK(beats_.back() == make_beat("host-2"));
    CHECK(others_.back() == make_beat("host-1"));
}

// Guards against heartbeats that are lost while a host is slow: an attempt to
// connect was ended after 100 ms, and what waited for it failed.
TEST_CASE_FIXTURE(link_fixture,
                  "first connection is slow, heartbeats, each answered")
{
    start_other();
    constexpr std::int64_t delay_micros = 300'000;
    relay                  between(other_port_, delay_micros);
    constexpr std::size_t  count = 50;
    for (std::size_t row = 0; row < count; ++row)
    {
        beat(name_address(between.port()), 10 * micros_per_second);
    }
    CHECK(run_until(
        [this]
        {
            return beats_.size() == count;
        },
        10 * micros_per_second));
    CHECK(others_.size() == count);
    CHECK(between.connections() == 1);
}

TEST_CASE_FIXTURE(link_fixture,
                  "other host is well, call and question, answers")
{
    start_other();
    instant const deadline = io::read_clock().after(10 * micros_per_second);
    link_->call(4, other_address_,
                {.kind_ = cell::call_kind::lookup,
                 .id_ = job_id("aa01"),
                 .shard_ = {domain_id("east"), 0},
                 .deadline_ = deadline});
    link_->ask({.request_ = 5,
                .question_ = {.stage_ = {job_id("aa01"), 0, 1}},
                .address_ = other_address_,
                .deadline_ = deadline});
    CHECK(run_until(
        [this]
        {
            return !answers_.empty() && !advice_.empty();
        },
        10 * micros_per_second));
    REQUIRE(answers_.size() == 1);
    CHECK(replied_[0] == 4);
    CHECK(answers_[0].retry_after_ms_ == 7);
    REQUIRE(advice_.size() == 1);
    CHECK(advice_[0].request_ == 5);
    CHECK(advice_[0].answered_);
}

// Guards against calls that never end: their deadlines are checked by the
// library, which does so only when it is told to.
TEST_CASE_FIXTURE(link_fixture, "other host is silent, call, ends uncertain")
{
    listener const silent; // accepts, and answers nothing
    link_->call(4, name_address(silent.port()),
                {.kind_ = cell::call_kind::lookup,
                 .id_ = job_id("aa01"),
                 .shard_ = {domain_id("east"), 0},
                 .deadline_ = io::read_clock().after(300'000)});
    CHECK(run_until(
        [this]
        {
            return !answers_.empty();
        },
        5 * micros_per_second));
    REQUIRE(answers_.size() == 1);
    CHECK(answers_[0].outcome_ == cell::job_outcome::uncertain);
}

// Guards against a host that is never heard again: a connection on which one
// answer was lost passes nothing further, and nothing closes it.
TEST_CASE_FIXTURE(link_fixture,
                  "connection is silent, heartbeats go on, a new one is opened")
{
    start_other();
    relay             between(other_port_);
    std::string const address = name_address(between.port());
    auto const        is_heard = [this]
    {
        return !beats_.empty();
    };
    beat(address, 10 * micros_per_second);
    REQUIRE(run_until(is_heard, 10 * micros_per_second));
    between.silence();
    beats_.clear();
    constexpr std::int64_t interval = 300'000;
    instant const          silenced = io::read_clock();
    while (beats_.empty() &&
           silenced.remaining_until(io::read_clock()) < 10 * micros_per_second)
    {
        beat(address, micros_per_second);
        run_until(is_heard, interval);
    }
    CHECK(!beats_.empty());
    CHECK(between.connections() == 2);
    CHECK(silenced.remaining_until(io::read_clock()) < 6 * micros_per_second);
}

// The same for calls, which a host that owns nothing makes seldom.
TEST_CASE_FIXTURE(link_fixture,
                  "connection is silent, call ends late, next one is answered")
{
    start_other();
    relay             between(other_port_);
    std::string const address = name_address(between.port());
    beat(address, 10 * micros_per_second);
    REQUIRE(run_until(
        [this]
        {
            return !beats_.empty();
        },
        10 * micros_per_second));
    between.silence();
    constexpr std::int64_t call_micros = 2'500'000;
    for (std::uint64_t request = 1; request <= 2; ++request)
    {
        link_->call(request, address,
                    {.kind_ = cell::call_kind::lookup,
                     .id_ = job_id("aa01"),
                     .shard_ = {domain_id("east"), 0},
                     .deadline_ = io::read_clock().after(call_micros)});
        CHECK(run_until(
            [this, request]
            {
                return answers_.size() == request;
            },
            10 * micros_per_second));
    }
    REQUIRE(answers_.size() == 2);
    CHECK(answers_[0].retry_after_ms_ == 0); // no answer
    CHECK(answers_[1].retry_after_ms_ == 7);
}

// Guards against a process that is killed at the end of its grace time: it
// waited for the deadlines of calls that it had open.
TEST_CASE_FIXTURE(link_fixture, "call is open, link ends, at once")
{
    start_other();
    relay             between(other_port_);
    std::string const address = name_address(between.port());
    beat(address, 10 * micros_per_second);
    REQUIRE(run_until(
        [this]
        {
            return !beats_.empty();
        },
        10 * micros_per_second));
    between.silence();
    link_->call(4, address,
                {.kind_ = cell::call_kind::lookup,
                 .id_ = job_id("aa01"),
                 .shard_ = {domain_id("east"), 0},
                 .deadline_ = io::read_clock().after(10 * micros_per_second)});
    instant const begun = io::read_clock();
    link_.reset();
    CHECK(begun.remaining_until(io::read_clock()) < 5 * micros_per_second);
    CHECK(answers_.empty());
}

// The same for calls of other hosts that wait for their answers.
TEST_CASE_FIXTURE(link_fixture,
                  "call of other host is open, link ends, at once")
{
    start_other();
    other_->call(4, address_,
                 {.kind_ = cell::call_kind::lookup,
                  .id_ = job_id("aa01"),
                  .shard_ = {domain_id("east"), 0},
                  .deadline_ = io::read_clock().after(10 * micros_per_second)});
    REQUIRE(run_until(
        [this]
        {
            return called_ == 1;
        },
        5 * micros_per_second));
    instant const begun = io::read_clock();
    link_.reset();
    CHECK(begun.remaining_until(io::read_clock()) < 5 * micros_per_second);
}

} // namespace
} // namespace fescuevane::peer
