// Purpose: tests of the HTTP ports beside clients that keep no limit. They
// guard against a process that such clients end, hang, or fill.
#include "tests/doors/doors_fixture.hpp"

namespace fescuevane::doors
{
namespace
{

// Ports. `post_path` is where a body is decoded, `ordinary` what must be
// answered.
struct front
{
    static constexpr int         port = 8080;
    static constexpr char const* get_path = "/jobs/";
    static constexpr char const* post_path = "/jobs/crowd1";
    static void                  start(doors_fixture& own) { own.start_cell(); }
    static std::string           ordinary() { return make_job("/jobs/a1"); }
};

struct ready : front
{
    static constexpr int port = 8081;
    static std::string   ordinary() { return make_get("/"); }
};

struct metrics : front
{
    static constexpr int port = 8091;
    static std::string   ordinary() { return make_get("/"); }
};

struct plain
{
    static constexpr int         port = 8080;
    static constexpr char const* get_path = "/healthz";
    static constexpr char const* post_path = "/v1/jobs";
    static void        start(doors_fixture& own) { own.start_plain(); }
    static std::string ordinary() { return make_get("/healthz"); }
};

constexpr std::size_t block_bytes = 65'536;
constexpr std::size_t blocks = 128; // 8 MiB a connection
constexpr std::size_t few = 8;
constexpr std::size_t many = 600;

// The ordinary request comes while the connections of the crowd are open.
template <typename Port>
void play(flood const& sent)
{
    doors_fixture own;
    Port::start(own);
    own.note_start();
    std::string const address = make_address(10, Port::port);
    crowd const       clients(address, sent);
    own.check_bounds();
    CHECK(request(address, Port::ordinary()) == 200);
    own.check_bounds();
}

std::string const block(block_bytes, 'x');

// Bodies of requests that the HTTP library answers itself.
template <typename Port>
void play_unrouted(std::string const& method_and_target)
{
    play<Port>({method_and_target + " HTTP/1.1\r\nHost: desk.example\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n",
                "10000\r\n" + block + "\r\n", blocks, few});
}

} // namespace
} // namespace fescuevane::doors

TYPE_TO_STRING_AS("front", fescuevane::doors::front);
TYPE_TO_STRING_AS("ready", fescuevane::doors::ready);
TYPE_TO_STRING_AS("metrics", fescuevane::doors::metrics);
TYPE_TO_STRING_AS("plain", fescuevane::doors::plain);

namespace fescuevane::doors
{

TEST_CASE_TEMPLATE("announced bodies far over the limit leave the process in "
                   "its memory",
                   Port, front, ready, metrics, plain)
{
    play<Port>(
        {make_post(Port::post_path,
                   "Content-Length: " + std::to_string(blocks * block_bytes)),
         block, blocks - 1, few});
}

TEST_CASE_TEMPLATE("chunked bodies far over the limit leave the process in its "
                   "memory",
                   Port, front, ready, metrics, plain)
{
    play<Port>({make_post(Port::post_path, "Transfer-Encoding: chunked"),
                "10000\r\n" + block + "\r\n", blocks, few});
}

TEST_CASE_TEMPLATE(
    "asterisk as target, chunked body far over the limit, leaves "
    "the process in its memory",
    Port, front, ready, metrics, plain)
{
    play_unrouted<Port>("OPTIONS *");
}

// Written as /a/../b, the library resolves the path and passes it on.
TEST_CASE_TEMPLATE("dotted path, chunked body far over the limit, leaves the "
                   "process in its memory",
                   Port, front, ready, metrics, plain)
{
    play_unrouted<Port>("POST /a%2f..%2fb");
}

TEST_CASE_TEMPLATE("scheme of another protocol, chunked body far over the "
                   "limit, leaves the process in its memory",
                   Port, front, ready, metrics, plain)
{
    play_unrouted<Port>("POST ftp://x/");
}

TEST_CASE_TEMPLATE("bytewise bodies over the limit leave the process in its "
                   "memory",
                   Port, front, ready, metrics, plain)
{
    play<Port>({make_post(Port::post_path, "Transfer-Encoding: chunked"),
                "1\r\nx\r\n", 2 * max_body_bytes, few});
}

TEST_CASE_TEMPLATE("idle connections beyond the descriptors leave places for "
                   "an ordinary request",
                   Port, front, ready, metrics, plain)
{
    play<Port>({"", "", 0, many});
}

// The HTTP library of today doesn't notice the end of a connection that was
// used.
TEST_CASE_TEMPLATE("served connections beyond the descriptors leave places for "
                   "an ordinary request",
                   Port, front, ready, metrics, plain)
{
    play<Port>({"", make_get(Port::get_path), 1, many});
}

TEST_CASE_TEMPLATE("closed connections, one request each, leave the process in "
                   "its memory",
                   Port, front, ready, metrics, plain)
{
    constexpr int connections = 12'000;
    doors_fixture own;
    Port::start(own);
    own.note_start();
    std::string const address = make_address(10, Port::port);
    for (int count = 0; count < connections; ++count)
    {
        request(address, make_get(Port::get_path));
    }
    own.check_bounds();
    CHECK(request(address, Port::ordinary()) == 200);
}

TEST_CASE_TEMPLATE("headers without end leave the process in its memory", Port,
                   front, ready, metrics, plain)
{
    constexpr std::size_t lines = 8192;
    play<Port>({"GET " + std::string(Port::get_path) +
                    " HTTP/1.1\r\nHost: desk.example\r\n",
                "X-Filler: " + std::string(1000, 'a') + "\r\n", lines, few});
}

TEST_CASE_TEMPLATE("line of a header without end leaves the process in its "
                   "memory",
                   Port, front, ready, metrics, plain)
{
    play<Port>(
        {"GET " + std::string(Port::get_path) + " HTTP/1.1\r\nX-Filler: ",
         block, blocks, few});
}

TEST_CASE_TEMPLATE("pipelined requests whose answers aren't read leave the "
                   "process in its memory",
                   Port, front, ready, metrics, plain)
{
    constexpr std::size_t requests = 4000;
    play<Port>({"", make_get(Port::get_path), requests, few});
}

TEST_CASE_TEMPLATE("nested body within the limit leaves the process in its "
                   "memory",
                   Port, front, ready, metrics, plain)
{
    constexpr std::size_t depth = 30'000;
    play<Port>({"",
                make_post_of(Port::post_path,
                             std::string(depth, '[') + std::string(depth, ']')),
                4, few});
}

// Many clients, each inside the limits, whose bodies take many times their size
// once they are parsed.
TEST_CASE_TEMPLATE("whole bodies within the limit, many at once, leave the "
                   "process in its memory",
                   Port, front, plain)
{
    constexpr std::size_t connections = 60;
    constexpr std::size_t values = 30'000;
    std::string           list;
    for (std::size_t count = 0; count < values; ++count)
    {
        list += "0,";
    }
    play<Port>({"",
                make_post_of(Port::post_path,
                             R"({"taskSpec":"one","steps":[{"count":1,)"
                             R"("cpu":500}],"unused":[)" +
                                 list + "0]}"),
                4, connections});
}

} // namespace fescuevane::doors
