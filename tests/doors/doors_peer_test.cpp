// Purpose: tests of the ports between hosts beside clients that keep no limit.
// They guard against a process that such clients end, hang, or fill.
#include "cell.grpc.pb.h"
#include "peer.grpc.pb.h"
#include "tests/doors/doors_fixture.hpp"

#include <grpcpp/grpcpp.h>

namespace fescuevane::doors
{
namespace
{

constexpr int         peer_port = 8090;
constexpr std::size_t large_bytes = std::size_t{32} << 20U;
constexpr std::size_t few = 8;
constexpr std::size_t many = 600;

std::shared_ptr<grpc::Channel> open_channel()
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    return grpc::CreateCustomChannel(make_address(10, peer_port),
                                     grpc::InsecureChannelCredentials(),
                                     arguments);
}

void set_deadline(grpc::ClientContext& context)
{
    constexpr auto wait = std::chrono::seconds(20);
    context.set_wait_for_ready(true);
    context.set_deadline(std::chrono::system_clock::now() + wait);
}

struct cell_peer
{
    static void start(doors_fixture& own) { own.start_cell(); }
    static void send_large()
    {
        grpc::ClientContext context;
        set_deadline(context);
        cell::v1::Heartbeat beat;
        cell::v1::Heartbeat answer;
        beat.set_host(std::string(large_bytes, 'x'));
        cell::v1::Cell::NewStub(open_channel())->Beat(&context, beat, &answer);
    }
    // A call of an unknown kind gets an answer and changes nothing.
    static bool is_answered()
    {
        grpc::ClientContext context;
        set_deadline(context);
        cell::v1::JobCall   call;
        cell::v1::JobAnswer answer;
        call.set_kind(static_cast<cell::v1::CallKind>(99));
        return cell::v1::Cell::NewStub(open_channel())
                   ->Route(&context, call, &answer)
                   .error_code() == grpc::StatusCode::INVALID_ARGUMENT;
    }
};

struct plain_peer
{
    static void start(doors_fixture& own) { own.start_plain(); }
    static void send_large()
    {
        grpc::ClientContext context;
        set_deadline(context);
        auto const    stub = v1::Peer::NewStub(open_channel());
        auto const    stream = stub->Exchange(&context);
        v1::PeerBatch batch;
        batch.set_host(std::string(large_bytes, 'x'));
        stream->Write(batch);
        stream->WritesDone();
        stream->Finish();
    }
    static bool is_answered()
    {
        grpc::ClientContext context;
        set_deadline(context);
        auto const stub = v1::Peer::NewStub(open_channel());
        auto const stream = stub->Exchange(&context);
        stream->WritesDone();
        return stream->Finish().ok();
    }
};

template <typename Port>
void play(flood const& sent)
{
    doors_fixture own;
    Port::start(own);
    own.note_start();
    crowd const clients(make_address(10, peer_port), sent);
    own.check_bounds();
    CHECK(Port::is_answered());
    own.check_bounds();
}

} // namespace
} // namespace fescuevane::doors

TYPE_TO_STRING_AS("cell_peer", fescuevane::doors::cell_peer);
TYPE_TO_STRING_AS("plain_peer", fescuevane::doors::plain_peer);

namespace fescuevane::doors
{

TEST_CASE_TEMPLATE("large messages leave the process in its memory", Port,
                   cell_peer, plain_peer)
{
    doors_fixture own;
    Port::start(own);
    own.note_start();
    std::vector<std::thread> senders;
    for (std::size_t count = 0; count < few; ++count)
    {
        senders.emplace_back(&Port::send_large);
    }
    for (std::thread& each : senders)
    {
        each.join();
    }
    own.check_bounds();
    CHECK(Port::is_answered());
}

TEST_CASE_TEMPLATE("idle connections beyond the descriptors leave places for "
                   "an ordinary call",
                   Port, cell_peer, plain_peer)
{
    play<Port>({"", "", 0, many});
}

TEST_CASE_TEMPLATE("garbage leaves the process in its memory", Port, cell_peer,
                   plain_peer)
{
    constexpr std::size_t blocks = 128;
    play<Port>({"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", std::string(65'536, 'x'),
                blocks, few});
}

// Each port has bounds of its own, which must fit in the memory together.
TEST_CASE("all ports of a cell at once leave the process in its memory")
{
    constexpr std::size_t blocks = 128;
    constexpr int         callers_port = 8080;
    doors_fixture         own;
    own.start_cell();
    own.note_start();
    std::string const block(65'536, 'x');
    flood const       bodies = {
              make_post("/jobs/crowd1", "Transfer-Encoding: chunked"),
              "10000\r\n" + block + "\r\n", blocks, few};
    std::vector<std::thread> senders;
    for (std::size_t count = 0; count < few; ++count)
    {
        senders.emplace_back(&cell_peer::send_large);
    }
    for (int const port : {callers_port, 8081, 8091})
    {
        senders.emplace_back(
            [port, bodies]
            {
                crowd const clients(make_address(10, port), bodies);
            });
    }
    for (std::thread& each : senders)
    {
        each.join();
    }
    own.check_bounds();
    CHECK(cell_peer::is_answered());
    CHECK(request(make_address(10, callers_port), make_job("/jobs/a1")) == 200);
    own.check_bounds();
}

} // namespace fescuevane::doors
