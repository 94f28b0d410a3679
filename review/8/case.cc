// A worker crashes and starts again under the id that it had, as one of another
// kind. It writes its entry anew 0.7 s later (heartbeatMs is 1.5 s). ROUTE: no
// task may start there whose step requires the label that it no longer has.
#include "harness.hh"

using namespace harness;

int main(int, char** argv)
{
    record::open(argv[1]);
    temporary_folder const folder;
    bool const             trouble = is_trouble();
    record::line("trouble: %s", trouble ? "yes" : "no");

    std::vector<std::string> const zones = {"zone-a", "zone-b", "zone-c"};
    store                          platform("127.0.7.1");
    run_log                        runs;
    platform.put("op", "config", make_config(3).dump());
    std::vector<std::unique_ptr<worker>> workers;
    std::vector<std::unique_ptr<host>>   hosts;
    for (std::size_t at = 0; at < zones.size(); ++at)
    {
        std::string const number = std::to_string(at + 1);
        workers.push_back(std::make_unique<worker>("127.0.7.1" + number, "worker-" + number, zones[at],
                                                   "rack-" + number, 16000, platform, runs,
                                                   at == 1 ? "kind-a" : "kind-b"));
        hosts.push_back(std::make_unique<host>(
            host_options{"host-" + number, "127.0.7.2" + number, zones[at], zones, platform.address()},
            folder.path()));
        hosts.back()->start();
    }
    auto const serves = [&]
    {
        return std::all_of(hosts.begin(), hosts.end(), [](auto& one) { return one->is_ready(); }) &&
               platform.list("grant").size() == zones.size();
    };
    if (!wait_until(30'000, serves))
    {
        record::line("the cell doesn't serve");
        finish(hosts, 2);
    }
    sleep_ms(1000);
    json job = make_job("work 2000", 40, 4000);
    job["steps"][0]["requirements"] = "kind-a";
    std::string const id = "00000000000000ab";
    reply const       answer =
        call(hosts[1]->front(), "POST", "/jobs/" + id, "desk.example", "key-cafe", job.dump(), 3000);
    record::line("client hands in %s, 40 tasks that require kind-a: %d", id.c_str(), answer.status_);
    auto const starts = [&]
    {
        std::size_t count = 0;
        for (run_event const& event : runs.list())
        {
            count += event.what_ == "start" ? 1 : 0;
        }
        return count;
    };
    if (answer.status_ != 200 || !wait_until(8000, [&] { return starts() >= 6; }))
    {
        finish(hosts, 2);
    }
    sleep_ms(700);
    std::int64_t born_ms = std::numeric_limits<std::int64_t>::max();
    if (trouble)
    {
        record::line("worker-2 crashes");
        born_ms = now_ms() + 1000;
        workers[1]->crash(1000, "kind-b", 700);

    }
    sleep_ms(10'000);
    int broken = 0;
    int right = 0;
    for (run_event const& event : runs.list())
    {
        if (event.what_ != "start")
        {
            continue;
        }
        bool const wrong = event.worker_ != "worker-2" || event.at_ms_ >= born_ms - 50;
        (wrong ? broken : right) += 1;
    }
    record::line("%d starts on workers with the label, %d on workers without it", right, broken);
    finish(hosts, broken > 0 ? 1 : right > 0 ? 0 : 2);
}
