// Purpose: tests of a process beside targets whose answers are far over their
// size. They guard against a process that such targets end, hang, or fill.
#include "tests/doors/doors_fixture.hpp"
#include "tests/doors/flooding_target.hpp"

#include <algorithm>
#include <memory>
#include <vector>

namespace fescuevane::doors
{
namespace
{

constexpr std::size_t few = 8;
constexpr std::size_t block_bytes = 65'536;
constexpr std::size_t blocks = 512; // 32 MiB an answer

// Each target has got at least two requests before the bounds are checked.
void play(flooding_answer const& answer)
{
    doors_fixture own;
    own.start_cell();
    own.note_start();
    std::vector<std::unique_ptr<flooding_target>> targets;
    for (std::size_t count = 0; count < few; ++count)
    {
        std::string const address =
            make_address(20 + static_cast<int>(count), 9000);
        targets.push_back(std::make_unique<flooding_target>(address, answer));
        own.list_target("t" + std::to_string(count), address);
    }
    constexpr int  tries = 600;
    constexpr auto pause = std::chrono::milliseconds(50);
    for (int count = 0; count < tries; ++count)
    {
        bool const all = std::all_of(targets.begin(), targets.end(),
                                     [](auto const& target)
                                     {
                                         return target->count_answers() >= 2;
                                     });
        if (all)
        {
            break;
        }
        std::this_thread::sleep_for(pause);
    }
    for (auto const& target : targets)
    {
        REQUIRE(target->count_answers() >= 2);
    }
    own.check_bounds();
    CHECK(request(make_address(10, 8080), make_job("/jobs/a1")) == 200);
    own.check_bounds();
}

std::string const block(block_bytes, 'x');

std::string make_head(std::string const& length)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + length +
           "\r\n\r\n";
}

} // namespace

TEST_CASE("announced answers of targets far over their size leave the process "
          "in its memory")
{
    play({make_head("Content-Length: " + std::to_string(blocks * block_bytes)),
          block, blocks});
}

TEST_CASE("chunked answers of targets far over their size leave the process in "
          "its memory")
{
    play({make_head("Transfer-Encoding: chunked"), "10000\r\n" + block + "\r\n",
          blocks});
}

} // namespace fescuevane::doors
